package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"waxwingseam.example/waxwingseam"
)

// BenchmarkFleet reports how calls spread over machines in simulated time.
func BenchmarkFleet(b *testing.B) {
	for _, v := range []struct {
		name   string
		load   float64
		change func(f *fleet)
	}{
		{"fresh/80", 0.8, func(*fleet) {}},
		{"stale-5s/80", 0.8, func(f *fleet) { f.reportAge = 5 * time.Second }},
		{"fresh/95", 0.95, func(*fleet) {}},
		{"stale-5s/95", 0.95, func(f *fleet) { f.reportAge = 5 * time.Second }},
		{"one-slow/60", 0.6, func(f *fleet) { f.machines[0].slowdown = 5 }},
		{"one-slow-stale/60", 0.6, func(f *fleet) { f.machines[0].slowdown = 5; f.reportAge = 5 * time.Second }},
		{"one-failing/60", 0.6, func(f *fleet) { f.machines[0].failureStatus = 500 }},
		{"skewed/70", 0.7, func(f *fleet) { f.skewPercent = 60 }},
		{"skewed-stale/70", 0.7, func(f *fleet) { f.skewPercent = 60; f.reportAge = 5 * time.Second }},
		{"one-refusing/60", 0.6, func(f *fleet) { f.machines[0].slots = 1 }},
	} {
		for _, size := range []struct{ senders, machines, slots int }{{3, 3, 15}, {24, 12, 60}} {
			b.Run(v.name, func(b *testing.B) {
				for b.Loop() {
					f := newFleet(size.senders, size.machines, size.slots)
					rate := v.load * f.capacity()
					v.change(f)
					f.run(rate, 3*time.Second, constantImportance)
					f.reset()
					f.run(rate, 10*time.Second, constantImportance)
					calls := float64(len(f.latencies) + f.refusals + f.failures + f.unsentRefusals)
					b.ReportMetric(float64(f.percentile(50))/1e6, "p50-ms")
					b.ReportMetric(float64(f.percentile(99))/1e6, "p99-ms")
					b.ReportMetric(100*float64(len(f.latencies))/calls, "%served")
					b.ReportMetric(100*float64(f.unsentRefusals)/calls, "%early")
					b.ReportMetric(f.maxOverMean(), "max/mean")
					b.ReportMetric(100*float64(f.far)/calls, "%far")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// BenchmarkSurge reports the effects of a surge of calls of three importances.
func BenchmarkSurge(b *testing.B) {
	for _, factor := range []float64{1.2, 3, 10} {
		for name, threshold := range map[string]func(*machine) (waxwingseam.Rank, bool){"thresholds": shedLeast, "refusals": nil} {
			b.Run(fmt.Sprintf("%s/%v", name, factor), func(b *testing.B) {
				for b.Loop() {
					f := newFleet(12, 6, 15)
					f.threshold = threshold
					f.run(factor*f.capacity(), time.Second, f.surgeImportance)
					f.reset()
					f.run(factor*f.capacity(), 5*time.Second, f.surgeImportance)
					b.ReportMetric(100*float64(len(f.latencies))/(5*f.capacity()), "%goodput")
					b.ReportMetric(100*float64(f.unsentRefusals)/float64(f.unsentRefusals+f.refusals), "%early")
					b.ReportMetric(float64(f.inversions), "inversions")
					for _, i := range []waxwingseam.Importance{2, 5, 8} {
						v := f.byImportance[i]
						b.ReportMetric(100*float64(v.done)/float64(v.sent+v.refusedUnsent), fmt.Sprintf("%%done-%d", i))
					}
					surgeEnd := f.now
					for f.unsentRefusals = 1; f.unsentRefusals > 0 && f.now.Sub(surgeEnd) < 10*time.Second; {
						f.reset()
						f.run(0.7*f.capacity(), 100*time.Millisecond, f.surgeImportance)
					}
					b.ReportMetric(f.now.Sub(surgeEnd).Seconds(), "recovery-s")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}
