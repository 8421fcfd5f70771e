package dispatcher

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// clockSkew is the largest assumed difference between the clocks of two hosts.
const clockSkew = 2 * time.Second

// markNotReplayable marks a call as one that can't be sent again, because its
// body was consumed or a part of the reply was forwarded.
func (d *dispatcher) markNotReplayable(id waxwingseam.CallID) {
	if f, ok := d.flights[id]; ok {
		f.replayable = false
	}
}

// findOpenAttempt returns the flight of a call and its attempt with a number.
// The attempt is nil if it is unknown or has ended.
func (d *dispatcher) findOpenAttempt(id waxwingseam.CallID, number waxwingseam.Attempt) (*flight, *attempt) {
	f, ok := d.flights[id]
	if !ok {
		return nil, nil
	}
	return f, f.openAttempt(number)
}

// attemptEnded handles the result with which a connection of an attempt ended.
// The attempt stays open if it is resumed or fenced.
func (d *dispatcher) attemptEnded(c *waxwingseam.Context, e waxwingseam.AttemptEnded) {
	f, a := d.findOpenAttempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	result := e.Result
	switch {
	case result.Completed():
		d.attemptCompleted(c, f, a, result)
	case a.provesNotRun(result):
		result.Outcome = waxwingseam.OutcomeDidNotRun
		d.settle(c, f, a, attemptDidNotRun, result)
		d.retryOrFinish(c, f, a, result)
	default:
		d.resumeOrFence(c, f, a, result)
	}
}

// provesNotRun reports whether a result proves that the attempt did not run. A
// refusal by another incarnation of the node proves it only without a resume:
// the first connection may have reached the incarnation that was addressed.
// After a resume, a failed connection proves nothing about the first one.
func (a *attempt) provesNotRun(result waxwingseam.Result) bool {
	first := a.resumes == 0
	if result.Reached && result.Reason == waxwingseam.ReasonIncarnation {
		return first
	}
	return result.Outcome == waxwingseam.OutcomeDidNotRun && (result.Reached || first)
}

func (d *dispatcher) attemptCompleted(c *waxwingseam.Context, f *flight, a *attempt, result waxwingseam.Result) {
	f.allowance.Remaining += min(result.Unspent, a.share)
	d.Retrier.ObserveReply(f.call, result, f.limit)
	d.settle(c, f, a, attemptMayHaveRun, result)
	if result.Failed() {
		f.failedResult, f.failedAttempt = result, a.number
		f.repeated = true
		if d.retry(c, f, a, result) {
			return
		}
	}
	d.reply(c, f, result, a.number)
}

// resumeOrFence handles an attempt that may have run. It resumes the attempt
// once, if the node did not answer. It fences a resumed attempt once, because
// the answer can prove that the attempt did not run. Otherwise it settles the
// attempt.
func (d *dispatcher) resumeOrFence(c *waxwingseam.Context, f *flight, a *attempt, result waxwingseam.Result) {
	switch {
	case !result.Reached && a.resumes == 0:
		d.resume(c, f, a)
	case a.resumes > 0 && !a.fenceSent:
		d.fence(c, f, a)
	default:
		d.settleUnproven(c, f, a, result)
	}
}

// settleUnproven settles an attempt as may-have-run.
func (d *dispatcher) settleUnproven(c *waxwingseam.Context, f *flight, a *attempt, result waxwingseam.Result) {
	f.allowance.Remaining += min(result.Unspent, a.share)
	result.Outcome = waxwingseam.OutcomeMayHaveRun
	d.settle(c, f, a, attemptMayHaveRun, result)
	d.retryOrFinish(c, f, a, result)
}

func (d *dispatcher) resume(c *waxwingseam.Context, f *flight, a *attempt) {
	a.resumes++
	c.Emit(waxwingseam.Resume{ID: f.call.ID, Attempt: a.number, Server: a.server})
}

func (d *dispatcher) fence(c *waxwingseam.Context, f *flight, a *attempt) {
	a.fenceSent = true
	c.Emit(waxwingseam.Fence{
		ID:      f.call.ID,
		Attempt: a.number,
		Server:  a.server,
		Until:   f.call.Deadline.Add(clockSkew),
	})
}

// attemptSilent handles an attempt whose connection makes no progress.
func (d *dispatcher) attemptSilent(c *waxwingseam.Context, e waxwingseam.AttemptSilent) {
	f, a := d.findOpenAttempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	d.resumeOrFence(c, f, a, waxwingseam.Result{
		Outcome: waxwingseam.OutcomeMayHaveRun,
		Reason:  waxwingseam.ReasonConnectionSilent,
	})
}

// fenceAnswered handles the answer to a fence. Only the incarnation of the node
// that the attempt was sent to can prove that the attempt never starts.
func (d *dispatcher) fenceAnswered(c *waxwingseam.Context, e waxwingseam.FenceAnswered) {
	f, a := d.findOpenAttempt(e.ID, e.Attempt)
	if a == nil || !a.fenceSent {
		return
	}
	sameIncarnation := e.Reached && e.Incarnation == a.server.Incarnation
	switch {
	case sameIncarnation && !e.Started:
		result := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonFenced}
		d.settle(c, f, a, attemptDidNotRun, result)
		d.retryOrFinish(c, f, a, result)
	case sameIncarnation && a.resumes < maxResumes:
		d.resume(c, f, a)
	default:
		d.settleUnproven(c, f, a, waxwingseam.Result{Reason: waxwingseam.ReasonConnectionFailed})
	}
}
