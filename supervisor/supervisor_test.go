package supervisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/drainer"
	"waxwingseam.example/waxwingseam/supervisor"
)

var (
	firstStart  = time.UnixMilli(1_000)
	secondStart = time.UnixMilli(2_000)
)

// TestReportOrder checks that delayed reports, late heartbeats and reports of
// an earlier start do not replace the state that the newest report set: the
// instance, and whether the node refuses new work.
func TestReportOrder(t *testing.T) {
	ready := func(instance string, started time.Time, sequence uint64) waxwingseam.BackendReport {
		return waxwingseam.BackendReport{
			Instance: instance, Service: "fees", State: waxwingseam.BackendReady,
			Slots: 8, Started: started, Sequence: sequence,
		}
	}
	state := func(r waxwingseam.BackendReport, s waxwingseam.BackendState) waxwingseam.BackendReport {
		r.State = s
		return r
	}
	for _, v := range []struct {
		name     string
		reports  []waxwingseam.BackendReport
		leaving  bool
		instance string
	}{
		{"ready", []waxwingseam.BackendReport{ready("a", firstStart, 1)}, false, "a"},
		{"draining", []waxwingseam.BackendReport{
			ready("a", firstStart, 1), state(ready("a", firstStart, 2), waxwingseam.BackendDraining),
		}, true, "a"},
		{"late heartbeat of a draining incarnation", []waxwingseam.BackendReport{
			state(ready("a", firstStart, 2), waxwingseam.BackendDraining), ready("a", firstStart, 1),
		}, true, "a"},
		{"late heartbeat after the leave", []waxwingseam.BackendReport{
			ready("a", firstStart, 1), state(ready("a", firstStart, 0), waxwingseam.BackendGone), ready("a", firstStart, 9),
		}, true, "a"},
		{"restart under the same identifier", []waxwingseam.BackendReport{
			ready("a", firstStart, 7), state(ready("a", firstStart, 0), waxwingseam.BackendGone), ready("a", secondStart, 1),
		}, false, "a"},
		{"restart under the same identifier after a leave without a start time", []waxwingseam.BackendReport{
			ready("a", firstStart, 7), state(ready("a", time.Time{}, 0), waxwingseam.BackendGone), ready("a", secondStart, 1),
		}, false, "a"},
		{"late heartbeat after a leave without a start time", []waxwingseam.BackendReport{
			ready("a", firstStart, 7), state(ready("a", time.Time{}, 0), waxwingseam.BackendGone), ready("a", firstStart, 9),
		}, true, "a"},
		{"heartbeat of the previous incarnation", []waxwingseam.BackendReport{
			ready("b", secondStart, 1), state(ready("a", firstStart, 9), waxwingseam.BackendDraining),
		}, false, "b"},
		{"leave of the previous incarnation", []waxwingseam.BackendReport{
			ready("b", secondStart, 1), state(ready("a", firstStart, 0), waxwingseam.BackendGone),
		}, false, "b"},
		{"ready again while draining", []waxwingseam.BackendReport{
			ready("a", firstStart, 1), state(ready("a", firstStart, 2), waxwingseam.BackendDraining), ready("a", firstStart, 9),
		}, true, "a"},
		{"heartbeat without a start of a draining incarnation", []waxwingseam.BackendReport{
			ready("a", firstStart, 1), state(ready("a", firstStart, 2), waxwingseam.BackendDraining), ready("a", time.Time{}, 9),
		}, true, "a"},
		{"drain without a start", []waxwingseam.BackendReport{
			ready("a", firstStart, 1), state(ready("a", time.Time{}, 9), waxwingseam.BackendDraining),
		}, false, "a"},
		{"heartbeat without a start of another instance", []waxwingseam.BackendReport{
			ready("a", firstStart, 1), state(ready("b", time.Time{}, 9), waxwingseam.BackendDraining),
		}, false, "a"},
		{"late drain", []waxwingseam.BackendReport{
			ready("a", firstStart, 3), state(ready("a", firstStart, 2), waxwingseam.BackendDraining),
		}, false, "a"},
		{"leave without a start of another instance", []waxwingseam.BackendReport{
			ready("a", firstStart, 1), state(ready("b", time.Time{}, 0), waxwingseam.BackendGone),
		}, false, "a"},
		{"leave of a later incarnation of another instance", []waxwingseam.BackendReport{
			ready("a", firstStart, 1), state(ready("b", secondStart, 0), waxwingseam.BackendGone),
		}, false, "a"},
		{"heartbeat after the leave of a later incarnation", []waxwingseam.BackendReport{
			ready("a", firstStart, 1), state(ready("b", secondStart, 0), waxwingseam.BackendGone), ready("b", secondStart, 9),
		}, false, "a"},
		{"leave before the first heartbeat", []waxwingseam.BackendReport{
			state(ready("b", secondStart, 0), waxwingseam.BackendGone), ready("a", firstStart, 1),
		}, false, "a"},
		{"late heartbeat of a replaced instance without a start that drained", []waxwingseam.BackendReport{
			ready("a", time.Time{}, 1), state(ready("a", time.Time{}, 2), waxwingseam.BackendDraining),
			ready("b", time.Time{}, 1), ready("a", time.Time{}, 9),
		}, false, "b"},
		{"another instance without a start", []waxwingseam.BackendReport{
			ready("a", time.Time{}, 5), ready("b", time.Time{}, 1),
		}, false, "b"},
	} {
		t.Run(v.name, func(t *testing.T) {
			c := waxwingseam.NewContext(waxwingseam.Server{Name: "fees-1", Service: "fees"})
			d := drainer.New(drainer.Config{})
			s := supervisor.New(supervisor.Config{Drainer: d})
			for _, r := range v.reports {
				c.Begin(waxwingseam.Stamp{})
				s.Reduce(c, waxwingseam.BackendReported{Report: r})
			}
			qt.Assert(t, d.Leaving(), qt.Equals, v.leaving)
			qt.Assert(t, c.Self.Instance, qt.Equals, v.instance)
			qt.Assert(t, c.Self.Slots, qt.Equals, 8)
		})
	}
}

// TestIncarnationSuperseded checks that a node whose clock was set back
// announces an incarnation after the one that control has, and only once.
func TestIncarnationSuperseded(t *testing.T) {
	c := waxwingseam.NewContext(waxwingseam.Server{Name: "fees-1", Service: "fees", Incarnation: 7})
	s := supervisor.New(supervisor.Config{Drainer: drainer.New(drainer.Config{})})
	for _, want := range []int{1, 0} {
		c.Begin(waxwingseam.Stamp{})
		s.Reduce(c, waxwingseam.IncarnationSuperseded{Incarnation: 9})
		qt.Assert(t, c.Effects(), qt.HasLen, want)
		qt.Assert(t, c.Self.Incarnation, qt.Equals, waxwingseam.Incarnation(10))
	}
}
