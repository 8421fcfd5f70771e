package arbiter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkClaims measures a claim with its three nodes, and the memory that
// one claim holds at each.
func BenchmarkClaims(b *testing.B) {
	const claims = 900
	nodes := 0
	var held uint64
	for b.Loop() {
		b.StopTimer()
		g := newGroup("a", "b", "c")
		nodes = len(g.nodes)
		before := heap()
		b.StartTimer()
		for n := range uint64(claims) {
			_ = g.call("a", fmt.Sprintf("key-%032d", n), n+1)
		}
		b.StopTimer()
		g.pass(time.Second)
		held = heap() - before
		runtime.KeepAlive(g)
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/claims, "ns/claim")
	b.ReportMetric(float64(held)/claims/float64(nodes), "B/claim-and-node")
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
