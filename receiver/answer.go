package receiver

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// startingDelay is how long senders leave a server out whose node has just started and waits
// for its report. They would leave out a server that is said to be leaving until control
// announces it again, which may be out of reach.
const startingDelay = 300 * time.Millisecond

// answer answers one attempt and reports the current load with it.
func (r *receiver) answer(c *waxwingseam.Context, w waiter, result waxwingseam.Result) {
	result.Reached = true
	result.Load = r.admitter.Load()
	result.Load.Leaving = r.drainer.Leaving() || r.settings.drained
	if r.drainer.Starting() && !r.settings.drained {
		result.Load.Leaving = false
		result.Load.RateDelay = max(result.Load.RateDelay, startingDelay)
	}
	r.workload.report(c.Now, &result.Load)
	result.Load.Revision = c.Set.Revision
	result.Load.Statement = r.knownStatement(c)
	c.Emit(waxwingseam.AnswerAttempt{ID: w.id, Attempt: w.attempt, Result: result})
}

// answerAll answers all attempts of a call that has ended.
func (r *receiver) answerAll(c *waxwingseam.Context, live *call, result waxwingseam.Result) {
	own, below, accounts := r.statedShares(c, &live.header)
	result.Accounts = accounts
	switch {
	case own != waxwingseam.ShareUnknown:
		result.RefusedPermille = max(own, below)
	case below > 0:
		result.RefusedPermille = below
	default:
		result.RefusedPermille = waxwingseam.ShareUnknown
	}
	for _, w := range live.attempts {
		delete(r.owners, w.id)
		r.answer(c, w, result)
	}
}

// retryAfter returns the estimated time to run the queued calls, or to hand them over
// within the rate limit if that takes longer, plus a random
// part of up to the same length so that refused callers do not retry all at
// once.
func (r *receiver) retryAfter(c *waxwingseam.Context) time.Duration {
	load := r.admitter.Load()
	turns := time.Duration(1 + load.Waiting/max(load.Limit, 1))
	mean := max(turns*load.ServiceTime, load.RateDelay, minRetryAfter)
	return mean + time.Duration(c.Random().Int64N(int64(mean)))
}

func (v *call) hasAttempt(w waiter) bool {
	return slices.Contains(v.attempts, w)
}

func (v *call) removeAttempt(w waiter) bool {
	i := slices.Index(v.attempts, w)
	if i < 0 {
		return false
	}
	v.attempts = slices.Delete(v.attempts, i, i+1)
	return true
}

func didNotRun(reason waxwingseam.Reason) waxwingseam.Result {
	return waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: reason}
}

func mayHaveRun(reason waxwingseam.Reason) waxwingseam.Result {
	return waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: reason}
}
