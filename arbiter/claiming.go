package arbiter

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// attemptKey identifies an attempt.
type attemptKey struct {
	id      waxwingseam.CallID
	attempt waxwingseam.Attempt
}

// waiter is an attempt that waits for a claim.
type waiter struct {
	call    waxwingseam.Call
	attempt waxwingseam.Attempt
}

// pending is a claim that has no quorum yet.
type pending struct {
	claim   waxwingseam.Claim
	view    waxwingseam.View
	quorum  int
	granted []waxwingseam.ServerIncarnation
	rounds  int
	waiters []waiter
}

// key identifies the waiting attempt.
func (w waiter) key() attemptKey {
	return attemptKey{w.call.ID, w.attempt}
}

// use counts the attempts that were let in under a claim.
type use struct {
	claim waxwingseam.Claim
	open  int
}

func keyOf(call waxwingseam.Call) waxwingseam.CallersKey {
	return waxwingseam.CallersKey{
		Class: call.Class,
		Key:   call.Key,
	}
}

// arrive decides on an attempt with a caller's key, or starts a claim for it.
func (a *arbiter) arrive(c *waxwingseam.Context, e waxwingseam.KeyedAttemptArrived) {
	w := waiter{e.Call, e.Attempt}
	key := keyOf(e.Call)
	if p, ok := a.pending[key]; ok {
		p.waiters = append(p.waiters, w)
		return
	}
	standing, taken := a.claims.holder(key)
	switch {
	case taken && standing.Holder.EqualIgnoringTerm(a.self(c)):
		a.admit(c, w, standing)
	case taken && e.Relayed:
		a.refuse(c, w, waxwingseam.ReasonKeyConflict)
	case taken:
		a.relay(c, w, standing)
	case e.Relayed:
		a.refuse(c, w, waxwingseam.ReasonKeyUnproven)
	default:
		a.claim(c, w)
	}
}

// claim starts a claim; while the node has no view, the attempt waits for one.
func (a *arbiter) claim(c *waxwingseam.Context, w waiter) {
	if a.leaving != nil {
		a.refuseUnrun(c, w, waxwingseam.ReasonDraining)
		return
	}
	if a.claims.full(keyOf(w.call)) {
		a.refuseUnrun(c, w, waxwingseam.ReasonOverloaded)
		return
	}
	p := &pending{
		claim: waxwingseam.Claim{
			Key:    keyOf(w.call),
			Holder: a.self(c),
			Call:   w.call.ID,
		},
		waiters: []waiter{w},
	}
	a.pending[p.claim.Key] = p
	c.Emit(waxwingseam.ArmTimer{
		Timer: waxwingseam.TimerID{Purpose: PurposeClaim, Call: w.call.ID},
		At:    c.Now.Add(a.patience()),
	})
	a.askForClaim(c, p)
}

// sortedPending returns the pending claims in the order of their calls.
func (a *arbiter) sortedPending() []*pending {
	return slices.SortedFunc(maps.Values(a.pending), func(p, o *pending) int {
		return bytes.Compare(p.claim.Call[:], o.claim.Call[:])
	})
}

// patience is longer while the node has still to find its view.
func (a *arbiter) patience() time.Duration {
	if a.ready {
		return claimPatience
	}
	return a.config.Settle + 2*roundPeriod
}

// askForClaim asks all members for their grant, the node itself included.
func (a *arbiter) askForClaim(c *waxwingseam.Context, p *pending) {
	if !a.ready {
		return
	}
	p.rounds++
	p.view = a.view.export()
	p.quorum = a.view.quorum()
	p.granted = p.granted[:0]
	standing := a.claims.record(c.Now, p.claim)
	if !standing.Holder.EqualIgnoringTerm(p.claim.Holder) || standing.Call != p.claim.Call {
		a.lostClaim(c, p, standing)
		return
	}
	a.grant(c, p, a.self(c))
	if _, open := a.pending[p.claim.Key]; open {
		a.askMembers(c, p.message())
	}
}

// claimAnswered counts a witness's answer to a claim.
func (a *arbiter) claimAnswered(c *waxwingseam.Context, e waxwingseam.WitnessAnswered) {
	if len(e.Message.Claims) != 1 {
		return
	}
	p, ok := a.pending[e.Message.Claims[0].Key]
	if !ok || p.claim.Call != e.Message.Call {
		return
	}
	if !slices.Equal(p.view.Members, e.Message.View.Members) {
		return
	}
	switch e.Answer.Verdict {
	case waxwingseam.WitnessGranted:
		a.grant(c, p, e.Answer.From)
	case waxwingseam.WitnessTaken:
		if len(e.Answer.Claims) == 1 {
			a.lostClaim(c, p, e.Answer.Claims[0])
		}
	case waxwingseam.WitnessStale:
		a.view.merge(e.Answer.View)
		a.claimAgain(c, p, e.To)
	}
}

// claimAgain goes on with a claim after two views were merged: from the start
// where this node's changed, else with the witness whose view did.
func (a *arbiter) claimAgain(c *waxwingseam.Context, p *pending, to waxwingseam.ServerName) {
	if p.rounds >= maxRounds {
		return
	}
	if !a.view.agrees(p.view) {
		a.askForClaim(c, p)
		return
	}
	p.rounds++
	if peer, ok := a.peers[to]; ok {
		a.ask(c, peer, p.message())
	}
}

// message is what asks a witness for the claim.
func (p *pending) message() waxwingseam.WitnessMessage {
	return waxwingseam.WitnessMessage{
		Request: waxwingseam.RequestClaim,
		Claims:  []waxwingseam.Claim{p.claim},
		Call:    p.claim.Call,
	}
}

// grant counts one grant; a quorum lets the waiting attempts in.
func (a *arbiter) grant(c *waxwingseam.Context, p *pending, from waxwingseam.ServerIncarnation) {
	if !slices.Contains(p.view.Members, from) || slices.Contains(p.granted, from) {
		return
	}
	p.granted = append(p.granted, from)
	if len(p.granted) < p.quorum {
		return
	}
	a.settle(c, p)
	for _, w := range p.waiters {
		a.admit(c, w, p.claim)
	}
}

// settle ends a pending claim.
func (a *arbiter) settle(c *waxwingseam.Context, p *pending) {
	delete(a.pending, p.claim.Key)
	c.Emit(waxwingseam.StopTimer{
		Timer: waxwingseam.TimerID{Purpose: PurposeClaim, Call: p.claim.Call},
	})
}

// lostClaim ends a claim on a key that another server holds.
func (a *arbiter) lostClaim(c *waxwingseam.Context, p *pending, standing waxwingseam.Claim) {
	a.settle(c, p)
	a.release(c, p.claim)
	for _, w := range p.waiters {
		a.relay(c, w, standing)
	}
}

// giveUp ends a claim that got no quorum in time: no witness can say that the
// key was not used before.
func (a *arbiter) giveUp(c *waxwingseam.Context, id waxwingseam.CallID) {
	for _, p := range a.pending {
		if p.claim.Call != id {
			continue
		}
		a.settle(c, p)
		a.release(c, p.claim)
		for _, w := range p.waiters {
			a.refuse(c, w, waxwingseam.ReasonKeyUnproven)
		}
		return
	}
}

// release takes a claim back under which nothing has run and nothing will.
func (a *arbiter) release(c *waxwingseam.Context, v waxwingseam.Claim) {
	a.claims.release(v)
	a.askMembers(c, waxwingseam.WitnessMessage{
		Request: waxwingseam.RequestRelease,
		Claims:  []waxwingseam.Claim{v},
		Call:    v.Call,
	})
}

// admit lets an attempt in under a claim that stands.
func (a *arbiter) admit(c *waxwingseam.Context, w waiter, standing waxwingseam.Claim) {
	u, ok := a.uses[standing.Key]
	if !ok {
		u = &use{claim: standing}
		a.uses[standing.Key] = u
	}
	if _, known := a.open[w.key()]; !known {
		a.open[w.key()] = u
		u.open++
	}
	c.Emit(waxwingseam.DecideKey{
		ID:      w.call.ID,
		Attempt: w.attempt,
		Verdict: waxwingseam.KeyAdmit,
	})
}

// relay passes an attempt on to the server that holds its key. The records
// show it as started, so that no fence calls it off here.
func (a *arbiter) relay(c *waxwingseam.Context, w waiter, standing waxwingseam.Claim) {
	holder, ok := a.peers[standing.Holder.Name]
	if !ok || !lifeOf(holder).EqualIgnoringTerm(standing.Holder) {
		a.refuse(c, w, waxwingseam.ReasonKeyConflict)
		return
	}
	if !a.divert(c, w.call) {
		a.refuseUnrun(c, w, waxwingseam.ReasonFenced)
		return
	}
	c.Emit(waxwingseam.DecideKey{
		ID:      w.call.ID,
		Attempt: w.attempt,
		Verdict: waxwingseam.KeyRelay,
		Holder:  holder,
	})
}

// divert records a call as started elsewhere; false when it is fenced.
func (a *arbiter) divert(c *waxwingseam.Context, call waxwingseam.Call) bool {
	call.Key = ""
	d := a.config.Deduplicator
	if d.Arrive(c, call).State == waxwingseam.CallStateFenced {
		return false
	}
	d.Start(c, call.ID)
	d.Finish(c, call.ID, waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun})
	return true
}

// refuse answers an attempt whose key may have been used before.
func (a *arbiter) refuse(c *waxwingseam.Context, w waiter, reason waxwingseam.Reason) {
	a.decide(c, w, waxwingseam.Result{
		Outcome: waxwingseam.OutcomeMayHaveRun,
		Reason:  reason,
	})
}

// refuseUnrun answers an attempt that did not run here, and keeps it from
// running later.
func (a *arbiter) refuseUnrun(c *waxwingseam.Context, w waiter, reason waxwingseam.Reason) {
	if a.config.Deduplicator.Fence(c, w.call.ID, w.call.Deadline) {
		a.refuse(c, w, reason)
		return
	}
	a.decide(c, w, waxwingseam.Result{
		Outcome: waxwingseam.OutcomeDidNotRun,
		Reason:  reason,
	})
}

func (a *arbiter) decide(c *waxwingseam.Context, w waiter, result waxwingseam.Result) {
	result.Reached = true
	result.Unspent = w.call.Allowance
	c.Emit(waxwingseam.DecideKey{
		ID:      w.call.ID,
		Attempt: w.attempt,
		Verdict: waxwingseam.KeyRefuse,
		Result:  result,
	})
}

// follow looks at what the receiver did with the attempts that were let in: a
// claim under which all were refused is released.
func (a *arbiter) follow(c *waxwingseam.Context) {
	if len(a.uses) == 0 {
		return
	}
	for _, e := range slices.Clone(c.Effects()) {
		switch v := e.(type) {
		case waxwingseam.Run:
			a.claims.markRan(keyOf(v.Call))
		case waxwingseam.AnswerAttempt:
			a.closeUse(c, attemptKey{v.ID, v.Attempt}, v.Result.Outcome != waxwingseam.OutcomeDidNotRun)
		}
	}
}

// closeUse ends the use of an attempt that was let in.
func (a *arbiter) closeUse(c *waxwingseam.Context, key attemptKey, ran bool) {
	u, ok := a.open[key]
	if !ok {
		return
	}
	delete(a.open, key)
	if ran {
		a.claims.markRan(u.claim.Key)
	}
	u.open--
	if u.open > 0 {
		return
	}
	delete(a.uses, u.claim.Key)
	if a.claims.unused(u.claim.Key) {
		a.release(c, u.claim)
	}
}
