package allocator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/allocator"
)

// BenchmarkTake measures a decision at one of 100 nodes: of an account without a limit, of
// one far below its limit, and of one that is refused.
func BenchmarkTake(b *testing.B) {
	for _, v := range []struct {
		name    string
		account waxwingseam.AccountName
		before  func(w *world)
	}{
		{"no limit", "other", func(*world) {}},
		{"below the limit", "account-0", func(*world) {}},
		{"over the limit", "account-0", func(w *world) {
			w.surge(w.usage[0], 20, time.Second)
			w.pass(time.Second)
		}},
	} {
		b.Run(v.name, func(b *testing.B) {
			w := newWorld(1, 100, 80)
			w.demand()
			w.pass(5 * time.Second)
			v.before(w)
			n := w.nodes[3]
			b.ReportAllocs()
			for b.Loop() {
				w.calls++
				id := waxwingseam.NewCallID(2, w.calls)
				n.context.Begin(n.stamp())
				if n.allocator.Take(n.context, v.account, id, 0).Admitted {
					n.allocator.Refund(n.context, v.account, n.stamp().Now)
				}
				if w.calls%1024 == 0 {
					b.StopTimer()
					n.execute()
					w.pass(10 * time.Millisecond)
					b.StartTimer()
				}
			}
		})
	}
}

// TestWithoutLimits guards against messages, timers and allocations in deployments whose
// accounts have no limits.
func TestWithoutLimits(t *testing.T) {
	c := waxwingseam.NewContext(waxwingseam.Server{})
	a := allocator.New()
	c.Begin(waxwingseam.Stamp{Now: epoch, Random: 1})
	c.Set = &waxwingseam.Set{Revision: 1, ClientAccounts: []waxwingseam.ClientAccount{{Name: "free"}}}
	a.Reduce(c, waxwingseam.SetAdopted{Set: c.Set})
	a.Reduce(c, waxwingseam.ServersUpdated{Servers: []waxwingseam.Server{{Name: "desk"}}})
	a.Reduce(c, waxwingseam.AccountMessageReceived{Message: []byte{1, 2, 3}})
	a.Reduce(c, waxwingseam.TimerFired{Timer: waxwingseam.TimerID{Purpose: allocator.Timer}})
	id := waxwingseam.NewCallID(1, 1)
	allocations := testing.AllocsPerRun(100, func() {
		if !a.Take(c, "free", id, time.Second).Admitted || a.Decided(c) != nil {
			t.Error("a root without a limit is not admitted at once")
		}
	})
	qt.Check(t, allocations, qt.Equals, 0.0)
	qt.Check(t, c.Effects(), qt.HasLen, 0)
}
