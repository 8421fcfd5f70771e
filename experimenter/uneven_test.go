package experimenter

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// unevenTestServers is the number of servers in the tests; more take minutes.
const unevenTestServers = 10

// onTimeShare returns the share of requests that were served on time, as the mean of some
// seeds.
func onTimeShare(l Layer, u Uneven, demand float64) float64 {
	const seeds = 3
	sum := 0.0
	for seed := range uint64(seeds) {
		c := UnevenConfig(unevenTestServers, u, demand, seed+1)
		c.Layer = l
		r := Run(c)
		onTime, issued := 0.0, 0.0
		for i := range r.IssuedByKind {
			onTime += r.OnTimeByKind[i]
			issued += r.IssuedByKind[i]
		}
		sum += onTime / issued / seeds
	}
	return sum
}

// TestFiguresCloseHalfOfTheGap guards against a choice of servers that loses more than half
// of what an oracle gains over the choice without figures. The gap at 1.5 times the capacity
// is that between costs of single requests, which only the oracle knows; there the figures
// must not harm.
func TestFiguresCloseHalfOfTheGap(t *testing.T) {
	t.Parallel()
	stating := UnevenServers()
	silent := stating
	silent.StatesPace = false
	for _, demand := range []float64{0.7, 0.95} {
		before, after := onTimeShare(Waxwingseam(), silent, demand), onTimeShare(Waxwingseam(), stating, demand)
		best := onTimeShare(Oracle(), stating, demand)
		qt.Check(t, after >= (before+best)/2, qt.IsTrue, qt.Commentf("%v: %.4f before, %.4f after, %.4f oracle", demand, before, after, best))
	}
	before, after := onTimeShare(Waxwingseam(), silent, 1.5), onTimeShare(Waxwingseam(), stating, 1.5)
	qt.Check(t, after >= before, qt.IsTrue, qt.Commentf("%.4f before, %.4f after", before, after))
}

// TestEvenServersLoseNothing guards against figures that make a service of equal servers
// worse.
func TestEvenServersLoseNothing(t *testing.T) {
	t.Parallel()
	stating := EvenServers()
	silent := stating
	silent.StatesPace = false
	for _, demand := range []float64{0.7, 0.95, 1.5} {
		before, after := onTimeShare(Waxwingseam(), silent, demand), onTimeShare(Waxwingseam(), stating, demand)
		qt.Check(t, after >= 0.99*before, qt.IsTrue, qt.Commentf("%v: %.4f before, %.4f after", demand, before, after))
	}
}
