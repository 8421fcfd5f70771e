// Package drainer keeps whether a node's backend server takes new work.
package drainer

import "waxwingseam.example/waxwingseam"

type drainer struct {
	leaving bool
}

// New returns a drainer of a backend server that takes new work.
func New() waxwingseam.Drainer {
	return &drainer{}
}

// Drain implements waxwingseam.Drainer. Only a change is announced, so that a
// process told to stop twice announces once.
func (d *drainer) Drain(c *waxwingseam.Context, undo bool) {
	leaving := !undo
	if d.leaving == leaving {
		return
	}
	d.leaving = leaving
	c.Self.Leaving = leaving
	c.Emit(waxwingseam.Announce{Self: c.Self})
}

// Leaving implements waxwingseam.Drainer.
func (d *drainer) Leaving() bool {
	return d.leaving
}
