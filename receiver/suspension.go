package receiver

import (
	"bytes"
	"maps"
	"slices"

	"waxwingseam.example/waxwingseam"
)

// noteSuspension shortens the deadlines of all calls by the time for which the process
// has been suspended since the last event. Waiting calls whose deadline has passed are
// refused, running ones are cancelled.
func (r *receiver) noteSuspension(c *waxwingseam.Context) {
	passed := c.Suspended - r.suspended
	r.suspended = c.Suspended
	if passed <= 0 {
		return
	}
	ids := slices.SortedFunc(maps.Keys(r.calls), func(a, b waxwingseam.CallID) int { return bytes.Compare(a[:], b[:]) })
	for _, id := range ids {
		live := r.calls[id]
		live.header.Deadline = live.header.Deadline.Add(-passed)
		switch {
		case c.Now.Before(live.header.Deadline):
		case live.running:
			c.Emit(waxwingseam.CancelRun{ID: id})
		default:
			r.admitter.Withdraw(id)
			r.refuse(c, live, waxwingseam.ReasonDeadline)
		}
	}
}
