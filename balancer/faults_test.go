package balancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestFaultyServersAreDemoted runs three servers, two of which fail or refuse
// two of five requests. While the healthy server has room, almost no call meets
// a fault; above its capacity the faulty servers still serve calls.
func TestFaultyServersAreDemoted(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		for _, v := range []struct {
			load        float64
			faults, all float64
		}{
			// If calls were spread evenly, 27 % would meet a fault. The healthy
			// server alone can serve a third, so three of four are avoidable.
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
				asked := float64(len(f.latencies) + f.failures + f.refusals + f.earlyRefusals)
				faults := float64(f.failures) / asked
				qt.Check(t, faults <= v.faults, qt.IsTrue, qt.Commentf("faults %.3f", faults))
				qt.Check(t, float64(len(f.latencies))/asked >= v.all, qt.IsTrue, qt.Commentf("served %.3f", float64(len(f.latencies))/asked))
			})
		}
	}
}

// TestImportantCallsAvoidFaultyServers offers three times the capacity to such
// servers, which also refuse less important calls when full. The important
// calls are few enough for the healthy server and must be sent there.
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
	share := float64(v.done) / float64(v.sent+v.early)
	qt.Assert(t, share >= 0.9, qt.IsTrue, qt.Commentf("%.3f of the important calls served, %d early", share, v.early))
	qt.Assert(t, f.byImportance[5].done > 0, qt.IsTrue)
}
