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

// hostSet returns a configuration with two classes of one host, the first with
// weighted targets.
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

// newHostNode returns a node whose callers name hosts instead of services.
func newHostNode(set *waxwingseam.Set, servers ...waxwingseam.Server) *node {
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

// TestUnknownHostWithoutConfiguration checks that a node without a configuration
// does not report a class as unknown.
func TestUnknownHostWithoutConfiguration(t *testing.T) {
	reason := func(n *node, host string) waxwingseam.Reason {
		effects := n.reducer.Reduce(waxwingseam.CallArrived{Stamp: n.stamp(), ID: id, Host: host, Path: "/lots/5"})
		return effects[0].(waxwingseam.Reply).Result.Reason
	}
	qt.Assert(t, reason(newHostNode(nil), "desk.example"), qt.Equals, waxwingseam.ReasonNoConfiguration)
	qt.Assert(t, reason(newHostNode(hostSet(), hostServers()...), "other.example"), qt.Equals, waxwingseam.ReasonUnknownClass)
}

// TestWeightsHoldUnderRefusals refuses every call and checks that the calls are
// split by weight: none is sent to the other target instead.
func TestWeightsHoldUnderRefusals(t *testing.T) {
	n := newHostNode(hostSet(), hostServers()...)
	counts := map[waxwingseam.ServiceName]int{}
	for i := range 200 {
		n.now = start.Add(time.Duration(i) * time.Second)
		for _, e := range n.hostCall("/lots/5") {
			if v, ok := e.(waxwingseam.Dispatch); ok {
				counts[v.Server.Service]++
			}
		}
		n.endAttempt(1, waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonNoServer, Reached: true})
	}
	qt.Assert(t, counts, qt.DeepEquals, map[waxwingseam.ServiceName]int{"desk": 180, "ledger": 20})
}

// TestLongestPrefixMatches checks that the class with the longest matching prefix
// is chosen.
func TestLongestPrefixMatches(t *testing.T) {
	n := newHostNode(hostSet(), hostServers()...)
	for path, want := range map[string]waxwingseam.ClassName{"/lots/5": "lots", "/lot": "all", "/": "all"} {
		for _, e := range n.hostCall(path) {
			if v, ok := e.(waxwingseam.Dispatch); ok {
				qt.Check(t, v.Call.Class, qt.Equals, want)
			}
		}
		n.endAttempt(1, completed)
	}
}

// TestRedirects checks that a call without a retry allowance is redirected to
// other servers only while no backend server has received it.
func TestRedirects(t *testing.T) {
	mayHaveRun := waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonServerFailed, Reached: true}
	refused := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonServerRefused, Reached: true}
	for _, v := range []struct {
		name string
		ends []waxwingseam.Result
		want []string
	}{
		{"draining node", []waxwingseam.Result{draining, completed}, []string{"dispatch#2+0", "reply:completed"}},
		{"each server at most once", []waxwingseam.Result{notConnected, notConnected}, []string{"dispatch#2+0", "reply:did-not-run:connection-failed"}},
		{"may have run", []waxwingseam.Result{mayHaveRun}, []string{"reply:may-have-run:server-failed"}},
		{"refused by the backend server", []waxwingseam.Result{refused}, []string{"reply:did-not-run:server-refused"}},
	} {
		t.Run(v.name, func(t *testing.T) {
			n := newHostNode(hostSet(), hostServers()...)
			n.hostCall("/")
			for i, r := range v.ends {
				qt.Assert(t, n.endAttempt(waxwingseam.Attempt(i+1), r), qt.Equals, v.want[i], qt.Commentf("end %d", i+1))
			}
		})
	}
}

// TestRedirectsAreBounded checks that the limit bounds the redirects of a call
// that every server refuses.
func TestRedirectsAreBounded(t *testing.T) {
	servers := make([]waxwingseam.Server, 9)
	for i := range servers {
		servers[i] = waxwingseam.Server{Name: waxwingseam.ServerName(fmt.Sprintf("desk-%d", i)), Service: "desk", Incarnation: 1}
	}
	n := newHostNode(hostSet(), servers...)
	n.hostCall("/")
	attempts := 1
	for n.endAttempt(waxwingseam.Attempt(attempts), draining) != "reply:did-not-run:draining" {
		attempts++
	}
	qt.Assert(t, attempts, qt.Equals, 3)
}

// TestChildCallsInheritRank checks that an outbound call inherits the rank and
// the deadline of the run whose request it names. If the run is unknown, the
// call has those of its own class.
func TestChildCallsInheritRank(t *testing.T) {
	for _, v := range []struct {
		name, parent string
		importance   waxwingseam.Importance
		depth        uint8
		timeout      time.Duration
	}{
		{"known run", "r1", 9, 3, 300 * time.Millisecond},
		{"unknown run", "r2", 0, 1, time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			n := newHostNode(hostSet(), hostServers()...)
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
			qt.Assert(t, sent.Call.Deadline.Sub(start), qt.Equals, v.timeout)
			n.endAttempt(1, waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonServerRefused, Reached: true})
			qt.Assert(t, n.tracker.RefusedBelow(waxwingseam.NewCallID(9, 9)), qt.Equals, v.parent == "r1")
		})
	}
}

// TestRefusedRootIsUnexplained guards against a root that is refused before its first
// attempt and whose reply does not say what it was and why.
func TestRefusedRootIsUnexplained(t *testing.T) {
	n := newNode()
	effects := n.reducer.Reduce(waxwingseam.CallArrived{Stamp: n.stamp(), ID: id, Root: waxwingseam.RootID(id), Service: "ledger", Replayable: true})
	var refusal *waxwingseam.Refusal
	for _, e := range effects {
		if v, ok := e.(waxwingseam.Reply); ok {
			refusal = v.Refusal
		}
	}
	qt.Assert(t, refusal, qt.IsNotNil)
	qt.Assert(t, refusal.Basis, qt.Equals, waxwingseam.BasisServers)
	qt.Assert(t, refusal.Call.Class, qt.Equals, waxwingseam.ClassName("ledger"))
	qt.Assert(t, refusal.Call.Service, qt.Equals, waxwingseam.ServiceName("ledger"))
}

// TestNodeWithoutSetDeniesServices guards against a node that has just started and tells
// callers of the project's own interface that a service is unknown, which they do not try
// again.
func TestNodeWithoutSetDeniesServices(t *testing.T) {
	n := newHostNode(nil)
	effects := n.reducer.Reduce(waxwingseam.CallArrived{
		Stamp: n.stamp(), ID: id, Root: waxwingseam.RootID(id), Service: "desk", Path: "/lots/1", Replayable: true,
	})
	reply, ok := effects[0].(waxwingseam.Reply)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, reply.Result.Reason, qt.Equals, waxwingseam.ReasonNoConfiguration)
	qt.Assert(t, reply.Result.Outcome, qt.Equals, waxwingseam.OutcomeDidNotRun)
}
