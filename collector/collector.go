// Package collector paces the garbage collector of a process by the processor time that
// the process uses: with little use, memory is dearer than processor time, and the
// collector runs more often.
package collector

import (
	"context"
	"runtime/debug"
	"time"

	"waxwingseam.example/waxwingseam/sampler"
)

const (
	// interval is the time between two changes of the pace.
	interval = time.Second
	// minPercent and maxPercent bound by how much the heap may grow between two
	// collections, in percent of the live heap.
	minPercent = 40
	maxPercent = 100
	// lowUse is the use of one processor up to which minPercent holds, highUse the use
	// from which maxPercent holds.
	lowUse  = 0.05
	highUse = 0.20
)

// Percent returns by how much the heap may grow between two collections, in percent of
// the live heap, for a use of one processor.
func Percent(use float64) int {
	part := min(max((use-lowUse)/(highUse-lowUse), 0), 1)
	return minPercent + int(part*(maxPercent-minPercent))
}

// Run paces the collector until the context is done, and then restores the pace that was
// in force before.
func Run(ctx context.Context) {
	before := debug.SetGCPercent(minPercent)
	defer debug.SetGCPercent(before)
	usage := sampler.New()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last, percent := time.Now(), minPercent
	unused := newReturner()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		unused.look(now)
		use := usage.Sample().ProcessorTime.Seconds() / max(now.Sub(last), time.Millisecond).Seconds()
		last = now
		if next := Percent(use); next != percent {
			percent = next
			debug.SetGCPercent(percent)
		}
	}
}
