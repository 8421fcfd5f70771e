package balancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestFaultyServersAreDemoted runs three servers, two of which fail or refuse
// two of five requests. While the healthy server has room, at most a quarter
// as many calls meet a fault as with an even spread; above its capacity the
// faulty servers still serve calls.
func TestFaultyServersAreDemoted(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		for _, v := range []struct {
			load        float64
			faults, all float64
		}{
			// If calls were spread evenly, 27 % would meet a fault. At this
			// load the healthy server alone has room for all calls, so at
			// least three of four faults must be avoided.
			{0.2, 0.067, 0.93},
			// The healthy server alone has a third of the capacity.
			{0.7, 0.27, 1.0 / 3 / 0.7},
		} {
			t.Run(fmt.Sprintf("refuses %v, load %v", refuses, v.load), func(t *testing.T) {
				f := newFleet(6, 3, 6)
				for _, m := range f.machines[1:] {
					m.faultPercent, m.refuses = 40, refuses
				}
				rate := v.load * f.capacity()
				f.run(rate, 4*time.Second, constantImportance)
				f.reset()
				f.run(rate, 5*time.Second, constantImportance)
				asked := float64(len(f.latencies) + f.failures + f.refusals + f.unsentRefusals)
				faults := float64(f.failures) / asked
				qt.Check(t, faults <= v.faults, qt.IsTrue, qt.Commentf("faults %.3f", faults))
				qt.Check(t, float64(len(f.latencies))/asked >= v.all, qt.IsTrue, qt.Commentf("served %.3f", float64(len(f.latencies))/asked))
			})
		}
	}
}

// TestImportantCallsAvoidFaultyServers checks that at least nine of ten
// important calls are served at three times the capacity, although two of
// three servers refuse two of five requests: the important calls are few
// enough for the healthy server. A server sheds less important calls while
// calls wait in its queue.
func TestImportantCallsAvoidFaultyServers(t *testing.T) {
	f := newFleet(6, 3, 6)
	for _, m := range f.machines[1:] {
		m.faultPercent, m.refuses = 40, true
	}
	f.threshold = func(m *machine) (waxwingseam.Rank, bool) {
		return waxwingseam.Rank{Importance: 9}, len(m.waiting) > 0
	}
	importance := func() waxwingseam.Importance {
		if f.random.IntN(20) == 0 {
			return 9
		}
		return 5
	}
	rate := 3 * f.capacity()
	f.run(rate, 4*time.Second, importance)
	f.byImportance = map[waxwingseam.Importance]*callCounts{}
	f.run(rate, 5*time.Second, importance)
	v := f.byImportance[9]
	share := float64(v.done) / float64(v.sent+v.refusedUnsent)
	qt.Assert(t, share >= 0.9, qt.IsTrue, qt.Commentf("%.3f of the important calls served, %d refused before sending", share, v.refusedUnsent))
	qt.Assert(t, f.byImportance[5].done > 0, qt.IsTrue)
}
