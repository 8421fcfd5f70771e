package collector_test

import (
	"context"
	"fmt"
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/collector"
)

func ExamplePercent() {
	for _, use := range []float64{0.02, 0.05, 0.125, 0.2, 0.9} {
		fmt.Println(use, collector.Percent(use))
	}
	// Output:
	// 0.02 40
	// 0.05 40
	// 0.125 70
	// 0.2 100
	// 0.9 100
}

// TestPaceOutlivesRun guards against a pace that stays in force after Run has ended.
func TestPaceOutlivesRun(t *testing.T) {
	before := debug.SetGCPercent(77)
	defer debug.SetGCPercent(before)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	collector.Run(ctx)
	qt.Assert(t, debug.SetGCPercent(77), qt.Equals, 77)
}
