package arbiter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkClaims measures a claim among three nodes, and the memory that one
// claim uses on each.
func BenchmarkClaims(b *testing.B) {
	const claims = 900
	nodes := 0
	var bytesHeld uint64
	for b.Loop() {
		b.StopTimer()
		g := newGroup("a", "b", "c")
		nodes = len(g.nodes)
		before := heapBytes()
		b.StartTimer()
		for n := range uint64(claims) {
			_ = g.call("a", fmt.Sprintf("key-%032d", n), n+1)
		}
		b.StopTimer()
		g.advance(time.Second)
		bytesHeld = heapBytes() - before
		runtime.KeepAlive(g)
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/claims, "ns/claim")
	b.ReportMetric(float64(bytesHeld)/claims/float64(nodes), "B/claim-and-node")
}

// heapBytes returns the heap bytes in use after a garbage collection.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
