package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// completedWith returns the result of an attempt that a backend server replied
// to with a status.
func completedWith(status int) waxwingseam.Result {
	return waxwingseam.Result{Outcome: waxwingseam.OutcomeCompleted, Status: status, Reached: true, Unspent: 2}
}

// TestFailuresAreRetried checks that a failure reported by a backend server is
// retried if the limit allows it and the run made no calls, and that the
// caller receives the failure if no later attempt gets a reply.
func TestFailuresAreRetried(t *testing.T) {
	madeCalls := completedWith(500)
	madeCalls.CallsBelow = 1
	refusedBelow := completedWith(500)
	refusedBelow.RefusedBelow = true
	noReply := waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonServerFailed, Reached: true, Unspent: 2}
	for _, v := range []struct {
		name    string
		service waxwingseam.ServiceName
		results []waxwingseam.Result
		status  int
		attempt waxwingseam.Attempt
	}{
		{"second attempt succeeds", "photos", []waxwingseam.Result{completedWith(500), completedWith(200)}, 200, 2},
		{"every attempt fails", "photos", []waxwingseam.Result{completedWith(500), completedWith(502), completedWith(503)}, 503, 3},
		{"later attempts get no reply", "photos", []waxwingseam.Result{completedWith(500), noReply, noReply}, 500, 1},
		{"gateway timeout", "photos", []waxwingseam.Result{completedWith(504)}, 504, 1},
		{"the run made calls", "photos", []waxwingseam.Result{madeCalls}, 500, 1},
		{"a call below was refused", "photos", []waxwingseam.Result{refusedBelow}, 500, 1},
		{"client error", "photos", []waxwingseam.Result{completedWith(404)}, 404, 1},
		{"limit does not retry failures", "fees", []waxwingseam.Result{completedWith(500)}, 500, 1},
		{"not repeatable", "ledger", []waxwingseam.Result{completedWith(500)}, 500, 1},
	} {
		t.Run(v.name, func(t *testing.T) {
			server := waxwingseam.ServerName(v.service + "-")
			n := newNode(server+"1", server+"2", server+"3")
			n.call(v.service)
			var reply *waxwingseam.Reply
			for i, result := range v.results {
				qt.Assert(t, reply, qt.IsNil, qt.Commentf("replied after %d attempts", i))
				for _, e := range n.reducer.Reduce(waxwingseam.AttemptEnded{Stamp: n.stamp(), ID: id, Attempt: waxwingseam.Attempt(i + 1), Result: result}) {
					if r, ok := e.(waxwingseam.Reply); ok {
						reply = &r
					}
				}
			}
			qt.Assert(t, reply, qt.IsNotNil)
			qt.Assert(t, reply.Result.Status, qt.Equals, v.status)
			qt.Assert(t, reply.Attempt, qt.Equals, v.attempt)
		})
	}
}

// TestLeafCallsHaveOwnAllowance checks that a failed leaf call is retried
// although its root has no retry left: enough runs of the call's class must
// have been observed, none with calls, and the limit must grant a call
// allowance.
func TestLeafCallsHaveOwnAllowance(t *testing.T) {
	for _, v := range []struct {
		name      string
		runs      int
		makesCall bool
		granted   waxwingseam.Allowance
		attempts  int
	}{
		{"leaf", 20, false, 1, 2},
		{"too few runs observed", 19, false, 1, 1},
		{"makes calls", 20, true, 1, 1},
		{"limit grants no call allowance", 20, false, 0, 1},
	} {
		t.Run(v.name, func(t *testing.T) {
			set := hostSet()
			set.RetryLimits[0] = waxwingseam.RetryLimit{Name: "once", CallAllowance: v.granted, BudgetPercent: 100}
			set.RequestClasses[1].Repeat = waxwingseam.RepeatIdempotent
			n := newHostNode(set,
				waxwingseam.Server{Name: "desk-1", Service: "desk", Incarnation: 1},
				waxwingseam.Server{Name: "desk-2", Service: "desk", Incarnation: 1},
				waxwingseam.Server{Name: "desk-3", Service: "desk", Incarnation: 1},
			)
			n.tracker.Begin(waxwingseam.Call{ID: waxwingseam.NewCallID(9, 9), RequestID: "r1", Deadline: start.Add(time.Second)})
			arrive := func() {
				n.step(waxwingseam.CallArrived{
					Stamp: n.stamp(), ID: id, Root: waxwingseam.RootID(id), ParentRequestID: "r1",
					Outbound: true, Host: "desk.example", Path: "/", Replayable: true,
				})
			}
			for i := range v.runs {
				arrive()
				result := completedWith(200)
				if v.makesCall && i == v.runs-1 {
					result.CallsBelow = 1
				}
				n.endAttempt(1, result)
			}
			arrive()
			attempts := 1
			for n.endAttempt(waxwingseam.Attempt(attempts), serverFailed) == fmt.Sprintf("dispatch#%d+0", attempts+1) {
				attempts++
			}
			qt.Assert(t, attempts, qt.Equals, v.attempts)
		})
	}
}

// TestRepeatedCallsAreMarked checks that an attempt is marked as repeated if a
// backend server may have received the call before, and that calls below inherit
// the mark.
func TestRepeatedCallsAreMarked(t *testing.T) {
	refused := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonServerRefused, Reached: true, Unspent: 2}
	for _, v := range []struct {
		name   string
		first  waxwingseam.Result
		parent bool
		want   bool
	}{
		{"refused by a node", draining, false, false},
		{"refused by a backend server", refused, false, true},
		{"may have run", serverFailed, false, true},
		{"failed", completedWith(500), false, true},
		{"below a repeated run", draining, true, true},
	} {
		t.Run(v.name, func(t *testing.T) {
			n := newNode("photos-1", "photos-2")
			e := waxwingseam.CallArrived{Stamp: n.stamp(), ID: id, Root: waxwingseam.RootID(id), Service: "photos", Replayable: true}
			if v.parent {
				e.Parent = waxwingseam.NewCallID(9, 9)
				n.tracker.Begin(waxwingseam.Call{ID: e.Parent, Repeated: true, Allowance: 2, Deadline: start.Add(time.Second)})
			}
			sent := func(effects []waxwingseam.Effect) bool {
				for _, effect := range effects {
					if d, ok := effect.(waxwingseam.Dispatch); ok {
						return d.Call.Repeated
					}
				}
				t.Fatal("nothing was sent")
				return false
			}
			qt.Assert(t, sent(n.reducer.Reduce(e)), qt.Equals, v.parent)
			retried := n.reducer.Reduce(waxwingseam.AttemptEnded{Stamp: n.stamp(), ID: id, Attempt: 1, Result: v.first})
			qt.Assert(t, sent(retried), qt.Equals, v.want)
		})
	}
}
