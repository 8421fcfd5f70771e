package receiver

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// account keeps the times of one run: those in which calls that it made were
// open, and what these spent in queues.
type account struct {
	open     int
	opened   time.Time
	childs   time.Duration
	below    time.Duration
	children []waxwingseam.CallID
}

// childArrived notes a call that a run makes.
func (r *receiver) childArrived(c *waxwingseam.Context, e waxwingseam.CallArrived) {
	live, ok := r.calls[r.tracker.ParentRun(e)]
	if !ok || !live.running {
		return
	}
	live.account.children = append(live.account.children, e.ID)
	r.parents[e.ID] = live
	if live.account.open == 0 {
		live.account.opened = c.Now
	}
	live.account.open++
}

// childEnded notes the end of an attempt of such a call. A retry that follows
// counts as time of the run's own.
func (r *receiver) childEnded(c *waxwingseam.Context, e waxwingseam.AttemptEnded) {
	live, ok := r.parents[e.ID]
	if !ok {
		return
	}
	live.account.below += e.Result.Waited
	if live.account.open == 0 {
		return
	}
	live.account.open--
	if live.account.open == 0 {
		live.account.childs += c.Now.Sub(live.account.opened)
	}
}

// close ends the account of a run and returns what the admitter is told. A run
// past its deadline has spent all its open time in vain.
func (r *receiver) close(c *waxwingseam.Context, live *call, e waxwingseam.RunEnded) waxwingseam.RunEnd {
	a := &live.account
	for _, id := range a.children {
		delete(r.parents, id)
	}
	if a.open > 0 {
		a.childs += c.Now.Sub(a.opened)
		if !c.Now.Before(live.header.Deadline) {
			a.below = a.childs
		}
	}
	cancelled := len(live.attempts) == 0
	return waxwingseam.RunEnd{
		ID:          e.ID,
		Failed:      cancelled || !e.Result.Succeeded(),
		Elapsed:     e.Elapsed,
		OwnElapsed:  max(e.Elapsed-a.childs, 0),
		WaitedBelow: min(a.below, a.childs),
	}
}
