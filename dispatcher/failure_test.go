package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// answered is a whole answer of a backend server.
func answered(status int) waxwingseam.Result {
	return waxwingseam.Result{Outcome: waxwingseam.OutcomeCompleted, Status: status, Reached: true, Unspent: 2}
}

// TestFailuresAreTriedAgain plays what follows a backend server's own failure:
// another attempt where the limit allows it and nothing below would run again,
// and that failure as the answer where no later attempt gets one.
func TestFailuresAreTriedAgain(t *testing.T) {
	below := answered(500)
	below.CallsBelow = 1
	refusedBelow := answered(500)
	refusedBelow.RefusedBelow = true
	unsent := waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonServerFailed, Reached: true, Unspent: 2}
	for _, v := range []struct {
		name    string
		service waxwingseam.ServiceName
		results []waxwingseam.Result
		status  int
		by      waxwingseam.Attempt
	}{
		{"second attempt succeeds", "photos", []waxwingseam.Result{answered(500), answered(200)}, 200, 2},
		{"every attempt fails", "photos", []waxwingseam.Result{answered(500), answered(502), answered(503)}, 503, 3},
		{"later attempts get no answer", "photos", []waxwingseam.Result{answered(500), unsent, unsent}, 500, 1},
		{"at the deadline of the run", "photos", []waxwingseam.Result{answered(504)}, 504, 1},
		{"the run made calls", "photos", []waxwingseam.Result{below}, 500, 1},
		{"a call below was refused", "photos", []waxwingseam.Result{refusedBelow}, 500, 1},
		{"refused by the request", "photos", []waxwingseam.Result{answered(404)}, 404, 1},
		{"limit without failures", "fees", []waxwingseam.Result{answered(500)}, 500, 1},
		{"not repeatable", "ledger", []waxwingseam.Result{answered(500)}, 500, 1},
	} {
		t.Run(v.name, func(t *testing.T) {
			server := waxwingseam.ServerName(v.service + "-")
			n := newNode(server+"1", server+"2", server+"3")
			n.call(v.service)
			var reply *waxwingseam.Reply
			for i, result := range v.results {
				qt.Assert(t, reply, qt.IsNil, qt.Commentf("answered after %d attempts", i))
				for _, e := range n.reducer.Reduce(waxwingseam.AttemptEnded{Stamp: n.stamp(), ID: id, Attempt: waxwingseam.Attempt(i + 1), Result: result}) {
					if r, ok := e.(waxwingseam.Reply); ok {
						reply = &r
					}
				}
			}
			qt.Assert(t, reply, qt.IsNotNil)
			qt.Assert(t, reply.Result.Status, qt.Equals, v.status)
			qt.Assert(t, reply.Attempt, qt.Equals, v.by)
		})
	}
}

// TestLeavesHaveTheirOwnRetry lets a call made by a run fail whose root has no
// retry left: it is tried again, once, where runs of its class were seen to make
// no calls and the limit grants calls an allowance.
func TestLeavesHaveTheirOwnRetry(t *testing.T) {
	for _, v := range []struct {
		name     string
		runs     int
		made     bool
		granted  waxwingseam.Allowance
		attempts int
	}{
		{"leaf", 20, false, 1, 2},
		{"not known yet", 19, false, 1, 1},
		{"makes calls", 20, true, 1, 1},
		{"limit without", 20, false, 0, 1},
	} {
		t.Run(v.name, func(t *testing.T) {
			set := hostSet()
			set.RetryLimits[0] = waxwingseam.RetryLimit{Name: "once", CallAllowance: v.granted, BudgetPercent: 100}
			set.RequestClasses[1].Repeat = waxwingseam.RepeatIdempotent
			n := hostNode(set,
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
				done := answered(200)
				if v.made && i == v.runs-1 {
					done.CallsBelow = 1
				}
				n.ended(1, done)
			}
			arrive()
			attempts := 1
			for n.ended(waxwingseam.Attempt(attempts), unknown) == fmt.Sprintf("dispatch#%d+0", attempts+1) {
				attempts++
			}
			qt.Assert(t, attempts, qt.Equals, v.attempts)
		})
	}
}

// TestRepeatedCallsAreMarked checks that an attempt says whether a backend server
// may have been handed the call before, and that calls below inherit it.
func TestRepeatedCallsAreMarked(t *testing.T) {
	rejected := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonServerRefused, Reached: true, Unspent: 2}
	for _, v := range []struct {
		name   string
		first  waxwingseam.Result
		parent bool
		want   bool
	}{
		{"refused by a node", refused, false, false},
		{"refused by a backend server", rejected, false, true},
		{"may have run", unknown, false, true},
		{"failed", answered(500), false, true},
		{"below a repeated run", refused, true, true},
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
			again := n.reducer.Reduce(waxwingseam.AttemptEnded{Stamp: n.stamp(), ID: id, Attempt: 1, Result: v.first})
			qt.Assert(t, sent(again), qt.Equals, v.want)
		})
	}
}
