package experimenter

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/limiter"
)

// lineFactor times the slots is the most calls in a line without wait limits.
const lineFactor = 4

// lineAdmitter lets calls wait in one line for a slot. Where the line is
// ranked, it goes by rank, a better call displaces the last, and the wait
// limits hold; otherwise it goes by arrival, and calls wait to their deadline.
type lineAdmitter struct {
	limiter waxwingseam.Limiter
	ranked  bool
	slots   int
	runs    map[waxwingseam.CallID]struct{}
	line    []waxwingseam.Ticket
}

// newFIFOAdmitter returns the admitter of a fixed limit.
func newFIFOAdmitter() waxwingseam.Admitter {
	return &lineAdmitter{
		limiter: limiter.NewFixed(),
		runs:    map[waxwingseam.CallID]struct{}{},
	}
}

// newFirstAdmitter returns the policy of the project's first version: one
// ranked line and a limit that follows the latency of whole runs.
func newFirstAdmitter() waxwingseam.Admitter {
	return &lineAdmitter{
		limiter: limiter.NewAIMD(),
		ranked:  true,
		runs:    map[waxwingseam.CallID]struct{}{},
	}
}

// Configure implements waxwingseam.Admitter.
func (a *lineAdmitter) Configure(slots int) {
	a.slots = slots
	a.limiter.Configure(slots)
}

// Offer implements waxwingseam.Admitter.
func (a *lineAdmitter) Offer(_ *waxwingseam.Context, t waxwingseam.Ticket) []waxwingseam.Admission {
	if len(a.runs) < a.limiter.Limit() && len(a.line) == 0 {
		return []waxwingseam.Admission{a.start(t.ID)}
	}
	places := lineFactor * a.slots
	if a.ranked {
		places = t.MaxWaiting
	}
	out := []waxwingseam.Admission{{ID: t.ID, Verdict: waxwingseam.VerdictWait}}
	if len(a.line) >= places {
		last := len(a.line) - 1
		if !a.ranked || last < 0 || !t.Rank.Before(a.line[last].Rank) {
			return []waxwingseam.Admission{lineRefusal(t.ID, waxwingseam.ReasonOverloaded)}
		}
		out = append(out, lineRefusal(a.line[last].ID, waxwingseam.ReasonEvicted))
		a.line = a.line[:last]
	}
	at := len(a.line)
	for a.ranked && at > 0 && t.Rank.Before(a.line[at-1].Rank) {
		at--
	}
	a.line = slices.Insert(a.line, at, t)
	return out
}

func lineRefusal(id waxwingseam.CallID, reason waxwingseam.Reason) waxwingseam.Admission {
	return waxwingseam.Admission{ID: id, Verdict: waxwingseam.VerdictRefuse, Reason: reason}
}

func (a *lineAdmitter) start(id waxwingseam.CallID) waxwingseam.Admission {
	a.runs[id] = struct{}{}
	return waxwingseam.Admission{ID: id, Verdict: waxwingseam.VerdictRun}
}

// Withdraw implements waxwingseam.Admitter.
func (a *lineAdmitter) Withdraw(id waxwingseam.CallID) bool {
	for i, t := range a.line {
		if t.ID == id {
			a.line = slices.Delete(a.line, i, i+1)
			return true
		}
	}
	return false
}

// Finish implements waxwingseam.Admitter.
func (a *lineAdmitter) Finish(c *waxwingseam.Context, e waxwingseam.RunEnd) []waxwingseam.Admission {
	a.limiter.Observe(waxwingseam.Sample{
		Now:      c.Now,
		Elapsed:  e.Elapsed,
		InFlight: len(a.runs),
		Failed:   e.Failed,
	})
	delete(a.runs, e.ID)
	out := a.Expire(c)
	for len(a.line) > 0 && len(a.runs) < a.limiter.Limit() {
		out = append(out, a.start(a.line[0].ID))
		a.line = slices.Delete(a.line, 0, 1)
	}
	return out
}

// until returns when a waiting call is refused.
func (a *lineAdmitter) until(t *waxwingseam.Ticket) time.Time {
	if wait := t.Arrived.Add(t.MaxWait); a.ranked && wait.Before(t.Deadline) {
		return wait
	}
	return t.Deadline
}

// Expire implements waxwingseam.Admitter.
func (a *lineAdmitter) Expire(c *waxwingseam.Context) []waxwingseam.Admission {
	var out []waxwingseam.Admission
	a.line = slices.DeleteFunc(a.line, func(t waxwingseam.Ticket) bool {
		if a.until(&t).After(c.Now) {
			return false
		}
		out = append(out, lineRefusal(t.ID, waxwingseam.ReasonWaitLimit))
		return true
	})
	return out
}

// NextExpiry implements waxwingseam.Admitter.
func (a *lineAdmitter) NextExpiry() (time.Time, bool) {
	if len(a.line) == 0 {
		return time.Time{}, false
	}
	at := a.until(&a.line[0])
	for i := range a.line[1:] {
		if next := a.until(&a.line[i+1]); next.Before(at) {
			at = next
		}
	}
	return at, true
}

// Load implements waxwingseam.Admitter.
func (a *lineAdmitter) Load() waxwingseam.Load {
	return waxwingseam.Load{
		InFlight: uint32(len(a.runs)),
		Waiting:  uint32(len(a.line)),
		Limit:    uint32(a.limiter.Limit()),
	}
}
