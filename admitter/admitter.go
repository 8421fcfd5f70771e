// Package admitter decides which calls run at one backend server, in which
// order, and which are refused.
package admitter

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/apportioner"
	"waxwingseam.example/waxwingseam/limiter"
	"waxwingseam.example/waxwingseam/pacer"
)

const (
	// sheddingWindow is how long Load reports shedding after a refusal.
	sheddingWindow = 100 * time.Millisecond
	// deepQueueFactor times the slots is the maximum number of waiting calls
	// that are not roots.
	deepQueueFactor = 16
)

// Config holds the limiters of an admitter.
type Config struct {
	// Limiter bounds how many calls run at once.
	Limiter waxwingseam.Limiter
	// RootLimiter bounds how many roots of classes that make calls run at once; if
	// nil, the bound is the number of slots.
	RootLimiter waxwingseam.Limiter
	// Apportioner computes which share of the roots is to be refused at first nodes;
	// the default one if nil.
	Apportioner waxwingseam.Apportioner
	// Pacer bounds the rate at which calls start; if nil, it is not bounded.
	Pacer waxwingseam.Pacer
}

type admitter struct {
	limiter       waxwingseam.Limiter
	rootLimiter   waxwingseam.Limiter
	apportioner   waxwingseam.Apportioner
	pacer         waxwingseam.Pacer
	slots         int
	queue         queue
	runs          runs
	reserve       reserve
	equalizer     equalizer
	activity      admissionActivity
	shortRunTimes shortRunTimes
	leafClasses   leafClasses
	accounts      accounts
	now           time.Time
}

// New returns an admitter with one slot; Configure sets the number of slots.
func New(config Config) waxwingseam.Admitter {
	if config.RootLimiter == nil {
		config.RootLimiter = limiter.NewFixed()
	}
	if config.Apportioner == nil {
		config.Apportioner = apportioner.New(apportioner.Config{})
	}
	if config.Pacer == nil {
		config.Pacer = pacer.New()
	}
	return &admitter{
		limiter:       config.Limiter,
		rootLimiter:   config.RootLimiter,
		apportioner:   config.Apportioner,
		pacer:         config.Pacer,
		slots:         1,
		queue:         newQueue(),
		runs:          newRuns(),
		shortRunTimes: shortRunTimes{},
		leafClasses:   leafClasses{},
	}
}

// Configure implements waxwingseam.Admitter.
func (a *admitter) Configure(slots int) {
	a.slots = max(slots, 1)
	a.limiter.Configure(a.slots)
	a.rootLimiter.Configure(a.slots)
	a.apportioner.Configure(a.slots)
}

// Offer implements waxwingseam.Admitter.
func (a *admitter) Offer(c *waxwingseam.Context, t waxwingseam.Ticket) []waxwingseam.Admission {
	a.now = c.Now
	a.accounts.adopt(c.Set)
	_, depth := laneIndices(&t)
	a.reserve.observeDepth(depth)
	a.equalizer.observe(c.Now, &t)
	demand := waxwingseam.Demand{
		Root:       t.Root,
		Class:      t.Class,
		Importance: t.Rank.Importance,
		Refused:    t.RefusedPermille,
		Delay:      t.Delay,
	}
	if a.accounts.inUse() {
		demand.Account, demand.AccountWeight = t.Account, a.accounts.weight(t.Account)
		demand.Retried = t.Retried
	}
	a.apportioner.Offer(c.Now, demand)
	if from, ok := a.runs.shallowestAbove(t.Root, depth); ok {
		a.reserve.observeNesting(c.Now, from, depth)
	}
	if c.Now.Add(a.shortRunTimes[t.Class]).After(t.Deadline) {
		return []waxwingseam.Admission{a.refuse(t, waxwingseam.ReasonDeadline)}
	}
	if a.exceedsRate(&t) {
		return []waxwingseam.Admission{a.refuse(t, waxwingseam.ReasonRateLimited)}
	}
	if a.queue.len() == 0 && a.fits(&t) {
		return []waxwingseam.Admission{a.start(t)}
	}
	out := a.enqueue(t)
	return a.startWaiting(out)
}

// enqueue adds a ticket to the queue. If the queue is full, it evicts a queued
// ticket that ranks below the new one, or refuses the new one.
func (a *admitter) enqueue(t waxwingseam.Ticket) []waxwingseam.Admission {
	var out []waxwingseam.Admission
	if a.full(&t) {
		worst := a.queue.worst(t.Depth == 0)
		if worst == nil || !a.evictableBy(worst, &t) {
			return append(out, a.refuse(t, waxwingseam.ReasonOverloaded))
		}
		out = append(out, a.refuse(a.queue.remove(worst).ticket, waxwingseam.ReasonEvicted))
	}
	a.queue.add(queuedTicket{ticket: t, expiresAt: a.expiryTime(&t), share: a.accounts.share(&t)})
	return append(out, waxwingseam.Admission{ID: t.ID, Verdict: waxwingseam.VerdictWait})
}

// evictableBy reports whether a queued ticket may be evicted to make room for
// t. Lower importance is evicted first, then roots before deeper calls, then the
// larger backlog of an account, then the later rank.
func (a *admitter) evictableBy(w *queuedTicket, t *waxwingseam.Ticket) bool {
	queued := &w.ticket
	if queued.Rank.Importance != t.Rank.Importance {
		return queued.Rank.Importance < t.Rank.Importance
	}
	if (queued.Depth == 0) != (t.Depth == 0) {
		return queued.Depth == 0
	}
	if queued.Account != t.Account {
		return a.queue.backlogExceeds(w, t, a.accounts.weight(t.Account))
	}
	return t.Rank.Before(queued.Rank)
}

// full reports whether the queue has no room for a ticket. The queue bound of
// its class applies only to roots: refusing a deeper call would waste the work
// already done for its root.
func (a *admitter) full(t *waxwingseam.Ticket) bool {
	if t.Depth == 0 {
		return a.queue.roots >= a.maxWaitingRoots(t)
	}
	return a.queue.len()-a.queue.roots >= deepQueueFactor*a.slots
}

// maxWaitingRoots returns how many roots may wait: at most the number that can
// start within the ticket's maximum wait, by Little's law. A root that could
// not start in time is thus refused at once.
func (a *admitter) maxWaitingRoots(t *waxwingseam.Ticket) int {
	l := a.rootLimiter
	if a.leafClasses.contains(t.Class) {
		l = a.limiter
	}
	serviceTime := l.ServiceTime()
	if serviceTime <= t.MaxWait/time.Duration(max(t.MaxWaiting, 1)) {
		return t.MaxWaiting
	}
	startable := time.Duration(l.Limit()) * t.MaxWait / serviceTime
	return min(max(int(startable), 1), t.MaxWaiting)
}

// expiryTime returns when a waiting ticket is refused: once it could not finish
// by its deadline, and a root also once its maximum wait has passed.
func (a *admitter) expiryTime(t *waxwingseam.Ticket) time.Time {
	latest := t.Deadline.Add(-a.shortRunTimes[t.Class])
	if t.Depth > 0 {
		return latest
	}
	if wait := t.Arrived.Add(t.MaxWait); wait.Before(latest) {
		return wait
	}
	return latest
}

// fits reports whether the limits allow a ticket to start now. A run counts
// toward the bound of its own depth and of all deeper ones.
func (a *admitter) fits(t *waxwingseam.Ticket) bool {
	limit := a.limiter.Limit()
	if a.runs.len() >= limit || a.pacer.Delay(a.now, 1) > 0 {
		return false
	}
	_, depth := laneIndices(t)
	if depth == 0 && a.runs.callingRoots >= a.rootLimiter.Limit() && !a.leafClasses.contains(t.Class) {
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

// startWaiting starts waiting tickets until none fits, and appends the
// decisions to out.
func (a *admitter) startWaiting(out []waxwingseam.Admission) []waxwingseam.Admission {
	for {
		w := a.next()
		if w == nil {
			return out
		}
		out = append(out, a.start(a.queue.remove(w).ticket))
	}
}

// next returns the waiting ticket to start next, the most important first, or
// nil if none fits. Among those of the same importance, the equalizer decides. A
// ticket that does not fit blocks less important ones at its own depth and at
// smaller depths. Deeper ones may still start: their roots are admitted, and may
// hold the slots that the blocked ticket waits for.
func (a *admitter) next() *queuedTicket {
	minDepth := 0
	for i := importanceCount - 1; i >= 0 && minDepth < depthCount; i-- {
		if a.queue.byImportance[i] == 0 {
			continue
		}
		var best *queuedTicket
		nextMinDepth := minDepth
		for d := minDepth; d < depthCount; d++ {
			l := &a.queue.lanes[i][d]
			if l.empty() {
				continue
			}
			nextMinDepth = d + 1
			w := l.first()
			if a.fits(&w.ticket) && (best == nil || a.before(w, best)) {
				best = w
			}
		}
		if best != nil {
			return best
		}
		minDepth = nextMinDepth
	}
	return nil
}

// before reports whether ticket v is served before w. Both have the same importance.
func (a *admitter) before(v, w *queuedTicket) bool {
	if side(v.ticket.Depth) == side(w.ticket.Depth) {
		if before, differ := tagsDiffer(v, w); differ {
			return before
		}
	}
	return a.equalizer.before(&v.ticket, &w.ticket)
}

func (a *admitter) start(t waxwingseam.Ticket) waxwingseam.Admission {
	waited := a.now.Sub(t.Arrived)
	a.runs.add(&t, waited, t.Depth == 0 && !a.leafClasses.contains(t.Class))
	a.pacer.Take(a.now)
	a.accounts.charge(&t, a.shortRunTimes[t.Class])
	a.activity.observeStart(a.now, t.Rank)
	return waxwingseam.Admission{
		ID:      t.ID,
		Verdict: waxwingseam.VerdictRun,
		Waited:  waited,
	}
}

func (a *admitter) refuse(t waxwingseam.Ticket, reason waxwingseam.Reason) waxwingseam.Admission {
	if a.rateBound() && reason.IsOverload() {
		reason = waxwingseam.ReasonRateLimited
	}
	if reason != waxwingseam.ReasonRateLimited {
		a.activity.observeRefusal(a.now, t.Rank)
	}
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
	inFlight, callingRoots := a.runs.len(), a.runs.callingRoots
	run, ok := a.runs.remove(e.ID)
	if !ok {
		return nil
	}
	if !e.Failed {
		a.reserve.observeRun(c.Now, run.depth, e.Elapsed-e.WaitedBelow)
		a.shortRunTimes.observe(run.class, e.Elapsed-e.WaitedBelow)
		a.leafClasses.observe(run.class, e.MadeCalls)
	}
	a.limiter.Observe(waxwingseam.Sample{
		Now:      c.Now,
		Elapsed:  e.OwnElapsed,
		Waited:   run.waited,
		InFlight: inFlight,
		Failed:   e.Failed,
	})
	if run.callingRoot {
		a.rootLimiter.Observe(waxwingseam.Sample{
			Now:       c.Now,
			Elapsed:   e.Elapsed,
			Waited:    e.WaitedBelow,
			InFlight:  callingRoots,
			Regulated: e.RefusedBelow > 0,
			Failed:    e.Failed,
		})
	}
	a.apportioner.Finish(c.Now, run.class, e.Elapsed-e.WaitedBelow)
	return a.startWaiting(a.refuseExpired(nil))
}

// Expire implements waxwingseam.Admitter.
func (a *admitter) Expire(c *waxwingseam.Context) []waxwingseam.Admission {
	a.now = c.Now
	return a.startWaiting(a.refuseExpired(nil))
}

// refuseExpired refuses the tickets whose wait has ended, and appends the
// decisions to out.
func (a *admitter) refuseExpired(out []waxwingseam.Admission) []waxwingseam.Admission {
	for a.queue.len() > 0 && !a.queue.expiry[0].expiresAt.After(a.now) {
		t := a.queue.remove(a.queue.expiry[0]).ticket
		out = append(out, a.refuse(t, a.expiredReason(&t)))
	}
	return out
}

// expiredReason returns ReasonWaitLimit if a ticket could still meet its
// deadline, and otherwise ReasonDeadline.
func (a *admitter) expiredReason(t *waxwingseam.Ticket) waxwingseam.Reason {
	if a.now.Add(a.shortRunTimes[t.Class]).Before(t.Deadline) {
		return waxwingseam.ReasonWaitLimit
	}
	return waxwingseam.ReasonDeadline
}

// NextExpiry implements waxwingseam.Admitter.
func (a *admitter) NextExpiry() (time.Time, bool) {
	if a.queue.len() == 0 {
		return time.Time{}, false
	}
	at := a.queue.expiry[0].expiresAt
	if delay := a.pacer.Delay(a.now, 1); delay > 0 && a.now.Add(delay).Before(at) {
		at = a.now.Add(delay)
	}
	return at, true
}

// Refused implements waxwingseam.Admitter.
func (a *admitter) Refused(c *waxwingseam.Context, importance waxwingseam.Importance) waxwingseam.Permille {
	return a.apportioner.Refused(c.Now, importance, a.occupancy())
}

// RefusedAccount implements waxwingseam.Admitter.
func (a *admitter) RefusedAccount(c *waxwingseam.Context, importance waxwingseam.Importance, account waxwingseam.AccountName) (waxwingseam.Permille, waxwingseam.AccountShares) {
	return a.apportioner.RefusedAccount(c.Now, importance, account, a.occupancy())
}

func (a *admitter) occupancy() waxwingseam.Occupancy {
	return waxwingseam.Occupancy{
		Running: a.runs.len(),
		Waiting: a.queue.byImportance[:],
		Limited: a.pacer.Limited(),
	}
}

// Load implements waxwingseam.Admitter.
func (a *admitter) Load() waxwingseam.Load {
	load := waxwingseam.Load{
		InFlight:    count(a.runs.len()),
		Waiting:     count(a.queue.len()),
		Limit:       count(a.limiter.Limit()),
		RootLimit:   count(a.rootLimiter.Limit()),
		ServiceTime: a.limiter.ServiceTime(),
		RateDelay:   a.pacer.Delay(a.now, a.queue.len()+1),
	}
	load.Threshold, load.Shedding = a.activity.threshold(a.now)
	return load
}

func count(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxInt32))
}
