package experimenter

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// longSurge returns a long surge whose scarcest service is fees, with callers who return
// after a refusal, and its phases.
func longSurge(speeds feeSpeeds, surge float64) (Config, []phase) {
	config, _ := leavingServers(speeds, 0)
	phases := []phase{
		{"usual demand", 0, quietTime, nil},
		{"surge", quietTime, quietTime + 16*time.Second, nil},
		{"after the surge", quietTime + 18*time.Second, quietTime + 24*time.Second, nil},
	}
	config.Faults = nil
	config.Demand = Demand{Base: leavingBase, Surge: surge, Resends: 1, Patient: true}
	config.TriggerEnd = phases[1].to
	config.Duration = phases[2].to
	return config, phases
}

// TestReturningCallersDisplaceNewOnes guards against callers who return in a long surge
// and are served late, in place of callers who could be served on time.
func TestReturningCallersDisplaceNewOnes(t *testing.T) {
	t.Parallel()
	for _, surge := range []float64{1.1, 1.4, 2} {
		t.Run(fmt.Sprintf("surge %.1f", surge), func(t *testing.T) {
			t.Parallel()
			checkLongSurge(t, surge)
		})
	}
}

// checkLongSurge checks the shares of several runs of a long surge together.
func checkLongSurge(t *testing.T, surge float64) {
	t.Helper()
	const seeds = 3
	speeds := feeSpeeds{0.6, 1.0, 1.4, 0.6, 1.0}
	config, phases := longSurge(speeds, surge)
	counts := make([]phaseCounts, len(phases))
	served, issued := 0, 0
	for seed := range uint64(seeds) {
		config.Seed = seed + 1
		config.Layer = Waxwingseam()
		var world *World
		config.Faults = []Fault{{Do: func(w *World) { world = w }}}
		r := Run(config)
		qt.Check(t, r.OpenCalls, qt.Equals, 0)
		for i, p := range phases {
			counts[i].countPhase(world, p)
		}
		for _, q := range world.tally.requests {
			if at := q.issued.Sub(world.startTime); at >= phases[1].from && at < phases[1].to {
				issued++
				if q.served {
					served++
				}
			}
		}
	}
	fees := config.Deployment.Tiers[len(config.Deployment.Tiers)-1]
	t.Logf("served in all %.3f of %d", float64(served)/float64(issued), issued)
	for i, p := range phases {
		checkShares(t, config, p, counts[i], seeds, speeds.capacity(fees.Slots, nil))
	}
}
