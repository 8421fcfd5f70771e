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

// drawShape draws a tree of calls, at most five deep.
func drawShape(t *rapid.T, depth int) shape {
	s := shape{service: rapid.SampledFrom(worldServices).Draw(t, "service")}
	if depth <= 0 {
		return s
	}
	for range rapid.IntRange(0, 2).Draw(t, "groups") {
		group := make([]shape, rapid.IntRange(1, 3).Draw(t, "parallel"))
		for i := range group {
			group[i] = drawShape(t, depth-rapid.IntRange(1, 3).Draw(t, "levels"))
		}
		s.groups = append(s.groups, group)
	}
	return s
}

func drawFaults(t *rapid.T) faults {
	share := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
	return faults{
		request: share("request", 20), reply: share("reply", 20), refuse: share("refuse", 60),
		fail: share("fail", 20), restart: share("restart", 5),
	}
}

// TestChainBounds plays random trees, losses and timings: attempts stay within
// calls and allowance, each call is answered once, a not-repeatable call runs
// at most once, and did-not-run is true.
func TestChainBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := waxwingseam.Allowance(rapid.IntRange(0, 6).Draw(t, "allowance"))
		w := newWorld(rapid.Uint64().Draw(t, "seed"), allowance, drawFaults(t), retrier.Config{})
		for range 3 {
			s := drawShape(t, 4)
			w.after(time.Duration(rapid.IntRange(0, 50).Draw(t, "at"))*time.Millisecond, func() { w.call(w.hosts[0], s, nil) })
		}
		w.run()
		for _, id := range w.order {
			root := w.roots[id]
			if most := w.calls[root] + int(allowance); w.attempts[root] > most {
				t.Fatalf("root %s: %d attempts, want at most %d", root, w.attempts[root], most)
			}
		}
		for _, id := range w.order {
			checkCall(t, w, id, w.shapes[id])
		}
	})
}

func checkCall(t *rapid.T, w *world, id waxwingseam.CallID, s shape) {
	replies := w.replies[id]
	if len(replies) > 1 {
		t.Fatalf("call %s: %d replies", id, len(replies))
	}
	if len(replies) == 1 && replies[0].Outcome == waxwingseam.OutcomeDidNotRun && w.runs[id] > 0 {
		t.Fatalf("call %s: said not to have run (%s), ran %d times", id, replies[0].Reason, w.runs[id])
	}
	class, _ := w.set.RequestClass(waxwingseam.ClassName(s.service))
	if class.Repeat == waxwingseam.RepeatNever && w.runs[id] > 1 {
		t.Fatalf("call %s: not repeatable, ran %d times", id, w.runs[id])
	}
}

// TestWorldFinishes guards the property above: without faults all roots end.
func TestWorldFinishes(t *testing.T) {
	w := newWorld(1, 3, faults{}, retrier.Config{})
	leaf := shape{service: "s1"}
	root := w.call(w.hosts[0], shape{service: "s0", groups: [][]shape{{leaf, {service: "s2", groups: [][]shape{{leaf}}}}, {leaf}}}, nil)
	w.run()
	qt.Assert(t, w.replies[root][0].Status, qt.Equals, 200)
	qt.Assert(t, w.attempts[waxwingseam.RootID(root)], qt.Equals, 5)
}
