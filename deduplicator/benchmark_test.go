package deduplicator_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/deduplicator"
)

// BenchmarkRecords measures the cost of the records at a rate of calls: the
// time of one call from its arrival to its end, and the memory once the number
// of records is steady.
func BenchmarkRecords(b *testing.B) {
	for _, rate := range []int{135, 2000} {
		for _, key := range []string{"", "key"} {
			b.Run(fmt.Sprintf("rate=%d/key=%v", rate, key != ""), func(b *testing.B) {
				b.ReportAllocs()
				records := deduplicator.New(deduplicator.Config{})
				c := waxwingseam.NewContext(waxwingseam.Server{})
				now := time.Unix(0, 0)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				n := 0
				step := func() {
					n++
					now = now.Add(time.Second / time.Duration(rate))
					c.Begin(waxwingseam.Stamp{Now: now})
					call := waxwingseam.Call{Deadline: now.Add(10 * time.Second)}
					binary.BigEndian.PutUint64(call.ID[:], uint64(n))
					if key != "" {
						call.Key = fmt.Sprint(key, n)
					}
					records.Arrive(c, call)
					records.Start(c, call.ID)
					records.Finish(c, call.ID, waxwingseam.Result{Length: 1024})
					if n%rate == 0 {
						records.Expire(c)
					}
				}
				const warmUpSeconds = 11 * 60
				for range warmUpSeconds * rate {
					step()
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				for b.Loop() {
					step()
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
				runtime.KeepAlive(records)
			})
		}
	}
}
