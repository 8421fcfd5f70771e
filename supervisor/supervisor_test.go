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
	firstLife  = time.UnixMilli(1_000)
	secondLife = time.UnixMilli(2_000)
)

// TestReportsOfLives feeds reports in the orders that delays, restarts under
// one identifier and late heartbeats make, and looks whether new work is
// refused after the last of them.
func TestReportsOfLives(t *testing.T) {
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
		{"ready", []waxwingseam.BackendReport{ready("a", firstLife, 1)}, false, "a"},
		{"draining", []waxwingseam.BackendReport{
			ready("a", firstLife, 1), state(ready("a", firstLife, 2), waxwingseam.BackendDraining),
		}, true, "a"},
		{"late heartbeat of a draining life", []waxwingseam.BackendReport{
			state(ready("a", firstLife, 2), waxwingseam.BackendDraining), ready("a", firstLife, 1),
		}, true, "a"},
		{"late heartbeat after the leave", []waxwingseam.BackendReport{
			ready("a", firstLife, 1), state(ready("a", firstLife, 0), waxwingseam.BackendGone), ready("a", firstLife, 9),
		}, true, "a"},
		{"same identifier, next life", []waxwingseam.BackendReport{
			ready("a", firstLife, 7), state(ready("a", firstLife, 0), waxwingseam.BackendGone), ready("a", secondLife, 1),
		}, false, "a"},
		{"heartbeat of the life before", []waxwingseam.BackendReport{
			ready("b", secondLife, 1), state(ready("a", firstLife, 9), waxwingseam.BackendDraining),
		}, false, "b"},
		{"leave of the life before", []waxwingseam.BackendReport{
			ready("b", secondLife, 1), state(ready("a", firstLife, 0), waxwingseam.BackendGone),
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

// TestOutlived checks that a node whose clock was set back announces an
// incarnation beyond the one that control knows, once.
func TestOutlived(t *testing.T) {
	c := waxwingseam.NewContext(waxwingseam.Server{Name: "fees-1", Service: "fees", Incarnation: 7})
	s := supervisor.New(supervisor.Config{Drainer: drainer.New(drainer.Config{})})
	for _, want := range []int{1, 0} {
		c.Begin(waxwingseam.Stamp{})
		s.Reduce(c, waxwingseam.IncarnationSuperseded{Incarnation: 9})
		qt.Assert(t, c.Effects(), qt.HasLen, want)
		qt.Assert(t, c.Self.Incarnation, qt.Equals, waxwingseam.Incarnation(10))
	}
}
