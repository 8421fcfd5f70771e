package meter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/meter"
)

// TestObserveCountsCall checks that a call with a retry is counted as one call and two
// attempts, and that the metrics pass the Prometheus linter.
func TestObserveCountsCall(t *testing.T) {
	m := meter.New()
	start := time.Unix(100, 0)
	id := waxwingseam.NewCallID(1, 2)
	set := &waxwingseam.Set{Revision: 3, Services: []waxwingseam.Service{{Name: "fees"}}}
	m.Observe(waxwingseam.SetAdopted{Stamp: waxwingseam.Stamp{Now: start}, Set: set}, nil)
	call := waxwingseam.Call{ID: id, Service: "fees", Class: "fee-lookup"}
	m.Observe(
		waxwingseam.CallArrived{Stamp: waxwingseam.Stamp{Now: start}, ID: id, Service: "fees"},
		[]waxwingseam.Effect{
			waxwingseam.Dispatch{Call: call, Attempt: 1},
			waxwingseam.Dispatch{Call: call, Attempt: 2},
		},
	)
	m.Observe(
		waxwingseam.TimerFired{Stamp: waxwingseam.Stamp{Now: start.Add(time.Second)}},
		[]waxwingseam.Effect{waxwingseam.Reply{ID: id, Result: waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonDeadline}}},
	)
	m.BadRequest(waxwingseam.ReasonBadRequest)
	problems, err := testutil.GatherAndLint(m.Registry())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, problems, qt.HasLen, 0)
	got := gather(t, m)
	qt.Assert(t, got["waxwingseam_calls_total"], qt.Equals, 1.0)
	qt.Assert(t, got["waxwingseam_bad_requests_total"], qt.Equals, 1.0)
	qt.Assert(t, got["waxwingseam_attempts_total"], qt.Equals, 2.0)
	qt.Assert(t, got["waxwingseam_retries_total"], qt.Equals, 1.0)
	qt.Assert(t, got["waxwingseam_configuration_revision"], qt.Equals, 3.0)
}

// gather returns the value of each counter and gauge by name, summed over its
// labels.
func gather(t *testing.T, m *meter.Meter) map[string]float64 {
	families, err := m.Registry().Gather()
	qt.Assert(t, err, qt.IsNil)
	sums := map[string]float64{}
	for _, f := range families {
		for _, v := range f.GetMetric() {
			sums[f.GetName()] += v.GetCounter().GetValue() + v.GetGauge().GetValue()
		}
	}
	return sums
}
