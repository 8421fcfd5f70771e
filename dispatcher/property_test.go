package dispatcher_test

import (
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/retrier"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawCallTree draws a tree of calls with at most depth+1 levels.
func drawCallTree(t *rapid.T, depth int) callTree {
	s := callTree{service: rapid.SampledFrom(simulatedServices).Draw(t, "service")}
	if depth <= 0 {
		return s
	}
	for range rapid.IntRange(0, 2).Draw(t, "groups") {
		group := make([]callTree, rapid.IntRange(1, 3).Draw(t, "parallel"))
		for i := range group {
			group[i] = drawCallTree(t, depth-rapid.IntRange(1, 3).Draw(t, "levels"))
		}
		s.groups = append(s.groups, group)
	}
	return s
}

func drawFaults(t *rapid.T) faults {
	percent := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
	return faults{
		request: percent("request", 20), reply: percent("reply", 20), refuse: percent("refuse", 60),
		fail: percent("fail", 20), restart: percent("restart", 5),
	}
}

// TestCallInvariants simulates random call trees, faults and timings. It
// checks that the calls of a root have at most as many attempts as there are
// calls, plus the root's allowance, that each call has at most one reply, that
// a non-repeatable call runs at most once, and that a call reported as
// did-not-run has not run.
func TestCallInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := waxwingseam.Allowance(rapid.IntRange(0, 6).Draw(t, "allowance"))
		sm := newSimulation(rapid.Uint64().Draw(t, "seed"), allowance, drawFaults(t), retrier.Config{})
		for range 3 {
			s := drawCallTree(t, 4)
			sm.after(time.Duration(rapid.IntRange(0, 50).Draw(t, "at"))*time.Millisecond, func() { sm.call(sm.hosts[0], s, nil) })
		}
		sm.run()
		for _, id := range sm.callIDs {
			root := sm.roots[id]
			if limit := sm.calls[root] + int(allowance); sm.attempts[root] > limit {
				t.Fatalf("root %s: %d attempts, want at most %d", root, sm.attempts[root], limit)
			}
		}
		for _, id := range sm.callIDs {
			checkCall(t, sm, id, sm.callTrees[id])
		}
	})
}

func checkCall(t *rapid.T, sm *simulation, id waxwingseam.CallID, s callTree) {
	replies := sm.replies[id]
	if len(replies) > 1 {
		t.Fatalf("call %s: %d replies", id, len(replies))
	}
	if len(replies) == 1 && replies[0].Outcome == waxwingseam.OutcomeDidNotRun && sm.runs[id] > 0 {
		t.Fatalf("call %s: reported as did-not-run (%s), ran %d times", id, replies[0].Reason, sm.runs[id])
	}
	class, _ := sm.set.RequestClass(waxwingseam.ClassName(s.service))
	if class.Repeat == waxwingseam.RepeatNever && sm.runs[id] > 1 {
		t.Fatalf("call %s: not repeatable, ran %d times", id, sm.runs[id])
	}
}

// TestSimulationWithoutFaults checks the simulation itself: without faults, a root
// succeeds with one attempt for each call.
func TestSimulationWithoutFaults(t *testing.T) {
	sm := newSimulation(1, 3, faults{}, retrier.Config{})
	leaf := callTree{service: "s1"}
	root := sm.call(sm.hosts[0], callTree{service: "s0", groups: [][]callTree{{leaf, {service: "s2", groups: [][]callTree{{leaf}}}}, {leaf}}}, nil)
	sm.run()
	qt.Assert(t, sm.replies[root][0].Status, qt.Equals, 200)
	qt.Assert(t, sm.attempts[waxwingseam.RootID(root)], qt.Equals, 5)
}
