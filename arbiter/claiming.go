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

// pendingClaim is a claim that has no quorum yet.
type pendingClaim struct {
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

// claimUse counts the open attempts that were admitted under a claim.
type claimUse struct {
	claim        waxwingseam.Claim
	openAttempts int
}

func keyOf(call waxwingseam.Call) waxwingseam.CallersKey {
	return waxwingseam.CallersKey{
		Class: call.Class,
		Key:   call.Key,
	}
}

// keyedAttemptArrived decides on an attempt with a caller's key, or makes it wait
// for a pending or a new claim.
func (a *arbiter) keyedAttemptArrived(c *waxwingseam.Context, e waxwingseam.KeyedAttemptArrived) {
	w := waiter{e.Call, e.Attempt}
	key := keyOf(e.Call)
	if p, ok := a.pending[key]; ok {
		p.waiters = append(p.waiters, w)
		return
	}
	recorded, taken := a.claims.lookup(key)
	switch {
	case taken && recorded.Holder.EqualIgnoringTerm(a.self(c)):
		a.admit(c, w, recorded)
	case taken && e.Relayed:
		a.refuseMayHaveRun(c, w, waxwingseam.ReasonKeyConflict)
	case taken:
		a.relay(c, w, recorded)
	case e.Relayed:
		a.refuseMayHaveRun(c, w, waxwingseam.ReasonKeyUnproven)
	default:
		a.claim(c, w)
	}
}

// claim starts a claim for an attempt. The claim is requested once the node is a
// witness.
func (a *arbiter) claim(c *waxwingseam.Context, w waiter) {
	if a.leaving != nil {
		a.refuseDidNotRun(c, w, waxwingseam.ReasonDraining)
		return
	}
	if a.claims.full(keyOf(w.call)) {
		a.refuseDidNotRun(c, w, waxwingseam.ReasonOverloaded)
		return
	}
	p := &pendingClaim{
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
		At:    c.Now.Add(a.claimTimeout()),
	})
	a.requestGrants(c, p)
}

// sortedPending returns the pending claims in the order of their call IDs.
func (a *arbiter) sortedPending() []*pendingClaim {
	return slices.SortedFunc(maps.Values(a.pending), func(p, o *pendingClaim) int {
		return bytes.Compare(p.claim.Call[:], o.claim.Call[:])
	})
}

// claimTimeout returns the time that a claim may take. It is longer until the
// node is a witness.
func (a *arbiter) claimTimeout() time.Duration {
	if a.ready {
		return readyClaimTimeout
	}
	return a.config.FoundingDelay + 2*roundPeriod
}

// requestGrants asks all members, including the node itself, to grant a claim.
// It does nothing until the node is a witness.
func (a *arbiter) requestGrants(c *waxwingseam.Context, p *pendingClaim) {
	if !a.ready {
		return
	}
	p.rounds++
	p.view = a.view.export()
	p.quorum = a.view.quorum()
	p.granted = p.granted[:0]
	recorded := a.claims.record(c.Now, p.claim)
	if !recorded.Holder.EqualIgnoringTerm(p.claim.Holder) || recorded.Call != p.claim.Call {
		a.claimTaken(c, p, recorded)
		return
	}
	a.grant(c, p, a.self(c))
	if _, open := a.pending[p.claim.Key]; open {
		a.askMembers(c, p.message())
	}
}

// claimAnswered handles a witness's answer to a claim.
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
			a.claimTaken(c, p, e.Answer.Claims[0])
		}
	case waxwingseam.WitnessStale:
		a.view.merge(e.Answer.View)
		a.retryClaim(c, p, e.To)
	}
}

// retryClaim requests a claim again after a witness reported a different view,
// which this node has merged. It asks all members if the merge changed this node's
// view, and otherwise only that witness, which has merged this node's view.
func (a *arbiter) retryClaim(c *waxwingseam.Context, p *pendingClaim, to waxwingseam.ServerName) {
	if p.rounds >= maxClaimRounds {
		return
	}
	if !a.view.hasSameMembers(p.view) {
		a.requestGrants(c, p)
		return
	}
	p.rounds++
	if peer, ok := a.peers[to]; ok {
		a.ask(c, peer, p.message())
	}
}

// message returns the message that requests the claim from a witness.
func (p *pendingClaim) message() waxwingseam.WitnessMessage {
	return waxwingseam.WitnessMessage{
		Request: waxwingseam.RequestClaim,
		Claims:  []waxwingseam.Claim{p.claim},
		Call:    p.claim.Call,
	}
}

// grant counts the grant of a member. A quorum of grants admits the waiting
// attempts.
func (a *arbiter) grant(c *waxwingseam.Context, p *pendingClaim, from waxwingseam.ServerIncarnation) {
	if !slices.Contains(p.view.Members, from) || slices.Contains(p.granted, from) {
		return
	}
	p.granted = append(p.granted, from)
	if len(p.granted) < p.quorum {
		return
	}
	a.endClaim(c, p)
	for _, w := range p.waiters {
		a.admit(c, w, p.claim)
	}
}

// endClaim removes a pending claim and stops its timer.
func (a *arbiter) endClaim(c *waxwingseam.Context, p *pendingClaim) {
	delete(a.pending, p.claim.Key)
	c.Emit(waxwingseam.StopTimer{
		Timer: waxwingseam.TimerID{Purpose: PurposeClaim, Call: p.claim.Call},
	})
}

// claimTaken ends a claim on a key that has another recorded claim, and relays
// the waiting attempts to its holder.
func (a *arbiter) claimTaken(c *waxwingseam.Context, p *pendingClaim, recorded waxwingseam.Claim) {
	a.endClaim(c, p)
	a.release(c, p.claim)
	for _, w := range p.waiters {
		a.relay(c, w, recorded)
	}
}

// claimTimedOut ends a claim that got no quorum in time. The waiting attempts
// are refused as may-have-run, because nothing proves that the key is new.
func (a *arbiter) claimTimedOut(c *waxwingseam.Context, id waxwingseam.CallID) {
	for _, p := range a.pending {
		if p.claim.Call != id {
			continue
		}
		a.endClaim(c, p)
		a.release(c, p.claim)
		for _, w := range p.waiters {
			a.refuseMayHaveRun(c, w, waxwingseam.ReasonKeyUnproven)
		}
		return
	}
}

// release withdraws a claim under which nothing has run or will run, on this node
// and on the other members.
func (a *arbiter) release(c *waxwingseam.Context, v waxwingseam.Claim) {
	a.claims.release(v)
	a.askMembers(c, waxwingseam.WitnessMessage{
		Request: waxwingseam.RequestRelease,
		Claims:  []waxwingseam.Claim{v},
		Call:    v.Call,
	})
}

// admit admits an attempt under a recorded claim.
func (a *arbiter) admit(c *waxwingseam.Context, w waiter, recorded waxwingseam.Claim) {
	u, ok := a.uses[recorded.Key]
	if !ok {
		u = &claimUse{claim: recorded}
		a.uses[recorded.Key] = u
	}
	if _, known := a.usesByAttempt[w.key()]; !known {
		a.usesByAttempt[w.key()] = u
		u.openAttempts++
	}
	c.Emit(waxwingseam.DecideKey{
		ID:      w.call.ID,
		Attempt: w.attempt,
		Verdict: waxwingseam.KeyAdmit,
	})
}

// relay forwards an attempt to the server that holds its key. The call is recorded
// as started on this node, so that a fence here can't report that it did not run.
func (a *arbiter) relay(c *waxwingseam.Context, w waiter, recorded waxwingseam.Claim) {
	holder, ok := a.peers[recorded.Holder.Name]
	if !ok || !incarnationOf(holder).EqualIgnoringTerm(recorded.Holder) {
		a.refuseMayHaveRun(c, w, waxwingseam.ReasonKeyConflict)
		return
	}
	if !a.recordStartedElsewhere(c, w.call) {
		a.refuseDidNotRun(c, w, waxwingseam.ReasonFenced)
		return
	}
	c.Emit(waxwingseam.DecideKey{
		ID:      w.call.ID,
		Attempt: w.attempt,
		Verdict: waxwingseam.KeyRelay,
		Holder:  holder,
	})
}

// recordStartedElsewhere records that a call has started at another server, unless
// the call is fenced, and reports whether it did so.
func (a *arbiter) recordStartedElsewhere(c *waxwingseam.Context, call waxwingseam.Call) bool {
	call.Key = ""
	d := a.config.Deduplicator
	if d.Arrive(c, call).State == waxwingseam.CallStateFenced {
		return false
	}
	d.Start(c, call.ID)
	d.Finish(c, call.ID, waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun})
	return true
}

// refuseMayHaveRun refuses an attempt whose key may have been used before.
func (a *arbiter) refuseMayHaveRun(c *waxwingseam.Context, w waiter, reason waxwingseam.Reason) {
	a.emitRefusal(c, w, waxwingseam.Result{
		Outcome: waxwingseam.OutcomeMayHaveRun,
		Reason:  reason,
	})
}

// refuseDidNotRun refuses an attempt and fences its call, so that the call does not
// run here later. A call that has started is refused as may-have-run instead.
func (a *arbiter) refuseDidNotRun(c *waxwingseam.Context, w waiter, reason waxwingseam.Reason) {
	if a.config.Deduplicator.Fence(c, w.call.ID, w.call.Deadline) {
		a.refuseMayHaveRun(c, w, reason)
		return
	}
	a.emitRefusal(c, w, waxwingseam.Result{
		Outcome: waxwingseam.OutcomeDidNotRun,
		Reason:  reason,
	})
}

func (a *arbiter) emitRefusal(c *waxwingseam.Context, w waiter, result waxwingseam.Result) {
	result.Reached = true
	result.Unspent = w.call.Allowance
	c.Emit(waxwingseam.DecideKey{
		ID:      w.call.ID,
		Attempt: w.attempt,
		Verdict: waxwingseam.KeyRefuse,
		Result:  result,
	})
}

// observeEffects updates the claims from the receiver's effects. A claim under
// which all attempts were refused is released.
func (a *arbiter) observeEffects(c *waxwingseam.Context) {
	if len(a.uses) == 0 {
		return
	}
	for _, e := range slices.Clone(c.Effects()) {
		switch v := e.(type) {
		case waxwingseam.Run:
			a.claims.markRan(keyOf(v.Call))
		case waxwingseam.AnswerAttempt:
			a.endAttempt(c, attemptKey{v.ID, v.Attempt}, v.Result.Outcome != waxwingseam.OutcomeDidNotRun)
		}
	}
}

// endAttempt ends an admitted attempt. The claim is released when it has no
// open attempt left and nothing ran under it.
func (a *arbiter) endAttempt(c *waxwingseam.Context, key attemptKey, mayHaveRun bool) {
	u, ok := a.usesByAttempt[key]
	if !ok {
		return
	}
	delete(a.usesByAttempt, key)
	if mayHaveRun {
		a.claims.markRan(u.claim.Key)
	}
	u.openAttempts--
	if u.openAttempts > 0 {
		return
	}
	delete(a.uses, u.claim.Key)
	if a.claims.unused(u.claim.Key) {
		a.release(c, u.claim)
	}
}
