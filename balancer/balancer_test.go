package balancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/balancer"
)

// servers returns announced servers of the service "fees".
func servers(n int) []waxwingseam.Server {
	list := make([]waxwingseam.Server, n)
	for i := range list {
		list[i] = waxwingseam.Server{
			Name: waxwingseam.ServerName(fmt.Sprintf("fees-%d", i)), Service: "fees", Incarnation: 1, Since: start.Add(-time.Hour),
		}
	}
	return list
}

// harness is a balancer with a clock that the test controls.
type harness struct {
	waxwingseam.Balancer
	context *waxwingseam.Context
	now     time.Time
	steps   uint64
}

func newHarness(self string, list []waxwingseam.Server, set *waxwingseam.Set) *harness {
	h := &harness{Balancer: balancer.New(balancer.Config{Self: waxwingseam.ServerName(self)}), now: start}
	h.context = waxwingseam.NewContext(waxwingseam.Server{})
	h.begin()
	h.Adopt(set)
	h.UpdateServers(h.context, list, nil)
	return h
}

func (h *harness) begin() {
	h.steps++
	h.context.Begin(waxwingseam.Stamp{Now: h.now, Random: h.steps})
}

// choose chooses a server and immediately reports the result of the attempt.
func (h *harness) choose(q waxwingseam.Query, result waxwingseam.Result) waxwingseam.Choice {
	h.begin()
	q.Service = "fees"
	choice := h.Choose(h.context, q)
	if !choice.Refused {
		result.Reached = true
		h.Observe(h.context, waxwingseam.Feedback{Server: choice.Server.Name, Rank: q.Rank, Result: result, Elapsed: time.Millisecond, Expected: choice.Expected})
	}
	return choice
}

var succeeded = waxwingseam.Result{Status: 200, Load: waxwingseam.Load{Limit: 10}}

func subsetOf(size int) *waxwingseam.Set {
	return &waxwingseam.Set{Services: []waxwingseam.Service{{Name: "fees", SubsetSize: size}}}
}

// TestLeavingServersGetNoCalls checks that a server that leaves, in each way
// in which it can, is sent no calls, not even pinned ones.
func TestLeavingServersGetNoCalls(t *testing.T) {
	list := servers(2)
	leave := list[0]
	leave.Leaving = true
	drained := &waxwingseam.Set{BackendServers: []waxwingseam.BackendServer{{Name: "fees-0", Drained: true}}}
	for _, v := range []struct {
		name   string
		change func(h *harness)
	}{
		{"announced", func(h *harness) { h.UpdateServers(h.context, []waxwingseam.Server{leave}, nil) }},
		{"gone", func(h *harness) { h.UpdateServers(h.context, nil, []waxwingseam.ServerName{"fees-0"}) }},
		{"drained by an operator", func(h *harness) { h.Adopt(drained) }},
		{"reported with an answer", func(h *harness) {
			h.Observe(h.context, waxwingseam.Feedback{Server: "fees-0", Result: waxwingseam.Result{Reached: true, Load: waxwingseam.Load{Leaving: true}}})
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			h := newHarness("desk", list, &waxwingseam.Set{})
			v.change(h)
			for range 50 {
				qt.Assert(t, h.choose(waxwingseam.Query{}, succeeded).Server.Name, qt.Equals, waxwingseam.ServerName("fees-1"))
			}
			pinned := h.choose(waxwingseam.Query{Pinned: "fees-0"}, succeeded)
			qt.Assert(t, pinned.Reason, qt.Equals, waxwingseam.ReasonNoServer)
		})
	}
}

// TestRetryAvoidsTriedServers checks that a server is tried again only if no
// other server is left.
func TestRetryAvoidsTriedServers(t *testing.T) {
	h := newHarness("desk", servers(3), &waxwingseam.Set{})
	for range 50 {
		two := waxwingseam.Query{Tried: []waxwingseam.ServerName{"fees-0", "fees-2"}}
		qt.Assert(t, h.choose(two, succeeded).Server.Name, qt.Equals, waxwingseam.ServerName("fees-1"))
	}
	all := h.choose(waxwingseam.Query{Tried: []waxwingseam.ServerName{"fees-0", "fees-1", "fees-2"}}, succeeded)
	qt.Assert(t, all.Refused, qt.IsFalse)
}

// TestSubsets checks that subsets are bounded, are spread over the servers, and
// change little when a server is removed.
func TestSubsets(t *testing.T) {
	const (
		nodes = 300
		size  = 20
	)
	list := servers(100)
	seen := func(self string, without int) map[waxwingseam.ServerName]bool {
		h := newHarness(self, list, subsetOf(size))
		if without >= 0 {
			h.UpdateServers(h.context, nil, []waxwingseam.ServerName{list[without].Name})
		}
		found := map[waxwingseam.ServerName]bool{}
		for range 1000 {
			found[h.choose(waxwingseam.Query{}, succeeded).Server.Name] = true
		}
		return found
	}
	counts := map[waxwingseam.ServerName]int{}
	for i := range nodes {
		found := seen(fmt.Sprintf("desk-%d", i), -1)
		qt.Assert(t, len(found), qt.Equals, size)
		for name := range found {
			counts[name]++
		}
	}
	for name, n := range counts {
		mean := nodes * size / len(list)
		qt.Check(t, n > mean/2 && n < mean*3/2, qt.IsTrue, qt.Commentf("%s in %d subsets, mean %d", name, n, mean))
	}
	before, after := seen("desk-1", -1), seen("desk-1", 7)
	changed := 0
	for name := range after {
		if !before[name] {
			changed++
		}
	}
	qt.Assert(t, changed <= 1, qt.IsTrue)
}

// TestWarmUp checks that a restarted server reaches its share gradually.
func TestWarmUp(t *testing.T) {
	f := newFleet(3, 6, 6)
	rate := 0.6 * f.capacity()
	f.run(rate, time.Second, constantImportance)
	restarted := f.machines[0]
	restarted.server.Incarnation, restarted.server.Since = 2, f.now
	for _, b := range f.senders {
		b.UpdateServers(f.context(), []waxwingseam.Server{restarted.server}, nil)
	}
	shares := make([]float64, 4)
	for i := range shares {
		f.reset()
		f.run(rate, 4*time.Second, constantImportance)
		shares[i] = float64(restarted.served*6) / (rate * 4)
	}
	qt.Assert(t, shares[0] < shares[3]*0.8, qt.IsTrue, qt.Commentf("shares %v", shares))
	qt.Assert(t, shares[3] > 0.9, qt.IsTrue, qt.Commentf("shares %v", shares))
}

// ExampleNew chooses between two servers, one of which is leaving.
func ExampleNew() {
	b := balancer.New(balancer.Config{Self: "desk", DataCentre: "dc-1"})
	c := waxwingseam.NewContext(waxwingseam.Server{})
	b.UpdateServers(c, []waxwingseam.Server{
		{Name: "fees-1", Service: "fees", Leaving: true},
		{Name: "fees-2", Service: "fees"},
	}, nil)
	fmt.Println(b.Choose(c, waxwingseam.Query{Service: "fees"}).Server.Name)
	// Output: fees-2
}
