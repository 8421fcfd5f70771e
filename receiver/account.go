package receiver

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// childCalls tracks the calls that one run makes: the time during which any of
// them is open, and the time that they spend in queues.
type childCalls struct {
	open      int
	openSince time.Time
	openTime  time.Duration
	queued    time.Duration
	ids       []waxwingseam.CallID
}

// childArrived records a call that a run makes.
func (r *receiver) childArrived(c *waxwingseam.Context, e waxwingseam.CallArrived) {
	live, ok := r.calls[r.tracker.ParentRun(e)]
	if !ok || !live.running {
		return
	}
	live.children.ids = append(live.children.ids, e.ID)
	r.parents[e.ID] = live
	if live.children.open == 0 {
		live.children.openSince = c.Now
	}
	live.children.open++
}

// childEnded records the end of an attempt of a child call. A retry that follows
// is not recorded as open, so its time counts as the run's own time.
func (r *receiver) childEnded(c *waxwingseam.Context, e waxwingseam.AttemptEnded) {
	live, ok := r.parents[e.ID]
	if !ok {
		return
	}
	live.children.queued += e.Result.Waited
	if live.children.open == 0 {
		return
	}
	live.children.open--
	if live.children.open == 0 {
		live.children.openTime += c.Now.Sub(live.children.openSince)
	}
}

// endChildren removes a run's child calls and returns the summary for the
// admitter. If a child call is still open when the run ends past its deadline,
// all open time counts as queue time, because the run gained nothing from it.
func (r *receiver) endChildren(c *waxwingseam.Context, live *call, e waxwingseam.RunEnded) waxwingseam.RunEnd {
	children := &live.children
	for _, id := range children.ids {
		delete(r.parents, id)
	}
	if children.open > 0 {
		children.openTime += c.Now.Sub(children.openSince)
		if !c.Now.Before(live.header.Deadline) {
			children.queued = children.openTime
		}
	}
	cancelled := len(live.attempts) == 0
	return waxwingseam.RunEnd{
		ID:          e.ID,
		Failed:      cancelled || !e.Result.Succeeded(),
		Elapsed:     e.Elapsed,
		OwnElapsed:  max(e.Elapsed-children.openTime, 0),
		WaitedBelow: min(children.queued, children.openTime),
		MadeCalls:   len(children.ids) > 0,
	}
}
