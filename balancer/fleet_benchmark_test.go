package balancer_test

import (
	"testing"
	"time"
)

// BenchmarkFleet reports how calls spread over machines, in virtual time.
func BenchmarkFleet(b *testing.B) {
	for _, v := range []struct {
		name   string
		load   float64
		change func(f *fleet)
	}{
		{"fresh/80", 0.8, func(*fleet) {}},
		{"stale-5s/80", 0.8, func(f *fleet) { f.stale = 5 * time.Second }},
		{"fresh/95", 0.95, func(*fleet) {}},
		{"stale-5s/95", 0.95, func(f *fleet) { f.stale = 5 * time.Second }},
		{"one-slow/60", 0.6, func(f *fleet) { f.machines[0].slow = 5 }},
		{"one-slow-stale/60", 0.6, func(f *fleet) { f.machines[0].slow = 5; f.stale = 5 * time.Second }},
		{"one-failing/60", 0.6, func(f *fleet) { f.machines[0].failing = true }},
		{"one-refusing/60", 0.6, func(f *fleet) { f.machines[0].slots = 1 }},
	} {
		for _, size := range []struct{ senders, machines, slots int }{{4, 4, 15}, {24, 12, 60}} {
			b.Run(v.name, func(b *testing.B) {
				for b.Loop() {
					f := newFleet(size.senders, size.machines, size.slots)
					rate := v.load * f.capacity()
					v.change(f)
					f.run(rate, 3*time.Second, same)
					f.reset()
					f.run(rate, 10*time.Second, same)
					calls := float64(len(f.ended) + f.refusals + f.failures + f.early)
					b.ReportMetric(float64(f.percentile(50))/1e6, "p50-ms")
					b.ReportMetric(float64(f.percentile(99))/1e6, "p99-ms")
					b.ReportMetric(100*float64(len(f.ended))/calls, "%served")
					b.ReportMetric(100*float64(f.early)/calls, "%early")
					b.ReportMetric(f.spread(), "max/mean")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}
