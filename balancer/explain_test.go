package balancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestExplanationIsTheDecision guards against an explanation that differs from what Choose
// decides at the same moment, and against one that changes later decisions.
func TestExplanationIsTheDecision(t *testing.T) {
	asked, plain := newHarness("desk", servers(20), &waxwingseam.Set{}), newHarness("desk", servers(20), &waxwingseam.Set{})
	shed := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonOverloaded, RefusedPermille: 300}
	bases := map[waxwingseam.RefusalBasis]int{}
	for i := range 3000 {
		query := waxwingseam.Query{Service: "fees", Root: true, Rank: waxwingseam.Rank{Order: uint64(i)}}
		asked.begin()
		route := asked.Explain(asked.context, query)
		asked.steps--
		result := succeeded
		if i%600 > 400 {
			result = shed
		}
		result.Load = waxwingseam.Load{Limit: 10, InFlight: 10, Waiting: 20, Pace: uint16(100 + i%7*30), ServiceTime: 20 * time.Millisecond}
		a, b := asked.choose(query, result), plain.choose(query, result)
		qt.Assert(t, a.Server, qt.Equals, b.Server)
		qt.Assert(t, route.Server, qt.Equals, a.Server.Name)
		qt.Assert(t, route.Basis, qt.Equals, a.Basis)
		bases[a.Basis]++
		asked.now, plain.now = asked.now.Add(time.Millisecond), plain.now.Add(time.Millisecond)
	}
	qt.Assert(t, bases[waxwingseam.BasisStatedShare] > 0 && bases[waxwingseam.BasisThrottle] > 0, qt.IsTrue, qt.Commentf("%v", bases))
}
