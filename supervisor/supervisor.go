// Package supervisor tracks the reports of the node's own backend server: its
// current incarnation, how many calls it runs at once, and whether it accepts
// new work.
package supervisor

import (
	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/registrar"
)

// Priority is the supervisor's place among the workers: before the receiver,
// which depends on the state that the supervisor updates.
const Priority = 50

// Config holds the dependencies of a supervisor.
type Config struct {
	Drainer waxwingseam.Drainer
	// AwaitEndings keeps the backend server out of use after the start of the node until
	// it is known which of its incarnations have ended, for at most startWait.
	AwaitEndings bool
}

type supervisor struct {
	drainer waxwingseam.Drainer
	latest  waxwingseam.BackendReport
	endings registrar.Endings
	// waiting is set while ready reports are kept back; held are these.
	waiting bool
	held    []waxwingseam.BackendReport
}

// New returns a supervisor that has not received a report.
func New(config Config) waxwingseam.Worker {
	return &supervisor{drainer: config.Drainer, waiting: config.AwaitEndings}
}

// Kinds implements waxwingseam.Worker.
func (s *supervisor) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{
		waxwingseam.KindBackendReported, waxwingseam.KindIncarnationSuperseded,
		waxwingseam.KindEndingsLearned, waxwingseam.KindTimerFired, waxwingseam.KindBackendStated,
	}
}

// Reduce implements waxwingseam.Worker.
func (s *supervisor) Reduce(c *waxwingseam.Context, e waxwingseam.Event) {
	switch v := e.(type) {
	case waxwingseam.BackendReported:
		s.receive(c, v.Report)
		s.recordEnding(c, v)
	case waxwingseam.EndingsLearned:
		s.learn(c, v)
	case waxwingseam.BackendStated:
		s.recordStatedLeave(c, v)
	case waxwingseam.TimerFired:
		if v.Timer.Purpose == waxwingseam.PurposeBackendStarted && s.waiting {
			s.endWait(c, waxwingseam.AdmittedUnconfirmed)
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

// receive applies a report if it is newer than the latest one, and records the end of an
// incarnation. A leave of an incarnation that is not the current one is recorded as well,
// because its heartbeats may still arrive.
func (s *supervisor) receive(c *waxwingseam.Context, r waxwingseam.BackendReport) {
	if r.Started.IsZero() && r.Instance == s.latest.Instance && r.State == waxwingseam.BackendGone {
		r.Started = s.latest.Started
	}
	newer := supersedes(r, s.latest)
	if r.State == waxwingseam.BackendReady {
		if s.endings.Covers(r.Instance, r.Started) {
			keepOut(c, r)
			return
		}
		if s.waiting && !startedWithNode(c, r) {
			s.hold(c, r)
			return
		}
		// What was kept back is of earlier incarnations.
		s.admit(c, waxwingseam.AdmittedAsNew)
		s.held = nil
	} else if newer || s.endsAnother(r) {
		s.endings.Add(c.Now, waxwingseam.Ending{Instance: r.Instance, Started: r.Started, At: c.Now})
	}
	if newer {
		s.applyReport(c, r)
	}
}

// endsAnother reports whether a report that is not newer than the latest one tells that an
// incarnation other than the current one drains or is gone.
func (s *supervisor) endsAnother(r waxwingseam.BackendReport) bool {
	current := r.Instance == s.latest.Instance && r.Started.Equal(s.latest.Started)
	return r.State == waxwingseam.BackendGone || r.State == waxwingseam.BackendDraining && !r.Started.IsZero() && !current
}

// recordEnding has the ending of a report that drains or leaves recorded, also when it was
// recorded before: its holders may have restarted.
func (s *supervisor) recordEnding(c *waxwingseam.Context, e waxwingseam.BackendReported) {
	if e.Report.State == waxwingseam.BackendReady {
		return
	}
	out := waxwingseam.RecordEnding{Request: e.Request}
	for _, v := range s.endings {
		if v.Instance == e.Report.Instance && (e.Report.Started.IsZero() || v.Started.Equal(e.Report.Started)) {
			out.Ending = v
		}
	}
	c.Emit(out)
}

// recordStatedLeave has the ending of an incarnation recorded that says in an answer that it
// is leaving. An incarnation without an identifier can't be told from the next one.
func (s *supervisor) recordStatedLeave(c *waxwingseam.Context, e waxwingseam.BackendStated) {
	current := c.Self.BackendIncarnation()
	if !e.Statement.Leaving || current.Instance == "" || !e.Backend.Equal(current) {
		return
	}
	ending := waxwingseam.Ending{Instance: current.Instance, Started: current.Started, At: c.Now}
	if !s.endings.Covers(ending.Instance, ending.Started) && s.endings.Add(c.Now, ending) {
		c.Emit(waxwingseam.RecordEnding{Ending: ending})
	}
}

// supersedes reports whether a report is newer than the latest one. A leave names neither a
// service nor an address, so that it concerns the current instance only.
func supersedes(r, latest waxwingseam.BackendReport) bool {
	gone := r.State == waxwingseam.BackendGone
	switch {
	case latest.Instance == "":
		return !gone
	case gone && r.Instance != latest.Instance:
		return false
	case r.Started.IsZero() && !latest.Started.IsZero():
		// A backend server that has reported its start does so in each heartbeat.
		return false
	case !r.Started.Equal(latest.Started) && !latest.Started.IsZero():
		return r.Started.After(latest.Started)
	case r.Instance != latest.Instance:
		// Two instances with the same start can't be ordered.
		return latest.Started.IsZero()
	}
	return gone || !r.Started.Equal(latest.Started) || continues(r, latest)
}

// continues reports whether a heartbeat follows the latest report of the same incarnation.
// An incarnation that drains or is gone never becomes ready again.
func continues(r, latest waxwingseam.BackendReport) bool {
	return r.State >= latest.State && r.Sequence > latest.Sequence
}

// applyReport makes a report the latest one, tells the drainer whether the
// server is ready, and announces the node if the report changed it.
func (s *supervisor) applyReport(c *waxwingseam.Context, r waxwingseam.BackendReport) {
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
