package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/balancer"
	"waxwingseam.example/waxwingseam/classifier"
	"waxwingseam.example/waxwingseam/dispatcher"
	"waxwingseam.example/waxwingseam/reducer"
	"waxwingseam.example/waxwingseam/retrier"
	"waxwingseam.example/waxwingseam/tracker"
)

// hostSet has classes by host: one with weighted targets, one that is not
// repeatable.
func hostSet() *waxwingseam.Set {
	return &waxwingseam.Set{
		Revision: 1,
		Services: []waxwingseam.Service{{Name: "desk"}, {Name: "ledger"}},
		RetryLimits: []waxwingseam.RetryLimit{
			{Name: "once", DidNotRunOnly: true, BudgetPercent: 10, Redirects: 2},
		},
		RequestClasses: []waxwingseam.RequestClass{
			{Name: "lots", Host: "desk.example", Prefix: "/lots/", Deadline: time.Second, RetryLimit: "once", Targets: []waxwingseam.WeightedTarget{
				{Service: "desk", Weight: 90}, {Service: "ledger", Weight: 10},
			}},
			{Name: "all", Host: "desk.example", Prefix: "/", Service: "desk", Deadline: time.Second, RetryLimit: "once"},
		},
	}
}

// hostNode is a node whose callers name hosts.
func hostNode(set *waxwingseam.Set, servers ...waxwingseam.Server) *node {
	n := &node{tracker: tracker.New(tracker.Config{}), now: start}
	n.reducer = reducer.New(reducer.Config{Workers: []waxwingseam.PrioritizedWorker{{Worker: dispatcher.New(dispatcher.Config{
		Classifier: classifier.New(),
		Balancer:   balancer.New(balancer.Config{}),
		Retrier:    retrier.New(retrier.Config{}),
		Tracker:    n.tracker,
	})}}})
	if set != nil {
		n.step(waxwingseam.SetAdopted{Stamp: n.stamp(), Set: set})
	}
	n.step(waxwingseam.ServersUpdated{Stamp: n.stamp(), Servers: servers})
	return n
}

func (n *node) hostCall(path string) []waxwingseam.Effect {
	return n.reducer.Reduce(waxwingseam.CallArrived{
		Stamp: n.stamp(), ID: id, Root: waxwingseam.RootID(id), Host: "desk.example", Path: path, Replayable: true,
	})
}

func hostServers() []waxwingseam.Server {
	return []waxwingseam.Server{
		{Name: "desk-1", Service: "desk", Incarnation: 1},
		{Name: "desk-2", Service: "desk", Incarnation: 1},
		{Name: "ledger-1", Service: "ledger", Incarnation: 1},
	}
}

// TestUnknownHostNeedsAConfiguration checks that a node without a configuration
// does not say that a class is unknown.
func TestUnknownHostNeedsAConfiguration(t *testing.T) {
	reason := func(n *node, host string) waxwingseam.Reason {
		effects := n.reducer.Reduce(waxwingseam.CallArrived{Stamp: n.stamp(), ID: id, Host: host, Path: "/lots/5"})
		return effects[0].(waxwingseam.Reply).Result.Reason
	}
	qt.Assert(t, reason(hostNode(nil), "desk.example"), qt.Equals, waxwingseam.ReasonNoConfiguration)
	qt.Assert(t, reason(hostNode(hostSet(), hostServers()...), "other.example"), qt.Equals, waxwingseam.ReasonUnknownClass)
}

// TestSharesHoldWhileOneIsShort refuses every call at one of the targets: the
// calls still part by weight, and none moves to the other target.
func TestSharesHoldWhileOneIsShort(t *testing.T) {
	n := hostNode(hostSet(), hostServers()...)
	counts := map[waxwingseam.ServiceName]int{}
	for i := range 200 {
		n.now = start.Add(time.Duration(i) * time.Second)
		for _, e := range n.hostCall("/lots/5") {
			if v, ok := e.(waxwingseam.Dispatch); ok {
				counts[v.Server.Service]++
			}
		}
		n.ended(1, waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonNoServer, Reached: true})
	}
	qt.Assert(t, counts, qt.DeepEquals, map[waxwingseam.ServiceName]int{"desk": 180, "ledger": 20})
}

// TestLongestPrefixWins checks that a class behind a longer prefix is found.
func TestLongestPrefixWins(t *testing.T) {
	n := hostNode(hostSet(), hostServers()...)
	for path, want := range map[string]waxwingseam.ClassName{"/lots/5": "lots", "/lot": "all", "/": "all"} {
		for _, e := range n.hostCall(path) {
			if v, ok := e.(waxwingseam.Dispatch); ok {
				qt.Check(t, v.Call.Class, qt.Equals, want)
			}
		}
		n.ended(1, completed)
	}
}

// TestRedirects sends a call without any retry on to other servers while no
// backend server was handed it, and no further.
func TestRedirects(t *testing.T) {
	ran := waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonServerFailed, Reached: true}
	rejected := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonServerRefused, Reached: true}
	for _, v := range []struct {
		name string
		ends []waxwingseam.Result
		want []string
	}{
		{"the node leaves", []waxwingseam.Result{refused, completed}, []string{"dispatch#2+0", "reply:completed"}},
		{"each server at most once", []waxwingseam.Result{unwritten, unwritten}, []string{"dispatch#2+0", "reply:did-not-run:connection-failed"}},
		{"may have run", []waxwingseam.Result{ran}, []string{"reply:may-have-run:server-failed"}},
		{"the backend server refused", []waxwingseam.Result{rejected}, []string{"reply:did-not-run:server-refused"}},
	} {
		t.Run(v.name, func(t *testing.T) {
			n := hostNode(hostSet(), hostServers()...)
			n.hostCall("/")
			for i, r := range v.ends {
				qt.Assert(t, n.ended(waxwingseam.Attempt(i+1), r), qt.Equals, v.want[i], qt.Commentf("end %d", i+1))
			}
		})
	}
}

// TestRedirectsAreBounded lets every server refuse a call.
func TestRedirectsAreBounded(t *testing.T) {
	servers := make([]waxwingseam.Server, 9)
	for i := range servers {
		servers[i] = waxwingseam.Server{Name: waxwingseam.ServerName(fmt.Sprintf("desk-%d", i)), Service: "desk", Incarnation: 1}
	}
	n := hostNode(hostSet(), servers...)
	n.hostCall("/")
	attempts := 1
	for n.ended(waxwingseam.Attempt(attempts), refused) != "reply:did-not-run:draining" {
		attempts++
	}
	qt.Assert(t, attempts, qt.Equals, 3)
}

// TestCallsBelowARunInheritItsRank lets a run make a call that names the run's
// request: the call goes with the run's rank, deadline and allowance. One whose
// run is not known goes with the rank of its own class.
func TestCallsBelowARunInheritItsRank(t *testing.T) {
	for _, v := range []struct {
		name, parent string
		importance   waxwingseam.Importance
		depth        uint8
		left         time.Duration
	}{
		{"known run", "r1", 9, 3, 300 * time.Millisecond},
		{"unknown run", "r2", 0, 1, time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			n := hostNode(hostSet(), hostServers()...)
			n.tracker.Begin(waxwingseam.Call{
				ID: waxwingseam.NewCallID(9, 9), RequestID: "r1", Depth: 2,
				Rank: waxwingseam.Rank{Importance: 9}, Deadline: start.Add(300 * time.Millisecond),
			})
			effects := n.reducer.Reduce(waxwingseam.CallArrived{
				Stamp: n.stamp(), ID: id, Root: waxwingseam.RootID(id), ParentRequestID: v.parent,
				Outbound: true, Host: "desk.example", Path: "/", Replayable: true,
			})
			sent := effects[len(effects)-1].(waxwingseam.Dispatch)
			qt.Assert(t, sent.Call.Rank.Importance, qt.Equals, v.importance)
			qt.Assert(t, sent.Call.Depth, qt.Equals, v.depth)
			qt.Assert(t, sent.Call.Deadline.Sub(start), qt.Equals, v.left)
			n.ended(1, waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonServerRefused, Reached: true})
			qt.Assert(t, n.tracker.RefusedBelow(waxwingseam.NewCallID(9, 9)), qt.Equals, v.parent == "r1")
		})
	}
}
