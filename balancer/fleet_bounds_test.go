package balancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFleetServes checks that nearly all calls within the capacity are served,
// even with old load reports, one misbehaving server or uneven demand.
func TestFleetServes(t *testing.T) {
	for _, v := range []struct {
		name   string
		load   float64
		served float64
		change func(f *fleet)
	}{
		{"fresh reports", 0.8, 0.99, func(*fleet) {}},
		{"reports 5 s old", 0.8, 0.99, func(f *fleet) { f.reportAge = 5 * time.Second }},
		{"one server slow", 0.6, 0.99, func(f *fleet) { f.machines[0].slowdown = 5 }},
		{"one server fails fast", 0.6, 0.99, func(f *fleet) { f.machines[0].failureStatus = 500 }},
		{"one server answers that it is unavailable", 0.6, 0.99, func(f *fleet) { f.machines[0].failureStatus = 503 }},
		{"one server has a single slot", 0.6, 0.99, func(f *fleet) { f.machines[0].slots = 1 }},
		{"demand in one data centre", 0.7, 0.95, func(f *fleet) { f.skewPercent = 60 }},
	} {
		t.Run(v.name, func(t *testing.T) {
			f := newFleet(6, 6, 6)
			rate := v.load * f.capacity()
			v.change(f)
			f.run(rate, 2*time.Second, constantImportance)
			f.reset()
			f.run(rate, 5*time.Second, constantImportance)
			served := f.servedShare()
			qt.Assert(t, served >= v.served, qt.IsTrue, qt.Commentf("served %.4f, want %.2f", served, v.served))
		})
	}
}

// TestRecoveredServerRegainsItsShare checks that a recovered server has its
// share of calls within 2 s, even if it is the only one near its callers.
func TestRecoveredServerRegainsItsShare(t *testing.T) {
	for _, v := range []struct {
		name    string
		degrade func(m *machine)
		restore func(m *machine)
	}{
		{"failed", func(m *machine) { m.failureStatus = 500 }, func(m *machine) { m.failureStatus = 0 }},
		{"was slow", func(m *machine) { m.slowdown = 10 }, func(m *machine) { m.slowdown = 1 }},
		{"refused", func(m *machine) { m.slots = 1 }, func(m *machine) { m.slots = 6 }},
	} {
		for _, machines := range []int{3, 6} {
			t.Run(fmt.Sprintf("%s, one of %d", v.name, machines), func(t *testing.T) {
				f := newFleet(6, machines, 6)
				rate := 0.6 * f.capacity()
				v.degrade(f.machines[0])
				f.run(rate, 10*time.Second, constantImportance)
				v.restore(f.machines[0])
				f.run(rate, 2*time.Second, constantImportance)
				f.reset()
				f.run(rate, time.Second, constantImportance)
				share := float64(f.machines[0].served*machines) / rate
				qt.Assert(t, share > 0.8 && share < 1.2, qt.IsTrue, qt.Commentf("share %.2f", share))
			})
		}
	}
}

// TestEjectionLimitWhenAllServersFail checks that no more than a third of the
// servers are ejected.
func TestEjectionLimitWhenAllServersFail(t *testing.T) {
	f := newFleet(6, 6, 6)
	for _, m := range f.machines {
		m.failureStatus = 500
	}
	f.run(1000, 2*time.Second, constantImportance)
	f.reset()
	f.run(1000, time.Second, constantImportance)
	qt.Assert(t, f.unsentRefusals, qt.Equals, 0)
	f.machines[5].failureStatus = 0
	f.run(1000, 2*time.Second, constantImportance)
	f.reset()
	f.run(1000, time.Second, constantImportance)
	qt.Assert(t, len(f.latencies) > f.failures/4, qt.IsTrue)
}
