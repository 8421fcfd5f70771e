package balancer_test

import (
	"fmt"
	"testing"

	"waxwingseam.example/waxwingseam"
)

// BenchmarkChoose measures a choice and its feedback, by number of servers.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{0, 20} {
		for _, n := range []int{20, 100, 1000} {
			b.Run(fmt.Sprintf("subset-%d/servers-%d", size, n), func(b *testing.B) {
				h := newHarness("desk", servers(n), subsetOf(size))
				b.ReportAllocs()
				for b.Loop() {
					h.choose(waxwingseam.Query{}, succeeded)
				}
			})
		}
	}
}

// BenchmarkRefuse measures a refusal before sending while all servers shed
// load.
func BenchmarkRefuse(b *testing.B) {
	shedding := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonOverloaded}
	shedding.Load = waxwingseam.Load{Limit: 10, Shedding: true, Threshold: waxwingseam.Rank{Importance: 9}}
	for _, n := range []int{20, 1000} {
		b.Run(fmt.Sprintf("servers-%d", n), func(b *testing.B) {
			h := newHarness("desk", servers(n), subsetOf(0))
			for range 100 * n {
				h.choose(waxwingseam.Query{Rank: waxwingseam.Rank{Order: h.steps}}, shedding)
			}
			b.ReportAllocs()
			for b.Loop() {
				h.choose(waxwingseam.Query{Rank: waxwingseam.Rank{Order: h.steps}}, shedding)
			}
		})
	}
}
