package experimenter

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/limiter"
)

// queueFactor is the maximum length of an unranked queue, as a multiple of the slots.
const queueFactor = 4

// queueAdmitter queues calls for a slot. A ranked queue is ordered by rank,
// evicts its last call for one that ranks before it, and applies the wait
// limits; an unranked one is ordered by arrival, and its calls wait until their
// deadline.
type queueAdmitter struct {
	limiter waxwingseam.Limiter
	ranked  bool
	slots   int
	runs    map[waxwingseam.CallID]struct{}
	queue   []waxwingseam.Ticket
}

// newFIFOAdmitter returns an admitter with a fixed limit and a FIFO queue.
func newFIFOAdmitter() waxwingseam.Admitter {
	return &queueAdmitter{
		limiter: limiter.NewFixed(),
		runs:    map[waxwingseam.CallID]struct{}{},
	}
}

// newFirstVersionAdmitter returns the admitter of the project's first version,
// with a ranked queue and a limit that follows the latency of whole runs.
func newFirstVersionAdmitter() waxwingseam.Admitter {
	return &queueAdmitter{
		limiter: limiter.NewAIMD(),
		ranked:  true,
		runs:    map[waxwingseam.CallID]struct{}{},
	}
}

// Configure implements waxwingseam.Admitter.
func (a *queueAdmitter) Configure(slots int) {
	a.slots = slots
	a.limiter.Configure(slots)
}

// Offer implements waxwingseam.Admitter.
func (a *queueAdmitter) Offer(_ *waxwingseam.Context, t waxwingseam.Ticket) []waxwingseam.Admission {
	if len(a.runs) < a.limiter.Limit() && len(a.queue) == 0 {
		return []waxwingseam.Admission{a.start(t.ID)}
	}
	maxQueued := queueFactor * a.slots
	if a.ranked {
		maxQueued = t.MaxWaiting
	}
	out := []waxwingseam.Admission{{ID: t.ID, Verdict: waxwingseam.VerdictWait}}
	if len(a.queue) >= maxQueued {
		last := len(a.queue) - 1
		if !a.ranked || last < 0 || !t.Rank.Before(a.queue[last].Rank) {
			return []waxwingseam.Admission{refusal(t.ID, waxwingseam.ReasonOverloaded)}
		}
		out = append(out, refusal(a.queue[last].ID, waxwingseam.ReasonEvicted))
		a.queue = a.queue[:last]
	}
	position := len(a.queue)
	for a.ranked && position > 0 && t.Rank.Before(a.queue[position-1].Rank) {
		position--
	}
	a.queue = slices.Insert(a.queue, position, t)
	return out
}

func refusal(id waxwingseam.CallID, reason waxwingseam.Reason) waxwingseam.Admission {
	return waxwingseam.Admission{ID: id, Verdict: waxwingseam.VerdictRefuse, Reason: reason}
}

func (a *queueAdmitter) start(id waxwingseam.CallID) waxwingseam.Admission {
	a.runs[id] = struct{}{}
	return waxwingseam.Admission{ID: id, Verdict: waxwingseam.VerdictRun}
}

// Withdraw implements waxwingseam.Admitter.
func (a *queueAdmitter) Withdraw(id waxwingseam.CallID) bool {
	for i, t := range a.queue {
		if t.ID == id {
			a.queue = slices.Delete(a.queue, i, i+1)
			return true
		}
	}
	return false
}

// Finish implements waxwingseam.Admitter.
func (a *queueAdmitter) Finish(c *waxwingseam.Context, e waxwingseam.RunEnd) []waxwingseam.Admission {
	a.limiter.Observe(waxwingseam.Sample{
		Now:      c.Now,
		Elapsed:  e.Elapsed,
		InFlight: len(a.runs),
		Failed:   e.Failed,
	})
	delete(a.runs, e.ID)
	out := a.Expire(c)
	for len(a.queue) > 0 && len(a.runs) < a.limiter.Limit() {
		out = append(out, a.start(a.queue[0].ID))
		a.queue = slices.Delete(a.queue, 0, 1)
	}
	return out
}

// expiry returns the time at which a queued call is refused.
func (a *queueAdmitter) expiry(t *waxwingseam.Ticket) time.Time {
	if wait := t.Arrived.Add(t.MaxWait); a.ranked && wait.Before(t.Deadline) {
		return wait
	}
	return t.Deadline
}

// Expire implements waxwingseam.Admitter.
func (a *queueAdmitter) Expire(c *waxwingseam.Context) []waxwingseam.Admission {
	var out []waxwingseam.Admission
	a.queue = slices.DeleteFunc(a.queue, func(t waxwingseam.Ticket) bool {
		if a.expiry(&t).After(c.Now) {
			return false
		}
		out = append(out, refusal(t.ID, waxwingseam.ReasonWaitLimit))
		return true
	})
	return out
}

// NextExpiry implements waxwingseam.Admitter.
func (a *queueAdmitter) NextExpiry() (time.Time, bool) {
	if len(a.queue) == 0 {
		return time.Time{}, false
	}
	at := a.expiry(&a.queue[0])
	for i := range a.queue[1:] {
		if next := a.expiry(&a.queue[i+1]); next.Before(at) {
			at = next
		}
	}
	return at, true
}

// Refused implements waxwingseam.Admitter.
func (a *queueAdmitter) Refused(*waxwingseam.Context, waxwingseam.Importance) waxwingseam.Permille {
	return 0
}

// RefusedAccount implements waxwingseam.Admitter.
func (a *queueAdmitter) RefusedAccount(*waxwingseam.Context, waxwingseam.Importance, waxwingseam.AccountName) (waxwingseam.Permille, waxwingseam.AccountShares) {
	return 0, waxwingseam.AccountShares{}
}

// Load implements waxwingseam.Admitter.
func (a *queueAdmitter) Load() waxwingseam.Load {
	return waxwingseam.Load{
		InFlight: uint32(len(a.runs)),
		Waiting:  uint32(len(a.queue)),
		Limit:    uint32(a.limiter.Limit()),
	}
}
