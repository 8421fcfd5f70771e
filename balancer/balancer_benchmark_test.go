package balancer_test

import (
	"fmt"
	"testing"

	"waxwingseam.example/waxwingseam"
)

// BenchmarkChoose measures a choice with its end, by known servers.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{0, 20} {
		for _, n := range []int{20, 100, 1000} {
			b.Run(fmt.Sprintf("subset-%d/servers-%d", size, n), func(b *testing.B) {
				v := newBench("desk", servers(n), subsetOf(size))
				b.ReportAllocs()
				for b.Loop() {
					v.choose(waxwingseam.Query{}, done)
				}
			})
		}
	}
}

// BenchmarkRefuse measures an early refusal while all servers shed load.
func BenchmarkRefuse(b *testing.B) {
	shedding := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonOverloaded}
	shedding.Load = waxwingseam.Load{Limit: 10, Shedding: true, Threshold: waxwingseam.Rank{Importance: 9}}
	for _, n := range []int{20, 1000} {
		b.Run(fmt.Sprintf("servers-%d", n), func(b *testing.B) {
			v := newBench("desk", servers(n), subsetOf(0))
			for range 100 * n {
				v.choose(waxwingseam.Query{Rank: waxwingseam.Rank{Order: v.steps}}, shedding)
			}
			b.ReportAllocs()
			for b.Loop() {
				v.choose(waxwingseam.Query{Rank: waxwingseam.Rank{Order: v.steps}}, shedding)
			}
		})
	}
}
