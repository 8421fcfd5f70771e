package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/budgeter"
)

// refusing runs a gate whose backend server refuses a share of all calls, with roots that
// make eight calls one after another, each with up to three tries. It returns the number of
// roots that succeeded in the second half of the time.
func refusing(t *testing.T, observed bool) (succeeded int) {
	t.Helper()
	repeats := 0
	const refused, rate, steps, length = 0.55, 200, 8, 40 * time.Second
	budget := waxwingseam.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, CountCalls: true}
	b := budgeter.New(budgeter.Config{Budget: budget})
	random := rand.New(rand.NewPCG(2, 1))
	c := waxwingseam.NewContext(waxwingseam.Server{Name: "fees-0", Service: "fees"})
	calls := 0
	try := func() (ran bool) {
		ran = random.Float64() >= refused
		b.ObserveRun(c, observed && !ran)
		return ran
	}
	for i := range int(length.Seconds() * rate) {
		now := start.Add(time.Duration(i) * time.Second / rate)
		c.Begin(waxwingseam.Stamp{Now: now})
		call := waxwingseam.Call{Depth: 1, Rank: waxwingseam.Rank{Order: random.Uint64()}}
		done := 0
		for ; done < steps; done++ {
			call.Repeated = false
			b.Admit(c, call)
			calls++
			ran := try()
			call.Repeated = true
			for n := 0; !ran && n < 2 && b.Admit(c, call); n++ {
				repeats++
				ran = try()
			}
			if !ran {
				break
			}
		}
		if done == steps && now.Sub(start) >= length/2 {
			succeeded++
		}
	}
	qt.Assert(t, float64(repeats) <= budget.Ratio*float64(calls), qt.IsTrue, qt.Commentf("%d repeats of %d calls", repeats, calls))
	return succeeded
}

// TestRepeatsGoToTheSameRoots guards against a budget that is spread over all roots while
// backend servers refuse a share of all calls: then nearly every root fails at one of its
// calls, although the budget is enough for a part of them.
func TestRepeatsGoToTheSameRoots(t *testing.T) {
	spread := refusing(t, false)
	ordered := refusing(t, true)
	t.Logf("%d roots succeeded with the repeats in order, %d without", ordered, spread)
	qt.Assert(t, ordered > spread*5/4, qt.IsTrue, qt.Commentf("%d, %d", ordered, spread))
}
