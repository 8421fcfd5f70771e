package experimenter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// fifoQueueFactor times the slots is the most calls in the queue.
const fifoQueueFactor = 4

// fifoAdmitter runs as many calls as there are slots and lets the others wait
// in the order of arrival, each until its deadline.
type fifoAdmitter struct {
	slots int
	runs  map[waxwingseam.CallID]struct{}
	queue []waxwingseam.Ticket
}

func newFIFOAdmitter() waxwingseam.Admitter {
	return &fifoAdmitter{runs: map[waxwingseam.CallID]struct{}{}}
}

// Configure implements waxwingseam.Admitter.
func (a *fifoAdmitter) Configure(slots int) { a.slots = slots }

// Offer implements waxwingseam.Admitter.
func (a *fifoAdmitter) Offer(_ *waxwingseam.Context, t waxwingseam.Ticket) []waxwingseam.Admission {
	switch {
	case len(a.runs) < a.slots:
		return []waxwingseam.Admission{a.start(t.ID)}
	case len(a.queue) < fifoQueueFactor*a.slots:
		a.queue = append(a.queue, t)
		return []waxwingseam.Admission{{ID: t.ID, Verdict: waxwingseam.VerdictWait}}
	}
	return []waxwingseam.Admission{fifoRefusal(t.ID, waxwingseam.ReasonOverloaded)}
}

func fifoRefusal(id waxwingseam.CallID, reason waxwingseam.Reason) waxwingseam.Admission {
	return waxwingseam.Admission{ID: id, Verdict: waxwingseam.VerdictRefuse, Reason: reason}
}

func (a *fifoAdmitter) start(id waxwingseam.CallID) waxwingseam.Admission {
	a.runs[id] = struct{}{}
	return waxwingseam.Admission{ID: id, Verdict: waxwingseam.VerdictRun}
}

// Withdraw implements waxwingseam.Admitter.
func (a *fifoAdmitter) Withdraw(id waxwingseam.CallID) bool {
	for i, t := range a.queue {
		if t.ID == id {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Finish implements waxwingseam.Admitter.
func (a *fifoAdmitter) Finish(c *waxwingseam.Context, e waxwingseam.RunEnd) []waxwingseam.Admission {
	delete(a.runs, e.ID)
	out := a.Expire(c)
	for len(a.queue) > 0 && len(a.runs) < a.slots {
		out = append(out, a.start(a.queue[0].ID))
		a.queue = a.queue[1:]
	}
	return out
}

// Expire implements waxwingseam.Admitter.
func (a *fifoAdmitter) Expire(c *waxwingseam.Context) []waxwingseam.Admission {
	var out []waxwingseam.Admission
	kept := a.queue[:0]
	for _, t := range a.queue {
		if t.Deadline.After(c.Now) {
			kept = append(kept, t)
			continue
		}
		out = append(out, fifoRefusal(t.ID, waxwingseam.ReasonDeadline))
	}
	a.queue = kept
	return out
}

// NextExpiry implements waxwingseam.Admitter.
func (a *fifoAdmitter) NextExpiry() (time.Time, bool) {
	if len(a.queue) == 0 {
		return time.Time{}, false
	}
	return a.queue[0].Deadline, true
}

// Load implements waxwingseam.Admitter.
func (a *fifoAdmitter) Load() waxwingseam.Load {
	return waxwingseam.Load{
		InFlight: uint32(len(a.runs)),
		Waiting:  uint32(len(a.queue)),
		Limit:    uint32(a.slots),
	}
}
