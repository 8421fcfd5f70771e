package balancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// serve chooses a server, and ends the call after a time with the load that the server
// states then.
func (h *harness) serve(answer func(waxwingseam.ServerName) (waxwingseam.Load, time.Duration)) waxwingseam.ServerName {
	h.begin()
	choice := h.Choose(h.context, waxwingseam.Query{Service: "fees"})
	if choice.Refused {
		return ""
	}
	load, elapsed := answer(choice.Server.Name)
	h.now = h.now.Add(time.Millisecond)
	h.begin()
	h.Observe(h.context, waxwingseam.Feedback{
		Server: choice.Server.Name, Elapsed: elapsed, Expected: choice.Expected,
		Result: waxwingseam.Result{Reached: true, Status: 200, Load: load},
	})
	return choice.Server.Name
}

// TestFiguresWithoutPaceAreIgnored guards against other decisions for servers that state no
// pace than before they could state any.
func TestFiguresWithoutPaceAreIgnored(t *testing.T) {
	plain, stating := newHarness("desk", servers(7), &waxwingseam.Set{}), newHarness("desk", servers(7), &waxwingseam.Set{})
	load := waxwingseam.Load{Limit: 10, InFlight: 3, Waiting: 2, ServiceTime: 20 * time.Millisecond}
	for i := range 2000 {
		elapsed := time.Duration(10+i%17) * time.Millisecond
		a := plain.serve(func(waxwingseam.ServerName) (waxwingseam.Load, time.Duration) {
			return load, elapsed
		})
		b := stating.serve(func(waxwingseam.ServerName) (waxwingseam.Load, time.Duration) {
			with := load
			with.WorkLeft = time.Duration(i%5) * time.Second
			return with, elapsed
		})
		qt.Assert(t, a, qt.Equals, b)
	}
}

// TestSlowedServersGetFewCalls guards against calls that go to a server which says that
// work takes two and a half times as long at this moment, and against one that is not
// tried again.
func TestSlowedServersGetFewCalls(t *testing.T) {
	h := newHarness("desk", servers(5), &waxwingseam.Set{})
	counts := map[waxwingseam.ServerName]int{}
	const calls = 2000
	for range calls {
		counts[h.serve(func(name waxwingseam.ServerName) (waxwingseam.Load, time.Duration) {
			load := waxwingseam.Load{Limit: 10, ServiceTime: 20 * time.Millisecond, Pace: 100}
			if name == "fees-0" {
				load.Pace, load.ServiceTime = 250, 50*time.Millisecond
			}
			return load, load.ServiceTime
		})]++
	}
	qt.Assert(t, counts["fees-0"] > 0, qt.IsTrue)
	qt.Assert(t, counts["fees-0"] < calls/5/4, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestWrongFiguresAttractNoCalls guards against a server that draws calls by figures which
// its answers do not bear out. It takes as long as the others, and states to be idle and
// quick.
func TestWrongFiguresAttractNoCalls(t *testing.T) {
	h := newHarness("desk", servers(5), &waxwingseam.Set{})
	counts := map[waxwingseam.ServerName]int{}
	const calls, learning = 4000, 500
	for i := range calls + learning {
		name := h.serve(func(name waxwingseam.ServerName) (waxwingseam.Load, time.Duration) {
			load := waxwingseam.Load{Limit: 10, InFlight: 9, ServiceTime: 20 * time.Millisecond, Pace: 150, WorkLeft: 10 * time.Millisecond}
			if name == "fees-0" {
				load = waxwingseam.Load{Limit: 1000, ServiceTime: time.Millisecond, Pace: 1}
			}
			return load, 30 * time.Millisecond
		})
		if i >= learning {
			counts[name]++
		}
	}
	qt.Assert(t, counts["fees-0"] <= calls*11/50, qt.IsTrue, qt.Commentf("%v", counts))
}

// BenchmarkChooseByFigures measures a choice and its feedback if the servers state figures.
func BenchmarkChooseByFigures(b *testing.B) {
	for _, n := range []int{20, 1000} {
		b.Run(fmt.Sprintf("servers-%d", n), func(b *testing.B) {
			h := newHarness("desk", servers(n), &waxwingseam.Set{})
			result := succeeded
			result.Load = waxwingseam.Load{Limit: 10, ServiceTime: 20 * time.Millisecond, Pace: 100, WorkLeft: time.Millisecond}
			for range 20 * n {
				h.choose(waxwingseam.Query{}, result)
			}
			b.ReportAllocs()
			for b.Loop() {
				h.choose(waxwingseam.Query{}, result)
			}
		})
	}
}
