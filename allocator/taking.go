package allocator

import (
	"math"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// leaseTime is how long credit may be used, from the sending of the request for it.
	leaseTime = 300 * time.Millisecond
	// aheadTime is the demand that credit is asked for in advance.
	aheadTime = 150 * time.Millisecond
	// askingPeriod is how long after it needed credit an account asks ahead.
	askingPeriod = time.Second
	// maxWaiting bounds the roots that wait for credit.
	maxWaiting = 4096
	// retryJitter is the part of a RetryAfter that is random.
	retryJitter = 0.5
	// refundLimit is the largest age of a use that is given back. A report of it takes
	// some time, and it may not be older than the window then.
	refundLimit = window - 500*time.Millisecond
)

// waiter is a root that waits for credit.
type waiter struct {
	id      waxwingseam.CallID
	account *account
	until   time.Time
}

// Take implements waxwingseam.AccountLimiter.
func (a *Allocator) Take(c *waxwingseam.Context, name waxwingseam.AccountName, id waxwingseam.CallID, maxWait time.Duration) waxwingseam.AccountDecision {
	v, ok := a.accounts[name]
	if !ok {
		return waxwingseam.AccountDecision{Call: id, Admitted: true}
	}
	a.begin(c)
	now := clock(c)
	v.local.add(now, rateMemory, 1)
	s := a.shards[v.shard]
	switch {
	case a.spend(c, s, v), a.admit(c, s, v):
		a.deliver(c)
		return v.decision(c, id, true)
	case now.Before(v.refusedUntil):
		return a.refuse(c, s, v, id)
	}
	w := &waiter{id: id, account: v, until: now.Add(maxWait)}
	v.askedUntil = now.Add(askingPeriod)
	v.waiting = append(v.waiting, w)
	a.waiting[id] = w
	s.touch(v)
	a.flush(c, s)
	a.deliver(c)
	if a.waiting[id] != w {
		// This node is the owner and has decided already.
		return a.takeDecided(id)
	}
	if maxWait <= 0 || len(a.waiting) > maxWaiting {
		a.Withdraw(c, id)
		return a.refuse(c, s, v, id)
	}
	a.wake(c, w.until)
	return waxwingseam.AccountDecision{Call: id, Pending: true}
}

// spend uses credit.
func (a *Allocator) spend(c *waxwingseam.Context, s *session, v *account) bool {
	now := clock(c)
	if v.credit == 0 || !now.Before(v.creditUntil) {
		return false
	}
	v.credit--
	if now.Before(v.askedUntil) && float64(v.credit) < v.ahead(now)/2 && !now.Before(v.refusedUntil) {
		v.askedUntil = now.Add(askingPeriod)
		s.touch(v)
		a.flush(c, s)
	}
	return true
}

// admit admits a root without credit if the account is far below its limit as far as the
// owner knows, and what nodes have not reported yet can't break the rule.
func (a *Allocator) admit(c *waxwingseam.Context, s *session, v *account) bool {
	if v.scarce || s.allScarce || !a.confirmed(c, s) {
		return false
	}
	limit := v.maxUnreported(a.nodes(c))
	if v.used >= limit {
		return false
	}
	v.used++
	s.touch(v)
	if sampled := roll(c, v.sampling()); sampled || v.used >= limit {
		if sampled {
			s.sampled = v.id
		}
		a.flush(c, s)
	}
	return true
}

// roll returns true with a probability.
func roll(c *waxwingseam.Context, p float64) bool {
	return p >= 1 || c.Random().Float64() < p
}

// refuse refuses a root.
func (a *Allocator) refuse(c *waxwingseam.Context, s *session, v *account, id waxwingseam.CallID) waxwingseam.AccountDecision {
	v.refused++
	s.touch(v)
	d := v.decision(c, id, false)
	wait := max(v.creditAt.Sub(clock(c)), minRefusal)
	d.RetryAfter = wait + time.Duration(c.Random().Float64()*retryJitter*float64(wait))
	return d
}

// decision returns a decision with what is known of the account.
func (v *account) decision(c *waxwingseam.Context, id waxwingseam.CallID, admitted bool) waxwingseam.AccountDecision {
	d := waxwingseam.AccountDecision{Call: id, Admitted: admitted, Used: v.admitted, Limit: v.rate}
	if !v.knownAt.IsZero() {
		d.Age = clock(c).Sub(v.knownAt)
	}
	return d
}

// ahead returns the credit that the account should have here in advance.
func (v *account) ahead(now time.Time) float64 {
	return math.Round(v.local.rate(now, rateMemory) * aheadTime.Seconds())
}

// settle decides the waiting roots of an account that can be admitted now.
func (a *Allocator) settle(c *waxwingseam.Context, s *session, v *account) {
	for len(v.waiting) > 0 {
		w := v.waiting[0]
		if !a.spend(c, s, v) && !a.admit(c, s, v) {
			return
		}
		a.decide(w, v.decision(c, w.id, true))
	}
}

// refuseWaiting refuses all waiting roots of an account.
func (a *Allocator) refuseWaiting(c *waxwingseam.Context, s *session, v *account) {
	for len(v.waiting) > 0 {
		w := v.waiting[0]
		a.decide(w, a.refuse(c, s, v, w.id))
	}
}

// decide ends the waiting of a root with a decision.
func (a *Allocator) decide(w *waiter, d waxwingseam.AccountDecision) {
	a.drop(w)
	a.decided = append(a.decided, d)
}

// drop ends the waiting of a root.
func (a *Allocator) drop(w *waiter) {
	delete(a.waiting, w.id)
	w.account.waiting = slices.DeleteFunc(w.account.waiting, func(o *waiter) bool { return o == w })
}

// takeDecided removes and returns a decision that has just been made.
func (a *Allocator) takeDecided(id waxwingseam.CallID) waxwingseam.AccountDecision {
	i := slices.IndexFunc(a.decided, func(d waxwingseam.AccountDecision) bool { return d.Call == id })
	d := a.decided[i]
	a.decided = slices.Delete(a.decided, i, i+1)
	return d
}

// expireWaiting refuses the roots that have waited too long.
func (a *Allocator) expireWaiting(c *waxwingseam.Context) {
	now := clock(c)
	var due []*waiter
	for _, w := range a.waiting {
		if !now.Before(w.until) {
			due = append(due, w)
		}
	}
	slices.SortFunc(due, func(x, y *waiter) int { return x.id.Compare(y.id) })
	for _, w := range due {
		a.decide(w, a.refuse(c, a.shards[w.account.shard], w.account, w.id))
	}
}

// admitUnlimited admits the waiting roots of accounts whose limit a new set has removed.
func (a *Allocator) admitUnlimited(c *waxwingseam.Context, before map[waxwingseam.AccountName]*account) {
	for _, name := range sortedNames(before) {
		if a.accounts[name] != nil {
			continue
		}
		v := before[name]
		for len(v.waiting) > 0 {
			w := v.waiting[0]
			a.decide(w, v.decision(c, w.id, true))
		}
	}
}

// sortedNames returns the names of accounts in order.
func sortedNames(accounts map[waxwingseam.AccountName]*account) []waxwingseam.AccountName {
	out := make([]waxwingseam.AccountName, 0, len(accounts))
	for name := range accounts {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Decided implements waxwingseam.AccountLimiter.
func (a *Allocator) Decided(*waxwingseam.Context) []waxwingseam.AccountDecision {
	if len(a.decided) == 0 {
		return nil
	}
	out := a.decided
	a.decided = nil
	return out
}

// Withdraw implements waxwingseam.AccountLimiter.
func (a *Allocator) Withdraw(_ *waxwingseam.Context, id waxwingseam.CallID) {
	if w, ok := a.waiting[id]; ok {
		a.drop(w)
	}
}

// Refund implements waxwingseam.AccountLimiter.
func (a *Allocator) Refund(c *waxwingseam.Context, name waxwingseam.AccountName, admitted time.Time) {
	v, ok := a.accounts[name]
	if !ok || c.Now.Sub(admitted) > refundLimit {
		return
	}
	if v.used > 0 {
		v.used--
		return
	}
	v.refunded++
	a.shards[v.shard].touch(v)
}

// Demand implements waxwingseam.AccountDemands.
func (a *Allocator) Demand(now time.Time, name waxwingseam.AccountName) (waxwingseam.AccountDemand, bool) {
	v, ok := a.accounts[name]
	if !ok || v.knownAt.IsZero() {
		return waxwingseam.AccountDemand{}, false
	}
	return waxwingseam.AccountDemand{
		Offered:  v.offered,
		Admitted: v.admitted,
		Age:      max(now.Add(a.suspended).Sub(v.knownAt), 0),
	}, true
}
