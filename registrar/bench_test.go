package registrar

import (
	"fmt"
	"testing"

	"waxwingseam.example/waxwingseam"
)

// BenchmarkLeases measures one look at the leases of all servers at the size
// planned.
func BenchmarkLeases(b *testing.B) {
	w := newWorld()
	for i := range 6_900 {
		w.learn(fmt.Sprintf("r%d", i%15), false, announcement(fmt.Sprintf("s%d", i), 1, 1))
	}
	event := waxwingseam.TimerFired{Stamp: w.stamp(), Timer: waxwingseam.TimerID{Purpose: PurposeLeases}}
	for b.Loop() {
		w.reducer.Reduce(event)
	}
}
