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

// bench is one balancer with its clock in the test's hand.
type bench struct {
	waxwingseam.Balancer
	context *waxwingseam.Context
	now     time.Time
	steps   uint64
}

func newBench(self string, list []waxwingseam.Server, set *waxwingseam.Set) *bench {
	b := &bench{Balancer: balancer.New(balancer.Config{Self: waxwingseam.ServerName(self)}), now: start}
	b.context = waxwingseam.NewContext(waxwingseam.Server{})
	b.begin()
	b.Adopt(set)
	b.UpdateServers(b.context, list, nil)
	return b
}

func (b *bench) begin() {
	b.steps++
	b.context.Begin(waxwingseam.Stamp{Now: b.now, Random: b.steps})
}

// choose asks for a server and ends the attempt at once with a result.
func (b *bench) choose(q waxwingseam.Query, result waxwingseam.Result) waxwingseam.Choice {
	b.begin()
	q.Service = "fees"
	choice := b.Choose(b.context, q)
	if !choice.Refused {
		result.Reached = true
		b.Observe(b.context, waxwingseam.Feedback{Server: choice.Server.Name, Rank: q.Rank, Result: result, Elapsed: time.Millisecond})
	}
	return choice
}

var done = waxwingseam.Result{Status: 200, Load: waxwingseam.Load{Limit: 10}}

func subsetOf(size int) *waxwingseam.Set {
	return &waxwingseam.Set{Services: []waxwingseam.Service{{Name: "fees", SubsetSize: size}}}
}

// TestLeavingServersGetNothing covers each way in which a server leaves.
func TestLeavingServersGetNothing(t *testing.T) {
	list := servers(2)
	leave := list[0]
	leave.Leaving = true
	drained := &waxwingseam.Set{BackendServers: []waxwingseam.BackendServer{{Name: "fees-0", Drained: true}}}
	for _, v := range []struct {
		name   string
		change func(b *bench)
	}{
		{"announced", func(b *bench) { b.UpdateServers(b.context, []waxwingseam.Server{leave}, nil) }},
		{"gone", func(b *bench) { b.UpdateServers(b.context, nil, []waxwingseam.ServerName{"fees-0"}) }},
		{"drained by an operator", func(b *bench) { b.Adopt(drained) }},
		{"said with an answer", func(b *bench) {
			b.Observe(b.context, waxwingseam.Feedback{Server: "fees-0", Result: waxwingseam.Result{Reached: true, Load: waxwingseam.Load{Leaving: true}}})
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			b := newBench("desk", list, &waxwingseam.Set{})
			v.change(b)
			for range 50 {
				qt.Assert(t, b.choose(waxwingseam.Query{}, done).Server.Name, qt.Equals, waxwingseam.ServerName("fees-1"))
			}
			pinned := b.choose(waxwingseam.Query{Pinned: "fees-0"}, done)
			qt.Assert(t, pinned.Reason, qt.Equals, waxwingseam.ReasonNoServer)
		})
	}
}

// TestRetryGoesElsewhere checks that a server is tried again only where no
// other is left.
func TestRetryGoesElsewhere(t *testing.T) {
	b := newBench("desk", servers(3), &waxwingseam.Set{})
	for range 50 {
		two := waxwingseam.Query{Tried: []waxwingseam.ServerName{"fees-0", "fees-2"}}
		qt.Assert(t, b.choose(two, done).Server.Name, qt.Equals, waxwingseam.ServerName("fees-1"))
	}
	all := b.choose(waxwingseam.Query{Tried: []waxwingseam.ServerName{"fees-0", "fees-1", "fees-2"}}, done)
	qt.Assert(t, all.Refused, qt.IsFalse)
}

// TestSubsets checks that subsets are bounded, spread over the servers, and
// change little when a server goes.
func TestSubsets(t *testing.T) {
	const (
		nodes = 300
		size  = 20
	)
	list := servers(100)
	seen := func(self string, without int) map[waxwingseam.ServerName]bool {
		b := newBench(self, list, subsetOf(size))
		if without >= 0 {
			b.UpdateServers(b.context, nil, []waxwingseam.ServerName{list[without].Name})
		}
		found := map[waxwingseam.ServerName]bool{}
		for range 1000 {
			found[b.choose(waxwingseam.Query{}, done).Server.Name] = true
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

// TestSlowStart checks that a new life of a server gets its share by and by.
func TestSlowStart(t *testing.T) {
	f := newFleet(3, 6, 6)
	rate := 0.6 * f.capacity()
	f.run(rate, time.Second, same)
	reborn := f.machines[0]
	reborn.server.Incarnation, reborn.server.Since = 2, f.now
	for _, b := range f.senders {
		b.UpdateServers(f.context(), []waxwingseam.Server{reborn.server}, nil)
	}
	shares := make([]float64, 4)
	for i := range shares {
		f.reset()
		f.run(rate, 4*time.Second, same)
		shares[i] = float64(reborn.served*6) / (rate * 4)
	}
	qt.Assert(t, shares[0] < shares[3]*0.8, qt.IsTrue, qt.Commentf("shares %v", shares))
	qt.Assert(t, shares[3] > 0.9, qt.IsTrue, qt.Commentf("shares %v", shares))
}

// ExampleNew chooses among two servers of which one is leaving.
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
