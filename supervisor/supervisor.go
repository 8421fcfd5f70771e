// Package supervisor keeps what the node's own backend server says of itself:
// which life it is in, how much it runs at once, and whether it takes new work.
package supervisor

import "waxwingseam.example/waxwingseam"

// Priority is the supervisor's place among the workers: before the receiver,
// which goes by what it keeps.
const Priority = 50

// Config holds the parts of a supervisor.
type Config struct {
	Drainer waxwingseam.Drainer
}

type supervisor struct {
	drainer waxwingseam.Drainer
	latest  waxwingseam.BackendReport
}

// New returns a supervisor that has heard nothing yet.
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
			s.take(c, v.Report)
		}
	case waxwingseam.IncarnationSuperseded:
		outlive(c, v.Incarnation)
	}
}

// outlive moves the node to an incarnation beyond a known one. Attempts that
// name the one before are answered like those to a life that has ended, whose
// outcome is unknown.
func outlive(c *waxwingseam.Context, known waxwingseam.Incarnation) {
	if known < c.Self.Incarnation {
		return
	}
	c.Self.Incarnation = known + 1
	c.Emit(waxwingseam.Announce{Self: c.Self})
}

// supersedes reports whether a report is newer than the latest one. A leave is
// final for its life, so that a heartbeat which arrives late after it brings
// the life back no more.
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

// take puts a report in force and announces what changed.
func (s *supervisor) take(c *waxwingseam.Context, r waxwingseam.BackendReport) {
	newLife := r.Instance != s.latest.Instance || !r.Started.Equal(s.latest.Started)
	s.latest = r
	before := c.Self
	c.Self.Instance = r.Instance
	if r.Service != "" {
		c.Self.Service = r.Service
	}
	if r.Slots > 0 {
		c.Self.Slots = r.Slots
	}
	if newLife && r.ColdFor > 0 {
		c.Self.Since = c.Now
	}
	effects := len(c.Effects())
	s.drainer.SetWithdrawn(c, r.State != waxwingseam.BackendReady)
	if len(c.Effects()) == effects && c.Self != before {
		c.Emit(waxwingseam.Announce{Self: c.Self})
	}
}
