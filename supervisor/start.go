package supervisor

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// startWait is how long after its start a node waits for endings of its server that
	// an earlier process of the node has recorded. A holder whose connection ended with that
	// process reaches the node within two intervals of 250 ms. While all nodes start at
	// once, a longer wait adds to the time without service.
	startWait = 800 * time.Millisecond
	// minRestart is less than the time in which a process ends and another one starts and
	// receives reports. What began that shortly before the node has reported to no earlier
	// process that it drains.
	minRestart = 50 * time.Millisecond
)

// maxHeld bounds the reports that are kept back. A backend server sends one or two while a
// node starts.
const maxHeld = 16

// startedWithNode reports whether the first report of an incarnation shows that it began
// with the node's process or after it, as after a loss of power. No earlier process can have
// recorded its ending. A start in the future tells of a clock that was set back.
func startedWithNode(c *waxwingseam.Context, r waxwingseam.BackendReport) bool {
	return r.Sequence <= 1 && !r.Started.IsZero() &&
		r.Started.After(c.Self.Since.Add(-minRestart)) && r.Started.Before(c.Now.Add(minRestart))
}

// hold keeps a ready report back and starts the wait. If the node has listened for as long as
// the wait takes, it uses the report at once.
func (s *supervisor) hold(c *waxwingseam.Context, r waxwingseam.BackendReport) {
	s.held = append(s.held, r)
	s.held = s.held[max(0, len(s.held)-maxHeld):]
	at := c.Self.Since.Add(startWait)
	if !at.After(c.Now) {
		s.endWait(c, waxwingseam.AdmittedUnconfirmed)
		return
	}
	if len(s.held) == 1 {
		c.Emit(waxwingseam.ArmTimer{Timer: waxwingseam.TimerID{Purpose: waxwingseam.PurposeBackendStarted}, At: at})
	}
}

// endWait applies the reports that were kept back, unless their incarnations have ended.
func (s *supervisor) endWait(c *waxwingseam.Context, basis waxwingseam.AdmissionBasis) {
	s.admit(c, basis)
	for _, r := range s.held {
		s.receive(c, r)
	}
	s.held = nil
}

// admit ends the wait for endings.
func (s *supervisor) admit(c *waxwingseam.Context, basis waxwingseam.AdmissionBasis) {
	if s.waiting {
		c.Emit(waxwingseam.ServerAdmitted{Basis: basis, After: c.Now.Sub(c.Self.Since), Held: len(s.held)})
	}
	s.waiting = false
}

// keepOut tells that a report of an ended incarnation is not followed.
func keepOut(c *waxwingseam.Context, r waxwingseam.BackendReport) {
	c.Emit(waxwingseam.ServerKeptOut{Instance: r.Instance, Started: r.Started, Sequence: r.Sequence})
}

// learn adds endings that an earlier process of the node has recorded.
func (s *supervisor) learn(c *waxwingseam.Context, e waxwingseam.EndingsLearned) {
	var added []waxwingseam.Ending
	for _, v := range e.Endings {
		if s.endings.Add(c.Now, v) {
			added = append(added, v)
		}
	}
	if len(added) > 0 {
		c.Emit(waxwingseam.EndingsAdded{Endings: added})
	}
	if s.latest.State == waxwingseam.BackendReady && s.endings.Covers(s.latest.Instance, s.latest.Started) {
		keepOut(c, s.latest)
		gone := s.latest
		gone.State = waxwingseam.BackendGone
		s.applyReport(c, gone)
	}
	if e.Complete {
		s.endWait(c, waxwingseam.AdmittedByControl)
	}
}
