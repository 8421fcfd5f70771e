package meter_test

import (
	"fmt"
	"strings"
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

// TestSlotTimeIsMetered guards against slot time by fate that is missing in the metrics,
// and against class labels that are not in the configuration.
func TestSlotTimeIsMetered(t *testing.T) {
	m := meter.New()
	now := waxwingseam.Stamp{Now: time.Unix(100, 0)}
	m.Observe(waxwingseam.SetAdopted{Stamp: now, Set: &waxwingseam.Set{RequestClasses: []waxwingseam.RequestClass{{Name: "lots"}}}}, nil)
	lots, other := waxwingseam.Call{ID: waxwingseam.NewCallID(1, 1), Class: "lots"}, waxwingseam.Call{ID: waxwingseam.NewCallID(1, 2), Class: "x-17"}
	load := waxwingseam.Load{Limit: 4, ServiceTime: time.Second}
	m.Observe(waxwingseam.TimerFired{Stamp: now}, []waxwingseam.Effect{
		waxwingseam.Run{Call: lots},
		waxwingseam.Run{Call: other},
		waxwingseam.AnswerAttempt{Result: waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonOverloaded, Load: load}},
	})
	now.Now = now.Now.Add(time.Second)
	m.Observe(waxwingseam.RunEnded{Stamp: now, ID: lots.ID, Result: waxwingseam.Result{Status: 200}, Elapsed: time.Second}, nil)
	m.Observe(waxwingseam.RunEnded{Stamp: now, ID: other.ID, Result: waxwingseam.Result{Status: 500}, Elapsed: 500 * time.Millisecond}, nil)
	const want = `
# HELP waxwingseam_idle_slot_seconds_total Time for which slots of the backend server stood idle while the node refused calls that could have used them.
# TYPE waxwingseam_idle_slot_seconds_total counter
waxwingseam_idle_slot_seconds_total 0.2
# HELP waxwingseam_slot_seconds_total Time for which runs held slots of the backend server, by what became of them.
# TYPE waxwingseam_slot_seconds_total counter
waxwingseam_slot_seconds_total{class="lots",fate="succeeded"} 1
waxwingseam_slot_seconds_total{class="unknown",fate="failed"} 0.5
`
	qt.Assert(t, testutil.GatherAndCompare(m.Registry(), strings.NewReader(want), "waxwingseam_slot_seconds_total", "waxwingseam_idle_slot_seconds_total"), qt.IsNil)
	problems, err := testutil.GatherAndLint(m.Registry())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, problems, qt.HasLen, 0)
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

// TestAccountLabelsAreBounded guards against a series for each of thousands of client
// accounts, and against roots that are not counted when the largest accounts change.
func TestAccountLabelsAreBounded(t *testing.T) {
	m := meter.New()
	now := time.Unix(100, 0)
	answer := func(account string, n int, reason waxwingseam.Reason) {
		for range n {
			m.Observe(waxwingseam.TimerFired{Stamp: waxwingseam.Stamp{Now: now}}, []waxwingseam.Effect{waxwingseam.Reply{
				Account: waxwingseam.AccountName(account),
				Result:  waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: reason},
			}})
		}
	}
	for i := range 1000 {
		answer(fmt.Sprintf("small-%d", i), 1, waxwingseam.ReasonAccountLimit)
	}
	answer("large", 50, waxwingseam.ReasonAccountLimit)
	series := func() int {
		n, err := testutil.GatherAndCount(m.Registry(), "waxwingseam_account_roots_total")
		qt.Assert(t, err, qt.IsNil)
		return n
	}
	qt.Assert(t, series(), qt.Equals, 21)
	qt.Assert(t, gather(t, m)["waxwingseam_account_roots_total"], qt.Equals, 1050.0)
	now = now.Add(time.Minute)
	answer("large", 1, waxwingseam.ReasonOverloaded)
	qt.Assert(t, series() <= 21, qt.IsTrue)
	problems, err := testutil.GatherAndLint(m.Registry())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, problems, qt.HasLen, 0)
}
