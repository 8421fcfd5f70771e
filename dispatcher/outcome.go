package dispatcher

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// clockSkew bounds how far the clocks of two hosts differ.
const clockSkew = 2 * time.Second

// keepFromRetry marks a call that can't be sent again as a whole.
func (d *dispatcher) keepFromRetry(id waxwingseam.CallID) {
	if f, ok := d.flights[id]; ok {
		f.replayable = false
	}
}

// find returns an open attempt with its flight; nil without one.
func (d *dispatcher) find(id waxwingseam.CallID, number waxwingseam.Attempt) (*flight, *attempt) {
	f, ok := d.flights[id]
	if !ok {
		return nil, nil
	}
	return f, f.open(number)
}

// attemptEnded takes in the end of an attempt, or of one taken up again.
func (d *dispatcher) attemptEnded(c *waxwingseam.Context, e waxwingseam.AttemptEnded) {
	f, a := d.find(e.ID, e.Attempt)
	if a == nil {
		return
	}
	result := e.Result
	switch {
	case result.Completed():
		d.complete(c, f, a, result)
	case a.provesNotRun(result):
		result.Outcome = waxwingseam.OutcomeDidNotRun
		d.settle(c, f, a, proofNotRun, result)
		d.proceed(c, f, a, result)
	default:
		d.doubt(c, f, a, result)
	}
}

// provesNotRun reports whether a result proves that the attempt did not run.
// Once it has been taken up again, a connection that failed says nothing of the
// first one. A node that is in another life than the one meant has refused the
// attempt, and that of the first connection reached no other.
func (a *attempt) provesNotRun(result waxwingseam.Result) bool {
	first := a.resumes == 0
	if result.Reached && result.Reason == waxwingseam.ReasonIncarnation {
		return first
	}
	return result.Outcome == waxwingseam.OutcomeDidNotRun && (result.Reached || first)
}

func (d *dispatcher) complete(c *waxwingseam.Context, f *flight, a *attempt, result waxwingseam.Result) {
	f.pot.Remaining += min(result.Unspent, a.share)
	d.Retrier.ObserveReply(f.call, result, f.limit)
	d.settle(c, f, a, proofNone, result)
	if result.Failed() {
		f.failed, f.failedBy = result, a.number
		f.repeated = true
		if d.retry(c, f, a, result) {
			return
		}
	}
	d.reply(c, f, result, a.number)
}

// doubt handles an attempt that may have run: it is taken up again where the
// node did not answer, and fenced where that may prove that it did not run.
func (d *dispatcher) doubt(c *waxwingseam.Context, f *flight, a *attempt, result waxwingseam.Result) {
	switch {
	case !result.Reached && a.resumes == 0:
		d.resume(c, f, a)
	case a.resumes > 0 && !a.fenced:
		d.fence(c, f, a)
	default:
		d.giveUp(c, f, a, result)
	}
}

// giveUp settles an attempt that may have run.
func (d *dispatcher) giveUp(c *waxwingseam.Context, f *flight, a *attempt, result waxwingseam.Result) {
	f.pot.Remaining += min(result.Unspent, a.share)
	result.Outcome = waxwingseam.OutcomeMayHaveRun
	d.settle(c, f, a, proofNone, result)
	d.proceed(c, f, a, result)
}

func (d *dispatcher) resume(c *waxwingseam.Context, f *flight, a *attempt) {
	a.resumes++
	c.Emit(waxwingseam.Resume{ID: f.call.ID, Attempt: a.number, Server: a.server})
}

func (d *dispatcher) fence(c *waxwingseam.Context, f *flight, a *attempt) {
	a.fenced = true
	c.Emit(waxwingseam.Fence{
		ID:      f.call.ID,
		Attempt: a.number,
		Server:  a.server,
		Until:   f.call.Deadline.Add(clockSkew),
	})
}

// attemptSilent leaves a connection that makes no progress.
func (d *dispatcher) attemptSilent(c *waxwingseam.Context, e waxwingseam.AttemptSilent) {
	f, a := d.find(e.ID, e.Attempt)
	if a == nil {
		return
	}
	d.doubt(c, f, a, waxwingseam.Result{
		Outcome: waxwingseam.OutcomeMayHaveRun,
		Reason:  waxwingseam.ReasonConnectionSilent,
	})
}

// fenceAnswered takes in a fence: only the same life of the node can prove
// that the attempt never starts.
func (d *dispatcher) fenceAnswered(c *waxwingseam.Context, e waxwingseam.FenceAnswered) {
	f, a := d.find(e.ID, e.Attempt)
	if a == nil || !a.fenced {
		return
	}
	sameLife := e.Reached && e.Incarnation == a.server.Incarnation
	switch {
	case sameLife && !e.Started:
		result := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonFenced}
		d.settle(c, f, a, proofNotRun, result)
		d.proceed(c, f, a, result)
	case sameLife && a.resumes < maxResumes:
		d.resume(c, f, a)
	default:
		d.giveUp(c, f, a, waxwingseam.Result{Reason: waxwingseam.ReasonConnectionFailed})
	}
}
