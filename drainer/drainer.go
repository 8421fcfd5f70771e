// Package drainer records whether a node's backend server accepts new work.
package drainer

import "waxwingseam.example/waxwingseam"

type drainer struct {
	// draining is set from a request to drain until it is undone. withdrawn is
	// set while the backend server reports that it accepts no new work, and
	// statedLeaving once it says in an answer that it is leaving.
	draining      bool
	withdrawn     bool
	statedLeaving bool
	// reported is set once the backend server has reported.
	reported bool
}

// Config holds the initial state of a drainer.
type Config struct {
	// Withdrawn is set if the backend server has not reported yet that it
	// accepts new work.
	Withdrawn bool
}

// New returns a drainer in the configured state.
func New(config Config) waxwingseam.Drainer {
	return &drainer{withdrawn: config.Withdrawn}
}

// Drain implements waxwingseam.Drainer.
func (d *drainer) Drain(c *waxwingseam.Context, undo bool) {
	d.draining = !undo
	d.announce(c)
}

// SetWithdrawn implements waxwingseam.Drainer.
func (d *drainer) SetWithdrawn(c *waxwingseam.Context, withdrawn bool) {
	d.withdrawn, d.reported = withdrawn, true
	d.announce(c)
}

// SetStatedLeaving implements waxwingseam.Drainer.
func (d *drainer) SetStatedLeaving(c *waxwingseam.Context, leaving bool) {
	d.statedLeaving = leaving
	d.announce(c)
}

// announce updates Self.Leaving and emits an announcement, but only if the state
// has changed. A process that is told to stop twice thus emits one announcement.
func (d *drainer) announce(c *waxwingseam.Context) {
	if c.Self.Leaving == d.Leaving() {
		return
	}
	c.Self.Leaving = d.Leaving()
	c.Emit(waxwingseam.Announce{Self: c.Self})
}

// Leaving implements waxwingseam.Drainer.
func (d *drainer) Leaving() bool {
	return d.draining || d.withdrawn || d.statedLeaving
}

// Starting implements waxwingseam.Drainer.
func (d *drainer) Starting() bool {
	return d.withdrawn && !d.reported && !d.draining && !d.statedLeaving
}
