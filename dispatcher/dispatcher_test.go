package dispatcher_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/balancer"
	"waxwingseam.example/waxwingseam/dispatcher"
	"waxwingseam.example/waxwingseam/reducer"
	"waxwingseam.example/waxwingseam/retrier"
	"waxwingseam.example/waxwingseam/tracker"
)

var start = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

// serviceClassifier classifies each call as the class named after its service.
type serviceClassifier struct{ set *waxwingseam.Set }

func (c *serviceClassifier) Adopt(s *waxwingseam.Set) { c.set = s }

func (c *serviceClassifier) Classify(r waxwingseam.Request) (waxwingseam.RequestClass, bool) {
	return c.set.RequestClass(waxwingseam.ClassName(r.Service))
}

func (c *serviceClassifier) Rank(_ *waxwingseam.Context, class waxwingseam.RequestClass, root waxwingseam.RootID) waxwingseam.Rank {
	return waxwingseam.Rank{Importance: class.Importance, Order: binary.BigEndian.Uint64(root[:8])}
}

// node is the sending half of a node, with a clock that the test sets.
type node struct {
	reducer waxwingseam.Reducer
	tracker waxwingseam.Tracker
	now     time.Time
}

func newNode(servers ...waxwingseam.ServerName) *node {
	r := retrier.New(retrier.Config{})
	n := &node{tracker: tracker.New(tracker.Config{}), now: start}
	n.reducer = reducer.New(reducer.Config{Workers: []waxwingseam.PrioritizedWorker{{Worker: dispatcher.New(dispatcher.Config{
		Classifier: &serviceClassifier{},
		Balancer:   balancer.New(balancer.Config{}),
		Retrier:    r,
		Tracker:    n.tracker,
	})}}})
	set := &waxwingseam.Set{Revision: 1, RetryLimits: []waxwingseam.RetryLimit{
		{Name: "limit", Allowance: 2, BudgetPercent: 10},
		{Name: "did-not-run-only", Allowance: 2, BudgetPercent: 10, DidNotRunOnly: true},
		{Name: "failures", Allowance: 2, BudgetPercent: 10, Failures: true},
	}}
	for name, repeat := range map[waxwingseam.ServiceName]waxwingseam.Repeat{"ledger": waxwingseam.RepeatNever, "fees": waxwingseam.RepeatIdempotent, "images": waxwingseam.RepeatIdempotent, "photos": waxwingseam.RepeatIdempotent} {
		limit := "limit"
		switch name {
		case "images":
			limit = "did-not-run-only"
		case "photos":
			limit = "failures"
		}
		set.Services = append(set.Services, waxwingseam.Service{Name: name})
		set.RequestClasses = append(set.RequestClasses, waxwingseam.RequestClass{
			Name: waxwingseam.ClassName(name), Service: name, Repeat: repeat, Deadline: 2 * time.Second, RetryLimit: limit,
		})
	}
	n.step(waxwingseam.SetAdopted{Stamp: n.stamp(), Set: set})
	updated := waxwingseam.ServersUpdated{Stamp: n.stamp()}
	for _, name := range servers {
		service, _, _ := strings.Cut(string(name), "-")
		updated.Servers = append(updated.Servers, waxwingseam.Server{
			Name: name, Service: waxwingseam.ServiceName(service), Incarnation: 7, Node: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	n.step(updated)
	return n
}

func (n *node) stamp() waxwingseam.Stamp {
	return waxwingseam.Stamp{Now: n.now, Random: 1}
}

func (n *node) step(e waxwingseam.Event) string {
	var b strings.Builder
	for _, v := range n.reducer.Reduce(e) {
		b.WriteString(describe(v))
	}
	return strings.TrimSpace(b.String())
}

// describe returns a short form of an effect, which is empty for timers.
func describe(e waxwingseam.Effect) string {
	switch v := e.(type) {
	case waxwingseam.Dispatch:
		return fmt.Sprintf("dispatch#%d+%d ", v.Attempt, v.Call.Allowance)
	case waxwingseam.Reply:
		return strings.TrimSuffix(fmt.Sprintf("reply:%s:%s", v.Result.Outcome, v.Result.Reason), ":") + " "
	case waxwingseam.ArmTimer, waxwingseam.StopTimer:
		return ""
	}
	return string(e.Kind()) + " "
}

var id = waxwingseam.NewCallID(1, 1)

func (n *node) call(service waxwingseam.ServiceName) string {
	return n.step(waxwingseam.CallArrived{Stamp: n.stamp(), ID: id, Root: waxwingseam.RootID(id), Service: service, Replayable: true})
}

func (n *node) endAttempt(attempt waxwingseam.Attempt, result waxwingseam.Result) string {
	return n.step(waxwingseam.AttemptEnded{Stamp: n.stamp(), ID: id, Attempt: attempt, Result: result})
}

func (n *node) answerFence(started bool, incarnation waxwingseam.Incarnation) string {
	return n.step(waxwingseam.FenceAnswered{Stamp: n.stamp(), ID: id, Attempt: 1, Reached: true, Started: started, Incarnation: incarnation})
}

var (
	completed      = waxwingseam.Result{Outcome: waxwingseam.OutcomeCompleted, Status: 200, Reached: true}
	draining       = waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonDraining, Reached: true}
	notConnected   = waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonConnectionFailed}
	connectionLost = waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonConnectionFailed}
	restarted      = waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonIncarnation, Reached: true}
	serverFailed   = waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonServerFailed, Reached: true, Unspent: 2}
)

// TestOutcomes checks the effects and the reply for each way in which an attempt
// can end.
func TestOutcomes(t *testing.T) {
	silent := func(n *node) string {
		return n.step(waxwingseam.AttemptSilent{Stamp: n.stamp(), ID: id, Attempt: 1})
	}
	end := func(number waxwingseam.Attempt, r waxwingseam.Result) func(*node) string {
		return func(n *node) string { return n.endAttempt(number, r) }
	}
	fenced := func(started bool, incarnation waxwingseam.Incarnation) func(*node) string {
		return func(n *node) string { return n.answerFence(started, incarnation) }
	}
	callerLeft := func(n *node) string { return n.step(waxwingseam.CallerLeft{Stamp: n.stamp(), ID: id}) }
	deadlinePassed := func(n *node) string {
		return n.step(waxwingseam.TimerFired{Stamp: n.stamp(), Timer: waxwingseam.TimerID{Purpose: dispatcher.PurposeDeadline, Call: id}})
	}
	for _, v := range []struct {
		name    string
		service waxwingseam.ServiceName
		steps   []func(*node) string
		want    string
	}{
		{"completed", "ledger", []func(*node) string{end(1, completed)}, "reply:completed"},
		{"a second result is ignored", "ledger", []func(*node) string{end(1, completed), end(1, connectionLost)}, "reply:completed | "},
		{"refused, then retried", "ledger", []func(*node) string{end(1, draining), end(2, completed)}, "dispatch#2+1 | reply:completed"},
		{"request not written", "ledger", []func(*node) string{end(1, notConnected), end(2, notConnected), end(3, notConnected)}, "dispatch#2+1 | dispatch#3+0 | reply:did-not-run:connection-failed"},
		{"connection lost, then resumed", "ledger", []func(*node) string{end(1, connectionLost), end(1, completed)}, "resume | reply:completed"},
		{"silent, fence proves did-not-run", "ledger", []func(*node) string{silent, silent, fenced(false, 7), end(2, completed)}, "resume | fence | dispatch#2+1 | reply:completed"},
		{"a failed resume proves nothing", "ledger", []func(*node) string{silent, end(1, notConnected), fenced(false, 8)}, "resume | fence | reply:may-have-run:connection-failed"},
		{"refused by another incarnation", "ledger", []func(*node) string{end(1, restarted), end(2, completed)}, "dispatch#2+1 | reply:completed"},
		{"resume refused by another incarnation", "ledger", []func(*node) string{silent, end(1, restarted), fenced(false, 8)}, "resume | fence | reply:may-have-run:connection-failed"},
		{"fence reports a started run", "ledger", []func(*node) string{silent, end(1, serverFailed), fenced(true, 7), end(1, completed)}, "resume | fence | resume | reply:completed"},
		{"silent after the last resume", "ledger", []func(*node) string{silent, silent, fenced(true, 7), silent}, "resume | fence | resume | reply:may-have-run:connection-silent"},
		{"a failed run is not retried", "ledger", []func(*node) string{end(1, serverFailed)}, "reply:may-have-run:server-failed"},
		{"a failed run of an idempotent class is retried", "fees", []func(*node) string{end(1, serverFailed), end(2, completed)}, "dispatch#2+1 | reply:completed"},
		{"a did-not-run-only limit does not retry a failed run", "images", []func(*node) string{end(1, serverFailed)}, "reply:may-have-run:server-failed"},
		{"a did-not-run-only limit retries a refused attempt", "images", []func(*node) string{end(1, draining), end(2, completed)}, "dispatch#2+1 | reply:completed"},
		{"later refusals do not change may-have-run", "fees", []func(*node) string{end(1, serverFailed), end(2, draining), end(3, draining)}, "dispatch#2+1 | dispatch#3+0 | reply:may-have-run:draining"},
		{"caller leaves", "ledger", []func(*node) string{callerLeft, end(1, completed)}, "cancel-attempt reply:may-have-run:cancelled | "},
		{"deadline passes", "ledger", []func(*node) string{deadlinePassed}, "cancel-attempt reply:may-have-run:deadline"},
	} {
		t.Run(v.name, func(t *testing.T) {
			n := newNode("ledger-1", "ledger-2", "ledger-3", "fees-1", "fees-2", "fees-3", "images-1", "images-2")
			qt.Assert(t, n.call(v.service), qt.Equals, "dispatch#1+2")
			got := make([]string, len(v.steps))
			for i, s := range v.steps {
				got[i] = s(n)
			}
			qt.Assert(t, strings.Join(got, " | "), qt.Equals, v.want)
		})
	}
}

// TestRefusedOnArrival checks that a call to an unknown service, to a service
// without servers or from an unknown run is refused at once with that reason.
func TestRefusedOnArrival(t *testing.T) {
	n := newNode("ledger-1")
	qt.Assert(t, n.call("bench"), qt.Equals, "reply:did-not-run:unknown-service")
	qt.Assert(t, n.call("fees"), qt.Equals, "reply:did-not-run:no-server")
	child := waxwingseam.CallArrived{Stamp: n.stamp(), ID: id, Parent: waxwingseam.NewCallID(9, 9), Service: "ledger"}
	qt.Assert(t, n.step(child), qt.Equals, "reply:did-not-run:unknown-context")
}

// TestNoServerLeftForRetry checks that a call ends with the reason of its last
// attempt if no server is left for a retry.
func TestNoServerLeftForRetry(t *testing.T) {
	n := newNode("ledger-1")
	leaving := draining
	leaving.Load.Leaving = true
	qt.Assert(t, n.call("ledger"), qt.Equals, "dispatch#1+2")
	qt.Assert(t, n.endAttempt(1, leaving), qt.Equals, "reply:did-not-run:draining")
}

// TestEndedRunCancelsChildren checks that an ended run cancels its open child
// calls, and that its later calls are refused.
func TestEndedRunCancelsChildren(t *testing.T) {
	n := newNode("ledger-1")
	parent := waxwingseam.Call{ID: waxwingseam.NewCallID(9, 9), Allowance: 2, Deadline: start.Add(time.Second)}
	n.tracker.Begin(parent)
	child := waxwingseam.CallArrived{Stamp: n.stamp(), ID: id, Parent: parent.ID, Service: "ledger"}
	qt.Assert(t, n.step(child), qt.Equals, "dispatch#1+2")
	qt.Assert(t, n.tracker.Unspent(parent.ID), qt.Equals, waxwingseam.Allowance(0))
	ended := waxwingseam.RunEnded{Stamp: n.stamp(), ID: parent.ID}
	qt.Assert(t, n.step(ended), qt.Equals, "cancel-attempt reply:may-have-run:cancelled")
	qt.Assert(t, n.step(child), qt.Equals, "reply:did-not-run:unknown-context")
}

// TestResendsShareAllowance checks that roots with one key, sequential or
// concurrent, share one allowance until it expires.
func TestResendsShareAllowance(t *testing.T) {
	n := newNode("ledger-1", "ledger-2")
	arrive := func(number uint64) string {
		id := waxwingseam.NewCallID(number, number)
		return n.step(waxwingseam.CallArrived{Stamp: n.stamp(), ID: id, Root: waxwingseam.RootID(id), Service: "ledger", Key: "lot-5", Replayable: true})
	}
	end := func(number uint64, attempt waxwingseam.Attempt, r waxwingseam.Result) string {
		return n.step(waxwingseam.AttemptEnded{Stamp: n.stamp(), ID: waxwingseam.NewCallID(number, number), Attempt: attempt, Result: r})
	}
	spent := completed
	spent.Unspent = 1
	qt.Assert(t, arrive(1), qt.Equals, "dispatch#1+2")
	qt.Assert(t, arrive(2), qt.Equals, "dispatch#1+0")
	qt.Assert(t, end(2, 1, draining), qt.Equals, "reply:did-not-run:draining")
	qt.Assert(t, end(1, 1, spent), qt.Equals, "reply:completed")
	qt.Assert(t, arrive(3), qt.Equals, "dispatch#1+1")
	qt.Assert(t, end(3, 1, draining), qt.Equals, "dispatch#2+0")
	qt.Assert(t, end(3, 2, draining), qt.Equals, "reply:did-not-run:draining")
	n.now = n.now.Add(11 * time.Minute)
	qt.Assert(t, arrive(4), qt.Equals, "dispatch#1+2")
}
