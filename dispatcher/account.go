package dispatcher

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// maxControlSilence is how long after control was last heard the set in force counts
	// as the newest. Control is heard every 300 ms.
	maxControlSilence = time.Second
	// accountWait bounds how long a root waits for the decision on its account's limit. It
	// is about twice the time for a question and its answer between the data centres that
	// are farthest apart.
	accountWait = 150 * time.Millisecond
)

// setAge tells whether the set in force is the newest, as far as the node knows.
type setAge struct {
	// heardAt is when control was heard last, and suspended the time for which the
	// process had been suspended until then.
	heardAt   time.Time
	suspended time.Duration
	// named is the latest revision that another node has named.
	named waxwingseam.Revision
}

func (s *setAge) controlHeard(c *waxwingseam.Context) {
	s.heardAt, s.suspended = c.Now, c.Suspended
}

func (s *setAge) revisionNamed(r waxwingseam.Revision) {
	s.named = max(s.named, r)
}

// newest reports whether the set in force is the newest.
func (s *setAge) newest(c *waxwingseam.Context) bool {
	silence := c.Now.Sub(s.heardAt) + c.Suspended - s.suspended
	return silence <= maxControlSilence && s.named <= c.Set.Revision
}

// adoptAccounts puts the client accounts of the set in force into use.
func (d *dispatcher) adoptAccounts(c *waxwingseam.Context) {
	if d.Limiter != nil {
		d.Limiter.Adopt(c, c.Set)
	}
	if d.Authenticator == nil {
		return
	}
	d.Authenticator.Adopt(c.Set)
	if required := d.Authenticator.Required(); required != d.keysRequired {
		d.keysRequired = required
		c.Emit(waxwingseam.RequireKeys{Required: required})
	}
}

// authenticate returns the client account of a call without a known parent, or the reason
// to refuse the call. The account has no name if the call needs none.
func (d *dispatcher) authenticate(c *waxwingseam.Context, e waxwingseam.CallArrived, class waxwingseam.RequestClass) (waxwingseam.ClientAccount, waxwingseam.Reason) {
	var none waxwingseam.ClientAccount
	if !d.keysRequired {
		return none, waxwingseam.ReasonNone
	}
	hasKey := !e.KeyDigest.IsZero()
	if hasKey {
		if a, ok := d.Authenticator.Authenticate(e.KeyDigest); ok {
			return a, waxwingseam.ReasonNone
		}
	}
	switch {
	case class.Unauthenticated:
		return none, waxwingseam.ReasonNone
	case !hasKey && e.Outbound:
		// Anybody could claim to be the run of an unknown call.
		return none, waxwingseam.ReasonUnknownContext
	case hasKey && !d.setAge.newest(c):
		return none, waxwingseam.ReasonSetUnconfirmed
	}
	return none, waxwingseam.ReasonUnauthenticated
}

// takeAccount takes a root from the limit of its client account, and reports whether the
// root may be sent now. Otherwise it has been refused, or waits for the decision.
func (d *dispatcher) takeAccount(c *waxwingseam.Context, f *flight) bool {
	if d.Limiter == nil || f.call.Account == "" || !f.call.Parent.IsZero() {
		return true
	}
	wait := min(accountWait, f.call.Deadline.Sub(c.Now))
	decision := d.Limiter.Take(c, f.call.Account, f.call.ID, wait)
	if decision.Pending {
		f.undecided = true
		d.undecided++
		d.armDeadline(c, f)
		return false
	}
	return d.accountDecided(c, f, decision)
}

// accountDecided notes the decision on a root, and refuses the root if it is over the
// limit. It reports whether the root may be sent.
func (d *dispatcher) accountDecided(c *waxwingseam.Context, f *flight, decision waxwingseam.AccountDecision) bool {
	if decision.Admitted {
		f.admittedAt = c.Now
		return true
	}
	f.refusal = &waxwingseam.Refusal{
		Call: f.call, Basis: waxwingseam.BasisAccountLimit, BasisAge: decision.Age,
		Used: decision.Used, Limit: decision.Limit,
	}
	d.finish(c, f, waxwingseam.Result{Reason: waxwingseam.ReasonAccountLimit, RetryAfter: decision.RetryAfter})
	return false
}

// resumeDecided goes on with the roots whose decision was pending.
func (d *dispatcher) resumeDecided(c *waxwingseam.Context) {
	if d.undecided == 0 {
		return
	}
	for _, decision := range d.Limiter.Decided(c) {
		f, ok := d.flights[decision.Call]
		if !ok || !f.undecided {
			continue
		}
		f.undecided = false
		d.undecided--
		if d.accountDecided(c, f, decision) {
			d.send(c, f)
		}
	}
}

// settleAccount ends the use that an answered root makes of its account's limit.
func (d *dispatcher) settleAccount(c *waxwingseam.Context, f *flight, result waxwingseam.Result) {
	switch {
	case f.undecided:
		f.undecided = false
		d.undecided--
		d.Limiter.Withdraw(c, f.call.ID)
	case !f.admittedAt.IsZero() && result.Outcome == waxwingseam.OutcomeDidNotRun:
		d.Limiter.Refund(c, f.call.Account, f.admittedAt)
	}
}
