// Package supervisor tracks the reports of the node's own backend server: its
// current incarnation, how many calls it runs at once, and whether it accepts
// new work.
package supervisor

import "waxwingseam.example/waxwingseam"

// Priority is the supervisor's place among the workers: before the receiver,
// which depends on the state that the supervisor updates.
const Priority = 50

// Config holds the dependencies of a supervisor.
type Config struct {
	Drainer waxwingseam.Drainer
}

type supervisor struct {
	drainer waxwingseam.Drainer
	latest  waxwingseam.BackendReport
}

// New returns a supervisor that has not received a report.
func New(config Config) waxwingseam.Worker {
	return &supervisor{drainer: config.Drainer}
}

// Kinds implements waxwingseam.Worker.
func (s *supervisor) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{waxwingseam.KindBackendReported, waxwingseam.KindIncarnationSuperseded}
}

// Reduce implements waxwingseam.Worker.
func (s *supervisor) Reduce(c *waxwingseam.Context, e waxwingseam.Event) {
	switch v := e.(type) {
	case waxwingseam.BackendReported:
		if supersedes(v.Report, s.latest) {
			s.applyReport(c, v.Report)
		}
	case waxwingseam.IncarnationSuperseded:
		advanceIncarnation(c, v.Incarnation)
	}
}

// advanceIncarnation moves the node to the incarnation after known, unless its
// own is already later. Attempts that name the old incarnation are then
// answered as for any incarnation that has ended: their outcome is unknown.
func advanceIncarnation(c *waxwingseam.Context, known waxwingseam.Incarnation) {
	if known < c.Self.Incarnation {
		return
	}
	c.Self.Incarnation = known + 1
	c.Emit(waxwingseam.Announce{Self: c.Self})
}

// supersedes reports whether a report is newer than the latest one.
// BackendGone is final for an incarnation of the backend server: its late
// heartbeats are ignored.
func supersedes(r, latest waxwingseam.BackendReport) bool {
	switch {
	case latest.Instance == "":
		return true
	case !r.Started.Equal(latest.Started) && !r.Started.IsZero() && !latest.Started.IsZero():
		return r.Started.After(latest.Started)
	case r.Instance != latest.Instance:
		return r.State != waxwingseam.BackendGone
	case latest.State == waxwingseam.BackendGone:
		return false
	case r.State == waxwingseam.BackendGone:
		return true
	}
	return r.Sequence > latest.Sequence
}

// applyReport makes a report the latest one, tells the drainer whether the
// server is ready, and announces the node if the report changed it.
func (s *supervisor) applyReport(c *waxwingseam.Context, r waxwingseam.BackendReport) {
	if r.Started.IsZero() && r.Instance == s.latest.Instance {
		r.Started = s.latest.Started
	}
	restarted := r.Instance != s.latest.Instance || !r.Started.Equal(s.latest.Started)
	s.latest = r
	before := c.Self
	c.Self.Instance = r.Instance
	c.Self.Started = r.Started
	if r.Service != "" {
		c.Self.Service = r.Service
	}
	if r.Slots > 0 {
		c.Self.Slots = r.Slots
	}
	if restarted && r.ColdFor > 0 {
		c.Self.Since = c.Now
	}
	effects := len(c.Effects())
	s.drainer.SetWithdrawn(c, r.State != waxwingseam.BackendReady)
	if len(c.Effects()) == effects && c.Self != before {
		c.Emit(waxwingseam.Announce{Self: c.Self})
	}
}
