package assembler_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/assembler"
	"waxwingseam.example/waxwingseam/reducer"
)

// BenchmarkKnownServers reports the memory that a node's reducer uses per known
// backend server.
func BenchmarkKnownServers(b *testing.B) {
	const servers = 2000
	for b.Loop() {
		before := heapInUse()
		r := reducer.New(reducer.Config{Workers: assembler.Workers(assembler.WorkersConfig{Self: waxwingseam.Server{Name: "self"}})})
		list := make([]waxwingseam.Server, servers)
		for n := range list {
			list[n] = waxwingseam.Server{
				Name:        waxwingseam.ServerName(fmt.Sprintf("server-%d", n)),
				Service:     waxwingseam.ServiceName(fmt.Sprintf("service-%d", n%10)),
				DataCentre:  "dc-1",
				Incarnation: 1,
			}
		}
		r.Reduce(waxwingseam.ServersUpdated{Stamp: waxwingseam.Stamp{Now: time.Unix(1, 0)}, Servers: list})
		b.ReportMetric(float64(heapInUse()-before)/servers, "bytes/server")
		runtime.KeepAlive(r)
	}
}

// heapInUse returns the bytes of live heap objects after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
