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

// byService classifies each call as the class named after its service.
type byService struct{ set *waxwingseam.Set }

func (b *byService) Adopt(s *waxwingseam.Set) { b.set = s }

func (b *byService) Classify(r waxwingseam.Request) (waxwingseam.RequestClass, bool) {
	return b.set.RequestClass(waxwingseam.ClassName(r.Service))
}

func (b *byService) Rank(_ *waxwingseam.Context, class waxwingseam.RequestClass, root waxwingseam.RootID) waxwingseam.Rank {
	return waxwingseam.Rank{Importance: class.Importance, Order: binary.BigEndian.Uint64(root[:8])}
}

// node is the sending half of one node, with its clock in the test's hand.
type node struct {
	reducer waxwingseam.Reducer
	tracker waxwingseam.Tracker
	now     time.Time
}

func newNode(servers ...waxwingseam.ServerName) *node {
	r := retrier.New(retrier.Config{})
	n := &node{tracker: tracker.New(tracker.Config{}), now: start}
	n.reducer = reducer.New(reducer.Config{Workers: []waxwingseam.PrioritizedWorker{{Worker: dispatcher.New(dispatcher.Config{
		Classifier: &byService{},
		Balancer:   balancer.New(balancer.Config{}),
		Retrier:    r,
		Tracker:    n.tracker,
	})}}})
	set := &waxwingseam.Set{Revision: 1, RetryLimits: []waxwingseam.RetryLimit{
		{Name: "limit", Allowance: 2, BudgetPercent: 10},
		{Name: "careful", Allowance: 2, BudgetPercent: 10, DidNotRunOnly: true},
		{Name: "again", Allowance: 2, BudgetPercent: 10, Failures: true},
	}}
	for name, repeat := range map[waxwingseam.ServiceName]waxwingseam.Repeat{"ledger": waxwingseam.RepeatNever, "fees": waxwingseam.RepeatIdempotent, "images": waxwingseam.RepeatIdempotent, "photos": waxwingseam.RepeatIdempotent} {
		limit := "limit"
		switch name {
		case "images":
			limit = "careful"
		case "photos":
			limit = "again"
		}
		set.Services = append(set.Services, waxwingseam.Service{Name: name})
		set.RequestClasses = append(set.RequestClasses, waxwingseam.RequestClass{
			Name: waxwingseam.ClassName(name), Service: name, Repeat: repeat, Deadline: 2 * time.Second, RetryLimit: limit,
		})
	}
	n.step(waxwingseam.SetAdopted{Stamp: n.stamp(), Set: set})
	known := waxwingseam.ServersUpdated{Stamp: n.stamp()}
	for _, name := range servers {
		service, _, _ := strings.Cut(string(name), "-")
		known.Servers = append(known.Servers, waxwingseam.Server{
			Name: name, Service: waxwingseam.ServiceName(service), Incarnation: 7, Node: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	n.step(known)
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

// describe returns a short form of the effects that the tests look at.
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

func (n *node) ended(attempt waxwingseam.Attempt, result waxwingseam.Result) string {
	return n.step(waxwingseam.AttemptEnded{Stamp: n.stamp(), ID: id, Attempt: attempt, Result: result})
}

func (n *node) fenced(started bool, life waxwingseam.Incarnation) string {
	return n.step(waxwingseam.FenceAnswered{Stamp: n.stamp(), ID: id, Attempt: 1, Reached: true, Started: started, Incarnation: life})
}

var (
	completed = waxwingseam.Result{Outcome: waxwingseam.OutcomeCompleted, Status: 200, Reached: true}
	refused   = waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonDraining, Reached: true}
	unwritten = waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonConnectionFailed}
	broken    = waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonConnectionFailed}
	restarted = waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonIncarnation, Reached: true}
	unknown   = waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonServerFailed, Reached: true, Unspent: 2}
)

// TestOutcomes plays the ends that an attempt may come to.
func TestOutcomes(t *testing.T) {
	silent := func(n *node) string {
		return n.step(waxwingseam.AttemptSilent{Stamp: n.stamp(), ID: id, Attempt: 1})
	}
	end := func(number waxwingseam.Attempt, r waxwingseam.Result) func(*node) string {
		return func(n *node) string { return n.ended(number, r) }
	}
	fenced := func(started bool, life waxwingseam.Incarnation) func(*node) string {
		return func(n *node) string { return n.fenced(started, life) }
	}
	left := func(n *node) string { return n.step(waxwingseam.CallerLeft{Stamp: n.stamp(), ID: id}) }
	late := func(n *node) string {
		return n.step(waxwingseam.TimerFired{Stamp: n.stamp(), Timer: waxwingseam.TimerID{Purpose: dispatcher.PurposeDeadline, Call: id}})
	}
	for _, v := range []struct {
		name    string
		service waxwingseam.ServiceName
		steps   []func(*node) string
		want    string
	}{
		{"completed", "ledger", []func(*node) string{end(1, completed)}, "reply:completed"},
		{"a second end is ignored", "ledger", []func(*node) string{end(1, completed), end(1, broken)}, "reply:completed | "},
		{"refused, then sent again", "ledger", []func(*node) string{end(1, refused), end(2, completed)}, "dispatch#2+1 | reply:completed"},
		{"nothing written", "ledger", []func(*node) string{end(1, unwritten), end(2, unwritten), end(3, unwritten)}, "dispatch#2+1 | dispatch#3+0 | reply:did-not-run:connection-failed"},
		{"broken, taken up again", "ledger", []func(*node) string{end(1, broken), end(1, completed)}, "resume | reply:completed"},
		{"silent, proven by a fence", "ledger", []func(*node) string{silent, silent, fenced(false, 7), end(2, completed)}, "resume | fence | dispatch#2+1 | reply:completed"},
		{"a failed resume proves nothing", "ledger", []func(*node) string{silent, end(1, unwritten), fenced(false, 8)}, "resume | fence | reply:may-have-run:connection-failed"},
		{"another life refuses it", "ledger", []func(*node) string{end(1, restarted), end(2, completed)}, "dispatch#2+1 | reply:completed"},
		{"another life is asked later", "ledger", []func(*node) string{silent, end(1, restarted), fenced(false, 8)}, "resume | fence | reply:may-have-run:connection-failed"},
		{"fence finds it started", "ledger", []func(*node) string{silent, end(1, unknown), fenced(true, 7), end(1, completed)}, "resume | fence | resume | reply:completed"},
		{"started, then lost for good", "ledger", []func(*node) string{silent, silent, fenced(true, 7), silent}, "resume | fence | resume | reply:may-have-run:connection-silent"},
		{"a failed run is not repeated", "ledger", []func(*node) string{end(1, unknown)}, "reply:may-have-run:server-failed"},
		{"a failed run is repeated", "fees", []func(*node) string{end(1, unknown), end(2, completed)}, "dispatch#2+1 | reply:completed"},
		{"a failed run is not repeated by a careful limit", "images", []func(*node) string{end(1, unknown)}, "reply:may-have-run:server-failed"},
		{"a careful limit repeats what is proven", "images", []func(*node) string{end(1, refused), end(2, completed)}, "dispatch#2+1 | reply:completed"},
		{"may have run stays so", "fees", []func(*node) string{end(1, unknown), end(2, refused), end(3, refused)}, "dispatch#2+1 | dispatch#3+0 | reply:may-have-run:draining"},
		{"caller leaves", "ledger", []func(*node) string{left, end(1, completed)}, "cancel-attempt reply:may-have-run:cancelled | "},
		{"deadline passes", "ledger", []func(*node) string{late}, "cancel-attempt reply:may-have-run:deadline"},
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

func TestRefusedAtOnce(t *testing.T) {
	n := newNode("ledger-1")
	qt.Assert(t, n.call("bench"), qt.Equals, "reply:did-not-run:unknown-service")
	qt.Assert(t, n.call("fees"), qt.Equals, "reply:did-not-run:no-server")
	child := waxwingseam.CallArrived{Stamp: n.stamp(), ID: id, Parent: waxwingseam.NewCallID(9, 9), Service: "ledger"}
	qt.Assert(t, n.step(child), qt.Equals, "reply:did-not-run:unknown-context")
}

// TestLastServerGoes checks that a call keeps the reason of its last attempt
// where no server is left for another, and the retry that it did not use.
func TestLastServerGoes(t *testing.T) {
	n := newNode("ledger-1")
	leaving := refused
	leaving.Load.Leaving = true
	qt.Assert(t, n.call("ledger"), qt.Equals, "dispatch#1+2")
	qt.Assert(t, n.ended(1, leaving), qt.Equals, "reply:did-not-run:draining")
}

// TestRunEnds checks that the children of an ended run are cancelled.
func TestRunEnds(t *testing.T) {
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

// TestResendsShareAllowance checks that resends with one key, one after the
// other and at once, spend one allowance until it is forgotten.
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
	qt.Assert(t, end(2, 1, refused), qt.Equals, "reply:did-not-run:draining")
	qt.Assert(t, end(1, 1, spent), qt.Equals, "reply:completed")
	qt.Assert(t, arrive(3), qt.Equals, "dispatch#1+1")
	qt.Assert(t, end(3, 1, refused), qt.Equals, "dispatch#2+0")
	qt.Assert(t, end(3, 2, refused), qt.Equals, "reply:did-not-run:draining")
	n.now = n.now.Add(11 * time.Minute)
	qt.Assert(t, arrive(4), qt.Equals, "dispatch#1+2")
}
