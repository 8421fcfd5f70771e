package dispatcher

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// send sends the next attempt of a call, or finishes the call if the balancer
// refuses it or it might be broken off.
func (d *dispatcher) send(c *waxwingseam.Context, f *flight) {
	if d.outlastsProcess(c, f) {
		d.finishUnsent(c, f, waxwingseam.Choice{
			Refused: true,
			Reason:  waxwingseam.ReasonDraining,
			Basis:   waxwingseam.BasisStopping,
		})
		return
	}
	query := waxwingseam.Query{
		Service:      f.call.Service,
		Class:        f.call.Class,
		Account:      f.call.Account,
		Rank:         f.call.Rank,
		Depth:        f.call.Depth,
		Root:         f.refusable && len(f.attempts) == 0,
		Late:         f.late,
		LargeReply:   f.largeReply,
		Tried:        f.tried,
		ExcludeTried: f.redirecting && !freeRedirect(f.lastResult),
	}
	for _, p := range d.Routers {
		p.Router.Route(c, f.call, &query)
	}
	choice, refused := d.refusal(c, &query)
	if !refused {
		choice = d.Balancer.Choose(c, query)
	}
	if choice.Refused {
		d.finishUnsent(c, f, choice)
		return
	}
	if query.Root {
		f.call.RefusedPermille = choice.RefusedPermille
	}
	share := min(d.Retrier.Split(f.call, f.allowance.Remaining), f.allowance.Remaining)
	f.allowance.Remaining -= share
	number := waxwingseam.Attempt(len(f.attempts) + 1)
	d.armDeadline(c, f)
	patient := choice.Patient || f.rateRedirects == maxRateRedirects
	f.tried = append(f.tried, choice.Server.Name)
	f.attempts = append(f.attempts, attempt{
		number: number,
		server: choice.Server,
		share:  share,
		sent:   c.Now,

		patient:  patient,
		expected: choice.Expected,
	})
	call := f.call
	call.Allowance = share
	call.Repeated = f.repeated
	c.Emit(waxwingseam.Dispatch{Call: call, Attempt: number, Server: choice.Server, Known: choice.Known, Patient: patient})
}

// armDeadline arms the timer of the call's deadline unless it is armed.
func (d *dispatcher) armDeadline(c *waxwingseam.Context, f *flight) {
	if !f.deadlineArmed {
		f.deadlineArmed = true
		c.Emit(waxwingseam.ArmTimer{Timer: deadlineTimer(f.call.ID), At: f.call.Deadline})
	}
}

// refusal refuses a root whose class has next to no chance of success at present.
func (d *dispatcher) refusal(c *waxwingseam.Context, q *waxwingseam.Query) (choice waxwingseam.Choice, refused bool) {
	if !q.Root || d.chances.admits(c.Now, q.Class) {
		return choice, false
	}
	return waxwingseam.Choice{
		Refused:    true,
		Reason:     waxwingseam.ReasonOverloaded,
		Basis:      waxwingseam.BasisChance,
		RetryAfter: chanceRetryAfter + time.Duration(c.Random().Int64N(int64(chanceRetryAfter))),
	}, true
}

// chanceRetryAfter is the least time after which the caller of a root without a chance may
// retry; up to the same time is added at random, so that callers do not return together.
const chanceRetryAfter = time.Second

// finishUnsent finishes a call whose next attempt the balancer refuses. A call
// with earlier attempts ends with their last result, and a retry that was
// spent returns to the allowance.
func (d *dispatcher) finishUnsent(c *waxwingseam.Context, f *flight, choice waxwingseam.Choice) {
	result := waxwingseam.Result{Reason: choice.Reason, RetryAfter: choice.RetryAfter}
	if len(f.attempts) > 0 && f.lastResult.Reason != waxwingseam.ReasonServerSlow {
		if !f.redirecting {
			f.allowance.Remaining++
		}
		result = f.lastResult
		result.RetryAfter = max(result.RetryAfter, choice.RetryAfter)
	} else {
		f.call.RefusedPermille = choice.RefusedPermille
		f.refusal = &waxwingseam.Refusal{Call: f.call, Basis: choice.Basis, BasisAge: choice.BasisAge, Late: f.late}
	}
	d.finish(c, f, result)
}

// settle ends an attempt and reports its result to the balancer. The share of an
// attempt that did not run returns to the allowance.
func (d *dispatcher) settle(c *waxwingseam.Context, f *flight, a *attempt, state attemptState, result waxwingseam.Result) {
	a.state = state
	if state == attemptDidNotRun {
		f.allowance.Remaining += a.share
	}
	d.Balancer.Observe(c, waxwingseam.Feedback{
		Server:  a.server.Name,
		Class:   f.call.Class,
		Account: f.call.Account,
		Rank:    f.call.Rank,
		Depth:   f.call.Depth,
		Result:  result,
		Patient: a.patient,
		Elapsed: c.Now.Sub(a.sent),

		Expected: a.expected,
	})
}

// retryOrFinish redirects, retries or finishes a call after a settled attempt.
func (d *dispatcher) retryOrFinish(c *waxwingseam.Context, f *flight, a *attempt, result waxwingseam.Result) {
	if result.Reason != waxwingseam.ReasonRetryBudget || f.lastResult.Reason == waxwingseam.ReasonNone {
		// The result of an earlier attempt is more informative than the refusal
		// of its retry.
		f.lastResult = result
	}
	f.repeated = f.repeated || !backendNotReached(result)
	if d.shouldRedirect(c, f, a, result) {
		if !freeRedirect(result) {
			f.redirects++
		}
		f.redirecting = true
		d.send(c, f)
		return
	}
	f.redirecting = false
	if !d.retry(c, f, a, result) {
		d.finish(c, f, f.lastResult)
	}
}

// retry sends or schedules another attempt if that is allowed, and reports
// whether it did.
func (d *dispatcher) retry(c *waxwingseam.Context, f *flight, a *attempt, result waxwingseam.Result) bool {
	if !f.repeatable() || f.allowance.Remaining == 0 {
		return false
	}
	decision := d.Retrier.Decide(c, waxwingseam.RetryQuestion{
		Call:       f.call,
		Attempt:    a.number,
		Result:     result,
		Limit:      f.limit,
		Remaining:  f.allowance.Remaining,
		Replayable: f.replayable,
		Overloaded: d.Balancer.Overloaded(c, f.call.Service),
	})
	if !decision.Retry {
		return false
	}
	f.allowance.Spend()
	if decision.Delay <= 0 {
		d.send(c, f)
		return true
	}
	f.backingOff = true
	c.Emit(waxwingseam.ArmTimer{Timer: retryTimer(f.call.ID), At: c.Now.Add(decision.Delay)})
	return true
}

// shouldRedirect reports whether a call is sent to another server at once, without
// spending a retry, because its last attempt reached no backend server.
func (d *dispatcher) shouldRedirect(c *waxwingseam.Context, f *flight, a *attempt, result waxwingseam.Result) bool {
	if !f.replayable || !backendNotReached(result) {
		return false
	}
	if result.Reason == waxwingseam.ReasonServerSlow {
		// A node sends only first attempts back.
		return a.number == 1
	}
	if result.Reason == waxwingseam.ReasonRateLimited {
		return f.shouldRedirectRateLimited(a)
	}
	if f.redirects >= f.limit.Redirects {
		return false
	}
	didNotRun := f.outcome() == waxwingseam.OutcomeDidNotRun
	overBudget := result.Reason == waxwingseam.ReasonRetryBudget && f.repeatable()
	return (didNotRun || overBudget) && !d.Balancer.Overloaded(c, f.call.Service)
}

// maxRateRedirects bounds how often a call is sent to another server because of rate
// limits, in addition to the redirects of its retry limit. The last of these attempts
// may wait for the limit.
const maxRateRedirects = 2

// shouldRedirectRateLimited reports whether a call whose attempt a rate limit kept
// from one server is sent to another. A call that was allowed to wait for the limit is
// not.
func (f *flight) shouldRedirectRateLimited(a *attempt) bool {
	if a.patient || f.rateRedirects >= maxRateRedirects {
		return false
	}
	if f.outcome() != waxwingseam.OutcomeDidNotRun && !f.repeatable() {
		return false
	}
	f.rateRedirects++
	return true
}

// freeRedirect reports whether a further attempt counts neither as a redirect nor as a
// retry. It may go to the same server if no other one is left.
func freeRedirect(result waxwingseam.Result) bool {
	return result.Reason == waxwingseam.ReasonRateLimited || result.Reason == waxwingseam.ReasonServerSlow
}

// backendNotReached reports whether a result shows that a node refused a call, or
// could not be reached, before its backend server received any part of the call.
func backendNotReached(result waxwingseam.Result) bool {
	if result.Outcome != waxwingseam.OutcomeDidNotRun {
		return false
	}
	switch result.Reason {
	case waxwingseam.ReasonConnectionFailed, waxwingseam.ReasonDraining, waxwingseam.ReasonUnknownService,
		waxwingseam.ReasonIncarnation, waxwingseam.ReasonFenced, waxwingseam.ReasonOverloaded,
		waxwingseam.ReasonEvicted, waxwingseam.ReasonWaitLimit, waxwingseam.ReasonRetryBudget,
		waxwingseam.ReasonRateLimited, waxwingseam.ReasonEndsServer, waxwingseam.ReasonServerSlow:
		return true
	}
	return false
}

// refusedForCapacity reports whether a result shows that a call did not run
// for lack of capacity, or because its deadline passed first.
func refusedForCapacity(result waxwingseam.Result) bool {
	late := result.Reason == waxwingseam.ReasonDeadline
	return result.Outcome == waxwingseam.OutcomeDidNotRun && (late || result.Reason.IsOverload())
}

// finish ends a call and replies with the result, or with the last failure of
// a backend server if there is one and the call was not cancelled. Open
// attempts are cancelled; their shares of the allowance count as spent.
func (d *dispatcher) finish(c *waxwingseam.Context, f *flight, result waxwingseam.Result) {
	for n := range f.attempts {
		a := &f.attempts[n]
		if a.state != attemptOpen {
			continue
		}
		c.Emit(waxwingseam.CancelAttempt{ID: f.call.ID, Attempt: a.number})
		d.settle(c, f, a, attemptMayHaveRun, waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: result.Reason})
	}
	if f.failedAttempt > 0 && result.Reason != waxwingseam.ReasonCancelled {
		d.reply(c, f, f.failedResult, f.failedAttempt)
		return
	}
	result.Outcome = f.outcome()
	d.reply(c, f, result, waxwingseam.Attempt(len(f.attempts)))
}

// returnDivisor divides the time that a refused caller has left to give the longest time
// after which it is asked to return, so that enough is left for a run.
const returnDivisor = 3

// spreadDivisor divides that time to give the time over which returns are spread.
const spreadDivisor = 8

// boundRetryAfter bounds the time after which the caller of a root may retry by the time
// that it has left. Times that are cut off are spread, so that callers who were refused
// together do not return together.
func boundRetryAfter(c *waxwingseam.Context, f *flight, after time.Duration) time.Duration {
	if f.timeout <= 0 || !f.call.Parent.IsZero() {
		return after
	}
	longest := max(f.timeout-c.Now.Sub(f.arrived), 0) / returnDivisor
	if after <= longest {
		return after
	}
	return longest - time.Duration(c.Random().Int64N(int64(longest)/spreadDivisor+1))
}

// returnsAtFixedTime reports whether it is of no use to a refused caller to return before
// the stated time, however long it would wait.
func returnsAtFixedTime(r waxwingseam.Reason) bool {
	return r == waxwingseam.ReasonQuarantined || r == waxwingseam.ReasonAccountLimit
}

// reply sends the result of a call to its caller and removes the call.
func (d *dispatcher) reply(c *waxwingseam.Context, f *flight, result waxwingseam.Result, attempt waxwingseam.Attempt) {
	id := f.call.ID
	if result.RetryAfter > 0 && !returnsAtFixedTime(result.Reason) {
		result.RetryAfter = boundRetryAfter(c, f, result.RetryAfter)
	}
	if f.refusable && result.Succeeded() && !f.late {
		d.lateness.served(f.call.Class, c.Now.Sub(f.arrived))
	}
	d.settleAccount(c, f, result)
	if len(f.attempts) > 0 && f.refusable {
		d.chances.observe(c.Now, f.call.Class, result, d.Balancer.Refused(c, f.call.Service, f.call.Place()) > 0)
	}
	if f.deadlineArmed {
		c.Emit(waxwingseam.StopTimer{Timer: deadlineTimer(id)})
	}
	if f.backingOff {
		c.Emit(waxwingseam.StopTimer{Timer: retryTimer(id)})
	}
	answer := waxwingseam.Reply{
		ID:      id,
		Attempt: attempt,
		Result:  result,
		Refusal: f.refusal,
	}
	if f.call.Parent.IsZero() {
		answer.Account = f.call.Account
	}
	c.Emit(answer)
	if !f.call.Parent.IsZero() {
		if result.RefusedBelow || refusedForCapacity(result) {
			d.Tracker.NoteRefusal(f.call.Parent)
		}
		d.noteRefused(c, f, &result)
	}
	d.Tracker.AddCallsBelow(f.call.Parent, result.CallsBelow)
	d.Tracker.CloseChild(f.call.Parent, id)
	if key, ok := f.rootKey(); ok {
		d.keyAllowances.release(key, c.Now)
	}
	delete(d.flights, id)
}
