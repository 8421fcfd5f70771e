// Package receiver reduces the events of calls to the node's own backend
// server: it queues and runs calls and answers their attempts.
package receiver

import (
	"bytes"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/budgeter"
	"waxwingseam.example/waxwingseam/pacer"
	"waxwingseam.example/waxwingseam/predictor"
)

// Priority orders the receiver among the workers: before those that remove the
// children of an ended run.
const Priority = 100

const (
	// TimerAdmission fires when the next queued ticket expires.
	TimerAdmission waxwingseam.TimerPurpose = "receiver-admission"
	// TimerRecords fires when expired records are to be removed.
	TimerRecords waxwingseam.TimerPurpose = "receiver-records"
)

const (
	// recordExpiryInterval is the period at which expired records are removed.
	recordExpiryInterval = time.Second
	// minRetryAfter is the shortest time before a refused caller may retry.
	minRetryAfter = time.Second
)

// Config holds the components of a receiver.
type Config struct {
	Admitter     waxwingseam.Admitter
	Deduplicator waxwingseam.Deduplicator
	Drainer      waxwingseam.Drainer
	Tracker      waxwingseam.Tracker
	// Pacer is the admitter's; if nil, rate limits are not kept.
	Pacer waxwingseam.Pacer
	// Gate limits repeated calls; if nil, they are not limited.
	Gate waxwingseam.RetryGate
	// Quarantine names the requests that are not run; nil for none.
	Quarantine waxwingseam.Quarantine
}

type receiver struct {
	admitter     waxwingseam.Admitter
	deduplicator waxwingseam.Deduplicator
	drainer      waxwingseam.Drainer
	tracker      waxwingseam.Tracker
	gate         waxwingseam.RetryGate
	pacer        waxwingseam.Pacer
	quarantine   waxwingseam.Quarantine

	settings settings
	// statement is in force for the current incarnation of the backend server.
	statement statement
	// suspended is for how long the process had been suspended at the last event.
	suspended time.Duration
	// handOvers counts the runs handed to the backend server.
	handOvers    uint64
	rootRefusals rootRefusals
	// accountRefusals is used for roots of client accounts instead.
	accountRefusals accountRefusals
	workload        workload
	// services maps each other server that is not leaving to its service. otherServers
	// counts those of the node's service if othersKnown is set.
	services     map[waxwingseam.ServerName]waxwingseam.ServiceName
	otherServers int
	othersKnown  bool
	calls        map[waxwingseam.CallID]*call
	// owners maps a call that joined another call to that other call.
	owners map[waxwingseam.CallID]waxwingseam.CallID
	// parents maps a call that a run made to the call of that run.
	parents map[waxwingseam.CallID]*call
	// admissionDue is when the admission timer fires; zero while it is unarmed.
	admissionDue time.Time
	// recordsTimerArmed is set once the records timer is armed; it rearms itself.
	recordsTimerArmed bool
}

// call is a call that waits or runs, with the attempts that wait for its
// answer.
type call struct {
	header   waxwingseam.Call
	attempts []waiter
	running  bool
	// waited is the time spent in the queue.
	waited   time.Duration
	children childCalls
	// values are the attributes of the call that may predict its cost.
	values [predictor.AttributeCount]uint64
	work   callWork
}

// waiter identifies an attempt that is to be answered.
type waiter struct {
	id      waxwingseam.CallID
	attempt waxwingseam.Attempt
}

// New returns the worker of a receiving node.
func New(config Config) waxwingseam.Worker {
	if config.Gate == nil {
		config.Gate = budgeter.New(budgeter.Config{})
	}
	if config.Pacer == nil {
		config.Pacer = pacer.New()
	}
	return &receiver{
		admitter:     config.Admitter,
		deduplicator: config.Deduplicator,
		drainer:      config.Drainer,
		tracker:      config.Tracker,
		gate:         config.Gate,
		pacer:        config.Pacer,
		quarantine:   config.Quarantine,
		rootRefusals: rootRefusals{},
		workload:     newWorkload(),
		services:     map[waxwingseam.ServerName]waxwingseam.ServiceName{},
		calls:        map[waxwingseam.CallID]*call{},
		owners:       map[waxwingseam.CallID]waxwingseam.CallID{},
		parents:      map[waxwingseam.CallID]*call{},
	}
}

// Kinds implements waxwingseam.Worker.
func (r *receiver) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{
		waxwingseam.KindAttemptArrived,
		waxwingseam.KindAttemptCancelled,
		waxwingseam.KindRunEnded,
		waxwingseam.KindCallArrived,
		waxwingseam.KindAttemptEnded,
		waxwingseam.KindFenceAsked,
		waxwingseam.KindDrainAsked,
		waxwingseam.KindTimerFired,
		waxwingseam.KindSetAdopted,
		waxwingseam.KindBackendReported,
		waxwingseam.KindEndingsLearned,
		waxwingseam.KindBackendStated,
		waxwingseam.KindServersUpdated,
		waxwingseam.KindRetryHistoryLearned,
	}
}

// Reduce implements waxwingseam.Worker.
func (r *receiver) Reduce(c *waxwingseam.Context, e waxwingseam.Event) {
	r.noteSuspension(c)
	switch v := e.(type) {
	case waxwingseam.AttemptArrived:
		r.arrive(c, v)
	case waxwingseam.AttemptCancelled:
		r.cancel(c, waiter{v.ID, v.Attempt})
	case waxwingseam.RunEnded:
		r.finish(c, v)
	case waxwingseam.CallArrived:
		r.childArrived(c, v)
		return
	case waxwingseam.AttemptEnded:
		r.childEnded(c, v)
		return
	case waxwingseam.FenceAsked:
		r.fence(c, v)
	case waxwingseam.DrainAsked:
		r.drainer.Drain(c, v.Undo)
		r.refuseWaiting(c)
	case waxwingseam.BackendReported, waxwingseam.EndingsLearned:
		r.backendChanged(c)
	case waxwingseam.BackendStated:
		r.backendStated(c, v)
	case waxwingseam.TimerFired:
		r.fire(c, v.Timer)
	case waxwingseam.SetAdopted:
		r.adopt(c)
	case waxwingseam.ServersUpdated:
		r.gate.UpdateServers(c, v.Servers, v.Gone)
		r.updateServers(c, v)
		return
	case waxwingseam.RetryHistoryLearned:
		r.gate.Recover(c, v.History)
		return
	}
	r.armAdmissionTimer(c)
}

// arrive offers a new call to the admitter. An attempt of a recorded call joins
// that call or is answered from its record.
func (r *receiver) arrive(c *waxwingseam.Context, e waxwingseam.AttemptArrived) {
	w := waiter{e.Call.ID, e.Attempt}
	if e.Incarnation != 0 && e.Incarnation != c.Self.Incarnation {
		r.answer(c, w, mayHaveRun(waxwingseam.ReasonIncarnation))
		return
	}
	r.adoptKnown(c, e.Known)
	record := r.deduplicator.Arrive(c, e.Call)
	switch record.State {
	case waxwingseam.CallStateNew:
		r.offer(c, e)
	case waxwingseam.CallStateWaiting, waxwingseam.CallStateRunning:
		r.join(c, record.Owner, w)
	case waxwingseam.CallStateFinished:
		c.Emit(waxwingseam.JoinRun{ID: w.id, Attempt: w.attempt, Owner: record.Owner})
		result := record.Result
		result.RefusedPermille = waxwingseam.ShareUnknown
		r.answer(c, w, result)
	case waxwingseam.CallStateReplyDropped:
		r.answer(c, w, mayHaveRun(waxwingseam.ReasonNone))
	case waxwingseam.CallStateFenced:
		r.answer(c, w, didNotRun(waxwingseam.ReasonFenced))
	}
}

// offer refuses a new call that cannot run here, or passes it to the admitter.
func (r *receiver) offer(c *waxwingseam.Context, e waxwingseam.AttemptArrived) {
	w := waiter{e.Call.ID, e.Attempt}
	if result, refused := r.quarantined(c, e); refused {
		r.deduplicator.Refuse(c, e.Call.ID)
		r.answer(c, w, result)
		return
	}
	if reason := r.refusalReason(c, &e); reason != waxwingseam.ReasonNone {
		r.deduplicator.Refuse(c, e.Call.ID)
		r.answer(c, w, didNotRun(reason))
		return
	}
	r.calls[e.Call.ID] = &call{
		header:   e.Call,
		attempts: []waiter{w},
		values:   attributes(&e),
	}
	limit := r.settings.waitLimits[e.Call.Class]
	refusedInAll := e.Call.RefusedPermille
	if e.Call.Depth == 0 {
		refusedInAll = r.refusedInAll(&e.Call)
	}
	var delay time.Duration
	if !e.Received.IsZero() {
		delay = max(c.Now.Sub(e.Received), 0)
	}
	r.apply(c, r.admitter.Offer(c, waxwingseam.Ticket{
		ID:              e.Call.ID,
		Root:            e.Call.Root,
		Class:           e.Call.Class,
		Account:         e.Call.Account,
		Rank:            e.Call.Rank,
		Depth:           e.Call.Depth,
		Retried:         e.Attempt > 1,
		RefusedPermille: e.Call.RefusedPermille,
		RefusedInAll:    refusedInAll,
		Deadline:        e.Call.Deadline,
		Arrived:         c.Now,
		Delay:           delay,
		Patient:         e.Patient,
		MaxWait:         limit.Wait,
		MaxWaiting:      limit.Waiting,
	}))
}

// quarantined returns the refusal of a call whose request has ended the backend servers
// that ran it.
func (r *receiver) quarantined(c *waxwingseam.Context, e waxwingseam.AttemptArrived) (result waxwingseam.Result, refused bool) {
	if r.quarantine == nil || e.Fingerprint.Digest.IsZero() {
		return result, false
	}
	reason, retryAfter := r.quarantine.Check(c, e.Call.ID, e.Fingerprint)
	result = didNotRun(reason)
	result.RetryAfter = retryAfter
	return result, reason != waxwingseam.ReasonNone
}

// refusalReason returns why a new call is refused before it is offered to the
// admitter; ReasonNone if it is not.
func (r *receiver) refusalReason(c *waxwingseam.Context, e *waxwingseam.AttemptArrived) waxwingseam.Reason {
	header := &e.Call
	switch {
	case r.drainer.Leaving() || r.settings.drained:
		return waxwingseam.ReasonDraining
	case r.settings.slots == 0 || header.Service != c.Self.Service:
		return waxwingseam.ReasonUnknownService
	case !c.Now.Before(header.Deadline):
		return waxwingseam.ReasonDeadline
	case r.sendsBack(c, e):
		// Another node counts the call in its retry budget.
		return waxwingseam.ReasonServerSlow
	case !r.gate.Admit(c, *header):
		return waxwingseam.ReasonRetryBudget
	}
	return waxwingseam.ReasonNone
}

// join lets an attempt share the answer of a call that waits or runs. If the
// receiver does not know that call, the answer is that it may have run.
func (r *receiver) join(c *waxwingseam.Context, owner waxwingseam.CallID, w waiter) {
	live, ok := r.calls[owner]
	if !ok {
		r.answer(c, w, mayHaveRun(waxwingseam.ReasonNone))
		return
	}
	if !live.hasAttempt(w) {
		live.attempts = append(live.attempts, w)
	}
	if owner != w.id {
		r.owners[w.id] = owner
	}
	if live.running {
		c.Emit(waxwingseam.JoinRun{ID: w.id, Attempt: w.attempt, Owner: owner})
	}
}

// apply carries out the admitter's decisions.
func (r *receiver) apply(c *waxwingseam.Context, admissions []waxwingseam.Admission) {
	for _, v := range admissions {
		live, ok := r.calls[v.ID]
		if !ok {
			continue
		}
		switch v.Verdict {
		case waxwingseam.VerdictRun:
			live.waited = v.Waited
			r.start(c, live)
		case waxwingseam.VerdictRefuse:
			live.waited = v.Waited
			r.refuse(c, live, v.Reason)
		case waxwingseam.VerdictWait:
			r.workload.wait(live)
		}
	}
}

func (r *receiver) start(c *waxwingseam.Context, live *call) {
	live.running = true
	r.workload.start(c.Now, live)
	if live.header.Depth == 0 {
		r.observeRoot(c, &live.header, false)
		if live.header.Account != "" || r.rootRefusals.known(live.header.Class) {
			live.header.RefusedPermille = r.refusedInAll(&live.header)
		}
	}
	r.deduplicator.Start(c, live.header.ID)
	r.tracker.Begin(live.header)
	first := live.attempts[0]
	r.handOvers++
	c.Emit(waxwingseam.Run{
		Call:     live.header,
		Attempt:  first.attempt,
		Instance: c.Self.Instance,
		Backend:  c.Self.BackendIncarnation(),
		HandOver: r.handOvers,
	})
	for _, w := range live.attempts[1:] {
		c.Emit(waxwingseam.JoinRun{ID: w.id, Attempt: w.attempt, Owner: live.header.ID})
	}
}

// refuseWaiting refuses all queued calls once the server accepts no new work,
// so that their senders try other servers.
func (r *receiver) refuseWaiting(c *waxwingseam.Context) {
	if !r.drainer.Leaving() {
		return
	}
	var waiting []waxwingseam.CallID
	for id, live := range r.calls {
		if !live.running {
			waiting = append(waiting, id)
		}
	}
	slices.SortFunc(waiting, func(a, b waxwingseam.CallID) int { return bytes.Compare(a[:], b[:]) })
	for _, id := range waiting {
		r.admitter.Withdraw(id)
		r.refuse(c, r.calls[id], waxwingseam.ReasonDraining)
	}
}

// refuse removes a call that has not started and answers its attempts.
func (r *receiver) refuse(c *waxwingseam.Context, live *call, reason waxwingseam.Reason) {
	delete(r.calls, live.header.ID)
	r.workload.leave(live)
	if live.header.Depth == 0 && reason.IsOverload() {
		r.observeRoot(c, &live.header, true)
	}
	r.deduplicator.Refuse(c, live.header.ID)
	r.gate.Refund(c, live.header)
	result := didNotRun(reason)
	result.RetryAfter = r.retryAfter(c)
	result.Waited = live.waited
	result.Unspent = live.header.Allowance
	r.answerAll(c, live, result)
}

// cancel removes an attempt. The call is cancelled when no attempt is left.
func (r *receiver) cancel(c *waxwingseam.Context, w waiter) {
	id := w.id
	if owner, ok := r.owners[id]; ok {
		id = owner
	}
	live, ok := r.calls[id]
	if !ok || !live.removeAttempt(w) {
		return
	}
	r.cancelUnwanted(c, id, live)
}

// cancelUnwanted cancels a call that has no attempt left.
func (r *receiver) cancelUnwanted(c *waxwingseam.Context, id waxwingseam.CallID, live *call) {
	if len(live.attempts) > 0 {
		return
	}
	if live.running {
		c.Emit(waxwingseam.CancelRun{ID: id})
		return
	}
	r.admitter.Withdraw(id)
	r.deduplicator.Refuse(c, id)
	r.gate.Refund(c, live.header)
	r.workload.leave(live)
	delete(r.calls, id)
}

// finish answers all attempts of an ended run and starts the calls that the
// admitter admits in its place.
func (r *receiver) finish(c *waxwingseam.Context, e waxwingseam.RunEnded) {
	live, ok := r.calls[e.ID]
	if !ok {
		return
	}
	delete(r.calls, e.ID)
	result := e.Result
	result.Unspent = r.tracker.Unspent(e.ID)
	result.RefusedBelow = r.tracker.RefusedBelow(e.ID)
	result.CallsBelow = r.tracker.CallsBelow(e.ID)
	result.Reached = true
	if !r.deduplicator.Finish(c, e.ID, result) {
		c.Emit(waxwingseam.ForgetRun{ID: e.ID})
	}
	end := r.endChildren(c, live, e)
	end.RefusedBelow = r.refusedBelow(c, &live.header)
	result.Waited = live.waited + end.WaitedBelow
	r.workload.finish(c, live, e, end)
	r.gate.ObserveRun(c, e.Result.Reason == waxwingseam.ReasonServerRefused)
	admissions := r.admitter.Finish(c, end)
	r.answerAll(c, live, result)
	r.apply(c, admissions)
}

// cancelCall removes all attempts of a call.
func (r *receiver) cancelCall(c *waxwingseam.Context, id waxwingseam.CallID) {
	owner := id
	if joined, ok := r.owners[id]; ok {
		owner = joined
	}
	live, ok := r.calls[owner]
	if !ok {
		return
	}
	before := len(live.attempts)
	live.attempts = slices.DeleteFunc(live.attempts, func(w waiter) bool { return w.id == id })
	if len(live.attempts) < before {
		r.cancelUnwanted(c, owner, live)
	}
}

// fence prevents a call from starting if it has not started yet, and removes it
// from the queue. A call that has started is cancelled if nobody waits for it.
func (r *receiver) fence(c *waxwingseam.Context, e waxwingseam.FenceAsked) {
	started := r.deduplicator.Fence(c, e.ID, e.Until)
	live, ok := r.calls[e.ID]
	if ok && !live.running {
		r.admitter.Withdraw(e.ID)
		r.gate.Refund(c, live.header)
		r.workload.leave(live)
		delete(r.calls, e.ID)
		r.answerAll(c, live, didNotRun(waxwingseam.ReasonFenced))
	}
	if e.Cancel {
		r.cancelCall(c, e.ID)
	}
	c.Emit(waxwingseam.AnswerFence{
		ID:          e.ID,
		Started:     started,
		Incarnation: c.Self.Incarnation,
	})
}
