// Package drainer keeps whether a node's backend server takes new work.
package drainer

import "waxwingseam.example/waxwingseam"

type drainer struct {
	// draining is set while the node was told to drain, withdrawn while the
	// backend server itself takes no new work.
	draining  bool
	withdrawn bool
}

// Config holds the state that a drainer starts from.
type Config struct {
	// Withdrawn is set where the backend server has not said yet that it takes
	// new work.
	Withdrawn bool
}

// New returns a drainer.
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
	d.withdrawn = withdrawn
	d.announce(c)
}

// announce tells of a change only, so that a process told to stop twice
// announces once.
func (d *drainer) announce(c *waxwingseam.Context) {
	if c.Self.Leaving == d.Leaving() {
		return
	}
	c.Self.Leaving = d.Leaving()
	c.Emit(waxwingseam.Announce{Self: c.Self})
}

// Leaving implements waxwingseam.Drainer.
func (d *drainer) Leaving() bool {
	return d.draining || d.withdrawn
}
