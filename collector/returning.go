package collector

import (
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// maxUnused is how much memory in bytes, besides half of the live heap, may be unused or
	// dead since the last collection before it is returned to the operating system.
	maxUnused = 12 << 20
	// returnInterval is the least time between two returns, each of which collects once. With
	// 25 MB alive that takes some 10 ms of a processor.
	returnInterval = 4 * time.Second
)

// returner returns unused memory after a peak. The runtime itself collects an idle process
// only every two minutes, and a host that is short of memory counts what is resident.
type returner struct {
	samples  []metrics.Sample
	returned time.Time
}

func newReturner() *returner {
	return &returner{samples: []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/unused:bytes"},
		{Name: "/memory/classes/heap/free:bytes"},
		{Name: "/gc/heap/live:bytes"},
	}}
}

// look returns memory if too much is unused.
func (r *returner) look(now time.Time) {
	if now.Sub(r.returned) < returnInterval {
		return
	}
	metrics.Read(r.samples)
	value := func(i int) int64 { return int64(r.samples[i].Value.Uint64()) }
	live := value(3)
	if value(0)+value(1)+value(2)-live > maxUnused+live/2 {
		r.returned = now
		debug.FreeOSMemory()
	}
}
