package registrar

import (
	"fmt"
	"testing"

	"waxwingseam.example/waxwingseam"
)

// BenchmarkLeases measures one check of the leases of 6,900 servers.
func BenchmarkLeases(b *testing.B) {
	h := newHarness()
	for i := range 6_900 {
		h.updatePeer(fmt.Sprintf("r%d", i%15), false, announcement(fmt.Sprintf("s%d", i), 1, 1))
	}
	event := waxwingseam.TimerFired{Stamp: h.stamp(), Timer: waxwingseam.TimerID{Purpose: PurposeLeases}}
	for b.Loop() {
		h.reducer.Reduce(event)
	}
}
