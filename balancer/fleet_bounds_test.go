package balancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFleetServes checks that nothing of what the servers could serve is lost,
// whatever their reports say and however one of them behaves.
func TestFleetServes(t *testing.T) {
	for _, v := range []struct {
		name   string
		load   float64
		served float64
		change func(f *fleet)
	}{
		{"fresh reports", 0.8, 0.99, func(*fleet) {}},
		{"reports 5 s old", 0.8, 0.99, func(f *fleet) { f.stale = 5 * time.Second }},
		{"one server slow", 0.6, 0.99, func(f *fleet) { f.machines[0].slow = 5 }},
		{"one server fails fast", 0.6, 0.99, func(f *fleet) { f.machines[0].failing = 500 }},
		{"one server says that it is unavailable", 0.6, 0.99, func(f *fleet) { f.machines[0].failing = 503 }},
		{"one server has lost its slots", 0.6, 0.99, func(f *fleet) { f.machines[0].slots = 1 }},
		{"demand in one data centre", 0.7, 0.95, func(f *fleet) { f.skewed = 60 }},
	} {
		t.Run(v.name, func(t *testing.T) {
			f := newFleet(6, 6, 6)
			rate := v.load * f.capacity()
			v.change(f)
			f.run(rate, 2*time.Second, same)
			f.reset()
			f.run(rate, 5*time.Second, same)
			served := f.share()
			qt.Assert(t, served >= v.served, qt.IsTrue, qt.Commentf("served %.4f, want %.2f", served, v.served))
		})
	}
}

// TestServerComesBack checks that a server that did badly has its share of the
// calls again within 2 s of its recovery, also the only one near its callers.
func TestServerComesBack(t *testing.T) {
	for _, v := range []struct {
		name string
		ill  func(m *machine)
		well func(m *machine)
	}{
		{"failed", func(m *machine) { m.failing = 500 }, func(m *machine) { m.failing = 0 }},
		{"was slow", func(m *machine) { m.slow = 10 }, func(m *machine) { m.slow = 1 }},
		{"refused", func(m *machine) { m.slots = 1 }, func(m *machine) { m.slots = 6 }},
	} {
		for _, machines := range []int{3, 6} {
			t.Run(fmt.Sprintf("%s, one of %d", v.name, machines), func(t *testing.T) {
				f := newFleet(6, machines, 6)
				rate := 0.6 * f.capacity()
				v.ill(f.machines[0])
				f.run(rate, 10*time.Second, same)
				v.well(f.machines[0])
				f.run(rate, 2*time.Second, same)
				f.reset()
				f.run(rate, time.Second, same)
				share := float64(f.machines[0].served*machines) / rate
				qt.Assert(t, share > 0.8 && share < 1.2, qt.IsTrue, qt.Commentf("share %.2f", share))
			})
		}
	}
}

// TestAllFail checks that ejections stop at a third of the servers.
func TestAllFail(t *testing.T) {
	f := newFleet(6, 6, 6)
	for _, m := range f.machines {
		m.failing = 500
	}
	f.run(1000, 2*time.Second, same)
	f.reset()
	f.run(1000, time.Second, same)
	qt.Assert(t, f.early, qt.Equals, 0)
	f.machines[5].failing = 0
	f.run(1000, 2*time.Second, same)
	f.reset()
	f.run(1000, time.Second, same)
	qt.Assert(t, len(f.ended) > f.failures/4, qt.IsTrue)
}
