// Package admitter decides which calls run at one backend server, in which
// order, and which are refused.
package admitter

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/limiter"
)

const (
	// sheddingHold is how long a refusal for overload shows in the load.
	sheddingHold = 100 * time.Millisecond
	// deepQueueFactor times the slots is the most deeper calls that wait.
	deepQueueFactor = 16
)

// Config holds the parts of an admitter.
type Config struct {
	// Limiter sets how many calls run at once.
	Limiter waxwingseam.Limiter
	// Roots sets how many of them are roots; unset for no bound of its own.
	Roots waxwingseam.Limiter
}

type admitter struct {
	limiter waxwingseam.Limiter
	roots   waxwingseam.Limiter
	slots   int
	queue   queue
	runs    runs
	reserve reserve
	signs   signs
	least   leastTimes
	now     time.Time
}

// New returns an admitter without slots; Configure sets them.
func New(config Config) waxwingseam.Admitter {
	if config.Roots == nil {
		config.Roots = limiter.NewFixed()
	}
	return &admitter{
		limiter: config.Limiter,
		roots:   config.Roots,
		slots:   1,
		queue:   newQueue(),
		runs:    newRuns(),
		least:   leastTimes{},
	}
}

// Configure implements waxwingseam.Admitter.
func (a *admitter) Configure(slots int) {
	a.slots = max(slots, 1)
	a.limiter.Configure(a.slots)
	a.roots.Configure(a.slots)
}

// Offer implements waxwingseam.Admitter.
func (a *admitter) Offer(c *waxwingseam.Context, t waxwingseam.Ticket) []waxwingseam.Admission {
	a.now = c.Now
	_, depth := level(&t)
	a.reserve.arrived(depth)
	if from, ok := a.runs.above(t.Root, depth); ok {
		a.reserve.cameBack(c.Now, from, depth)
	}
	if c.Now.Add(a.least[t.Class]).After(t.Deadline) {
		return []waxwingseam.Admission{a.refuse(t, waxwingseam.ReasonDeadline)}
	}
	if a.queue.len() == 0 && a.fits(&t) {
		return []waxwingseam.Admission{a.start(t)}
	}
	out := a.enqueue(t)
	return a.startWaiting(out)
}

// enqueue lets a ticket wait, if need be in place of a less important one.
func (a *admitter) enqueue(t waxwingseam.Ticket) []waxwingseam.Admission {
	var out []waxwingseam.Admission
	if a.full(&t) {
		worst := a.queue.worst(t.Depth == 0)
		if worst == nil || !yields(&worst.ticket, &t) {
			return append(out, a.refuse(t, waxwingseam.ReasonOverloaded))
		}
		out = append(out, a.refuse(a.queue.remove(worst).ticket, waxwingseam.ReasonEvicted))
	}
	a.queue.add(waiting{ticket: t, until: a.until(&t)})
	return append(out, waxwingseam.Admission{ID: t.ID, Verdict: waxwingseam.VerdictWait})
}

// yields reports whether a waiting ticket makes room for a new one.
func yields(waits, t *waxwingseam.Ticket) bool {
	if waits.Rank.Importance != t.Rank.Importance {
		return waits.Rank.Importance < t.Rank.Importance
	}
	if (waits.Depth == 0) != (t.Depth == 0) {
		return waits.Depth == 0
	}
	return t.Rank.Before(waits.Rank)
}

// full reports whether the queue has no place for one more of the kind. A
// deeper call has its root's work behind it, so its class's bound on the queue
// is not for it.
func (a *admitter) full(t *waxwingseam.Ticket) bool {
	if t.Depth == 0 {
		return a.queue.roots >= a.places(t)
	}
	return a.queue.len()-a.queue.roots >= deepQueueFactor*a.slots
}

// places returns how many roots may wait: no more than start within the
// ticket's wait, by Little's law, so that a root which could not start in time
// is refused at once.
func (a *admitter) places(t *waxwingseam.Ticket) int {
	usual := a.roots.ServiceTime()
	if usual <= t.MaxWait/time.Duration(max(t.MaxWaiting, 1)) {
		return t.MaxWaiting
	}
	inTime := time.Duration(a.roots.Limit()) * t.MaxWait / usual
	return min(max(int(inTime), 1), t.MaxWaiting)
}

// until returns when a waiting ticket is refused: a root after its class's
// wait, every call once it could not finish by its deadline.
func (a *admitter) until(t *waxwingseam.Ticket) time.Time {
	latest := t.Deadline.Add(-a.least[t.Class])
	if t.Depth > 0 {
		return latest
	}
	if wait := t.Arrived.Add(t.MaxWait); wait.Before(latest) {
		return wait
	}
	return latest
}

// fits reports whether a ticket may start now, as far as limits go. A run
// counts for its own depth and for all deeper ones.
func (a *admitter) fits(t *waxwingseam.Ticket) bool {
	limit := a.limiter.Limit()
	if a.runs.len() >= limit {
		return false
	}
	_, depth := level(t)
	if depth == 0 && a.runs.byDepth[0] >= a.roots.Limit() {
		return false
	}
	runs := 0
	for d := 0; d <= a.reserve.deepest; d++ {
		runs += a.runs.byDepth[d]
		if d >= depth && runs >= a.reserve.bound(a.now, limit, d) {
			return false
		}
	}
	return true
}

// startWaiting starts waiting tickets while they fit.
func (a *admitter) startWaiting(out []waxwingseam.Admission) []waxwingseam.Admission {
	for {
		w := a.next()
		if w == nil {
			return out
		}
		out = append(out, a.start(a.queue.remove(w).ticket))
	}
}

// next returns the first waiting ticket that fits, the most important first;
// nil without one. A ticket that does not fit holds back less important ones
// of its own depth and above. Deeper ones go on: their roots are admitted, and
// hold what it waits for.
func (a *admitter) next() *waiting {
	above := 0
	for i := importances - 1; i >= 0 && above < depths; i-- {
		if a.queue.counts[i] == 0 {
			continue
		}
		var best *waiting
		next := above
		for d := above; d < depths; d++ {
			l := &a.queue.lanes[i][d]
			if l.empty() {
				continue
			}
			next = d + 1
			w := l.first()
			if a.fits(&w.ticket) && (best == nil || w.ticket.Rank.Before(best.ticket.Rank)) {
				best = w
			}
		}
		if best != nil {
			return best
		}
		above = next
	}
	return nil
}

func (a *admitter) start(t waxwingseam.Ticket) waxwingseam.Admission {
	waited := a.now.Sub(t.Arrived)
	a.runs.add(&t, waited)
	a.signs.started(a.now, t.Rank)
	return waxwingseam.Admission{
		ID:      t.ID,
		Verdict: waxwingseam.VerdictRun,
		Waited:  waited,
	}
}

func (a *admitter) refuse(t waxwingseam.Ticket, reason waxwingseam.Reason) waxwingseam.Admission {
	a.signs.refused(a.now, t.Rank)
	return waxwingseam.Admission{
		ID:      t.ID,
		Verdict: waxwingseam.VerdictRefuse,
		Reason:  reason,
		Waited:  a.now.Sub(t.Arrived),
	}
}

// Withdraw implements waxwingseam.Admitter.
func (a *admitter) Withdraw(id waxwingseam.CallID) bool {
	w, ok := a.queue.byID[id]
	if ok {
		a.queue.remove(w)
	}
	return ok
}

// Finish implements waxwingseam.Admitter.
func (a *admitter) Finish(c *waxwingseam.Context, e waxwingseam.RunEnd) []waxwingseam.Admission {
	a.now = c.Now
	inFlight := a.runs.len()
	run, ok := a.runs.remove(e.ID)
	if !ok {
		return nil
	}
	if !e.Failed {
		a.reserve.finished(c.Now, run.depth, e.Elapsed-e.WaitedBelow)
		a.least.ended(run.class, e.Elapsed-e.WaitedBelow)
	}
	a.limiter.Observe(waxwingseam.Sample{
		Now:      c.Now,
		Elapsed:  e.OwnElapsed,
		Waited:   run.waited,
		InFlight: inFlight,
		Failed:   e.Failed,
	})
	if run.depth == 0 {
		a.roots.Observe(waxwingseam.Sample{
			Now:      c.Now,
			Elapsed:  e.Elapsed,
			Waited:   e.WaitedBelow,
			InFlight: a.runs.byDepth[0] + 1,
			Failed:   e.Failed,
		})
	}
	return a.startWaiting(a.expired(nil))
}

// Expire implements waxwingseam.Admitter.
func (a *admitter) Expire(c *waxwingseam.Context) []waxwingseam.Admission {
	a.now = c.Now
	return a.startWaiting(a.expired(nil))
}

// expired refuses the tickets whose wait has ended.
func (a *admitter) expired(out []waxwingseam.Admission) []waxwingseam.Admission {
	for a.queue.len() > 0 && !a.queue.expiry[0].until.After(a.now) {
		t := a.queue.remove(a.queue.expiry[0]).ticket
		out = append(out, a.refuse(t, a.expiredReason(&t)))
	}
	return out
}

func (a *admitter) expiredReason(t *waxwingseam.Ticket) waxwingseam.Reason {
	if a.now.Add(a.least[t.Class]).Before(t.Deadline) {
		return waxwingseam.ReasonWaitLimit
	}
	return waxwingseam.ReasonDeadline
}

// NextExpiry implements waxwingseam.Admitter.
func (a *admitter) NextExpiry() (time.Time, bool) {
	if a.queue.len() == 0 {
		return time.Time{}, false
	}
	return a.queue.expiry[0].until, true
}

// Load implements waxwingseam.Admitter.
func (a *admitter) Load() waxwingseam.Load {
	load := waxwingseam.Load{
		InFlight:    count(a.runs.len()),
		Waiting:     count(a.queue.len()),
		Limit:       count(a.limiter.Limit()),
		ServiceTime: a.limiter.ServiceTime(),
	}
	load.Threshold, load.Shedding = a.signs.threshold(a.now)
	return load
}

func count(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxInt32))
}
