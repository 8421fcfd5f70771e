package dispatcher

import "waxwingseam.example/waxwingseam"

// drainAsked notes when the process stops. A second drain does not move the stop of the first.
func (d *dispatcher) drainAsked(e waxwingseam.DrainAsked) {
	switch {
	case e.Undo:
		d.stop = waxwingseam.ProcessStop{}
	case d.stop.CallsUntil.IsZero():
		d.stop = e.Stop
	}
}

// outlastsProcess reports whether a call, sent now, might be broken off when the process stops.
// A call whose body is still being received may reach its backend server much later than now.
// Other calls are sent while callers can't be expected to use another node, as most of them
// end long before their deadline.
func (d *dispatcher) outlastsProcess(c *waxwingseam.Context, f *flight) bool {
	if d.stop.CallsUntil.IsZero() || !f.call.Deadline.After(d.stop.CallsUntil) {
		return false
	}
	return f.receiving || !c.Now.Before(d.stop.CallersUntil)
}
