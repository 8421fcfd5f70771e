package dispatcher

import "waxwingseam.example/waxwingseam"

// send sends the next attempt of a flight.
func (d *dispatcher) send(c *waxwingseam.Context, f *flight) {
	query := waxwingseam.Query{
		Service:      f.call.Service,
		Class:        f.call.Class,
		Rank:         f.call.Rank,
		Tried:        f.tried,
		ExcludeTried: f.redirecting,
	}
	for _, p := range d.Routers {
		p.Router.Route(c, f.call, &query)
	}
	choice := d.Balancer.Choose(c, query)
	if choice.Refused {
		d.unsent(c, f, choice)
		return
	}
	share := min(d.Retrier.Split(f.call, f.pot.Remaining), f.pot.Remaining)
	f.pot.Remaining -= share
	number := waxwingseam.Attempt(len(f.attempts) + 1)
	if number == 1 {
		c.Emit(waxwingseam.ArmTimer{Timer: deadlineTimer(f.call.ID), At: f.call.Deadline})
	}
	f.tried = append(f.tried, choice.Server.Name)
	f.attempts = append(f.attempts, attempt{
		number: number,
		server: choice.Server,
		share:  share,
		sent:   c.Now,
	})
	call := f.call
	call.Allowance = share
	call.Repeated = f.repeated
	c.Emit(waxwingseam.Dispatch{Call: call, Attempt: number, Server: choice.Server})
}

// unsent answers a call that finds no server. One that has been sent before
// keeps the reason of its last attempt and the retry that it did not use.
func (d *dispatcher) unsent(c *waxwingseam.Context, f *flight, choice waxwingseam.Choice) {
	result := waxwingseam.Result{Reason: choice.Reason, RetryAfter: choice.RetryAfter}
	if len(f.attempts) > 0 {
		if !f.redirecting {
			f.pot.Remaining++
		}
		result = f.last
		result.RetryAfter = max(result.RetryAfter, choice.RetryAfter)
	}
	d.finish(c, f, result)
}

// settle ends an attempt and tells the balancer.
func (d *dispatcher) settle(c *waxwingseam.Context, f *flight, a *attempt, p proof, result waxwingseam.Result) {
	a.proof = p
	if p == proofNotRun {
		f.pot.Remaining += a.share
	}
	d.Balancer.Observe(c, waxwingseam.Feedback{
		Server:  a.server.Name,
		Class:   f.call.Class,
		Rank:    f.call.Rank,
		Result:  result,
		Elapsed: c.Now.Sub(a.sent),
	})
}

// proceed follows a settled attempt with another one or with the answer.
func (d *dispatcher) proceed(c *waxwingseam.Context, f *flight, a *attempt, result waxwingseam.Result) {
	if result.Reason != waxwingseam.ReasonRetryBudget || f.last.Reason == waxwingseam.ReasonNone {
		// Why the attempt before failed tells more than that it can't be repeated.
		f.last = result
	}
	f.repeated = f.repeated || !notHandedOver(result)
	if d.redirects(c, f, result) {
		f.redirects++
		f.redirecting = true
		d.send(c, f)
		return
	}
	f.redirecting = false
	if !d.retry(c, f, a, result) {
		d.finish(c, f, f.last)
	}
}

// retry follows an ended attempt with another one where that is allowed, and
// reports whether it does.
func (d *dispatcher) retry(c *waxwingseam.Context, f *flight, a *attempt, result waxwingseam.Result) bool {
	if !f.repeatable() || f.pot.Remaining == 0 {
		return false
	}
	answer := d.Retrier.Decide(c, waxwingseam.RetryQuestion{
		Call:       f.call,
		Attempt:    a.number,
		Result:     result,
		Limit:      f.limit,
		Remaining:  f.pot.Remaining,
		Replayable: f.replayable,
		Overloaded: d.Balancer.Overloaded(c, f.call.Service),
	})
	if !answer.Retry {
		return false
	}
	f.pot.Spend()
	if answer.Delay <= 0 {
		d.send(c, f)
		return true
	}
	f.backingOff = true
	c.Emit(waxwingseam.ArmTimer{Timer: retryTimer(f.call.ID), At: c.Now.Add(answer.Delay)})
	return true
}

// redirects reports whether a call that no backend server was handed goes to
// another server at once, without a retry.
func (d *dispatcher) redirects(c *waxwingseam.Context, f *flight, result waxwingseam.Result) bool {
	if f.redirects >= f.limit.Redirects || !f.replayable || !notHandedOver(result) {
		return false
	}
	fresh := f.outcome() == waxwingseam.OutcomeDidNotRun
	overBudget := result.Reason == waxwingseam.ReasonRetryBudget && f.repeatable()
	return (fresh || overBudget) && !d.Balancer.Overloaded(c, f.call.Service)
}

// notHandedOver reports whether a result shows that a node refused a call, or
// could not be reached, before its backend server saw anything of it.
func notHandedOver(result waxwingseam.Result) bool {
	if result.Outcome != waxwingseam.OutcomeDidNotRun {
		return false
	}
	switch result.Reason {
	case waxwingseam.ReasonConnectionFailed, waxwingseam.ReasonDraining, waxwingseam.ReasonUnknownService,
		waxwingseam.ReasonIncarnation, waxwingseam.ReasonFenced, waxwingseam.ReasonOverloaded,
		waxwingseam.ReasonEvicted, waxwingseam.ReasonWaitLimit, waxwingseam.ReasonRetryBudget:
		return true
	}
	return false
}

// refusedForRoom reports whether a result shows that there was no room, or no
// room in time, for a call.
func refusedForRoom(result waxwingseam.Result) bool {
	late := result.Reason == waxwingseam.ReasonDeadline
	return result.Outcome == waxwingseam.OutcomeDidNotRun && (late || result.Reason.IsOverload())
}

// finish answers a call. Open attempts are cancelled; their shares of the
// allowance count as spent.
func (d *dispatcher) finish(c *waxwingseam.Context, f *flight, result waxwingseam.Result) {
	for n := range f.attempts {
		a := &f.attempts[n]
		if a.proof != proofOpen {
			continue
		}
		c.Emit(waxwingseam.CancelAttempt{ID: f.call.ID, Attempt: a.number})
		d.settle(c, f, a, proofNone, waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: result.Reason})
	}
	if f.failedBy > 0 && result.Reason != waxwingseam.ReasonCancelled {
		d.reply(c, f, f.failed, f.failedBy)
		return
	}
	result.Outcome = f.outcome()
	d.reply(c, f, result, waxwingseam.Attempt(len(f.attempts)))
}

// reply answers a call with an attempt's result and forgets it.
func (d *dispatcher) reply(c *waxwingseam.Context, f *flight, result waxwingseam.Result, by waxwingseam.Attempt) {
	id := f.call.ID
	if len(f.attempts) > 0 {
		c.Emit(waxwingseam.StopTimer{Timer: deadlineTimer(id)})
	}
	if f.backingOff {
		c.Emit(waxwingseam.StopTimer{Timer: retryTimer(id)})
	}
	c.Emit(waxwingseam.Reply{
		ID:      id,
		Attempt: by,
		Result:  result,
	})
	if !f.call.Parent.IsZero() && (result.RefusedBelow || refusedForRoom(result)) {
		d.Tracker.NoteRefusal(f.call.Parent)
	}
	d.Tracker.AddCallsBelow(f.call.Parent, result.CallsBelow)
	d.Tracker.CloseChild(f.call.Parent, id)
	if key, ok := f.rootKey(); ok {
		d.keys.close(key, c.Now)
	}
	delete(d.flights, id)
}
