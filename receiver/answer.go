package receiver

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// answer ends one attempt, with the load as it is now.
func (r *receiver) answer(c *waxwingseam.Context, w waiter, result waxwingseam.Result) {
	result.Reached = true
	result.Load = r.admitter.Load()
	result.Load.Leaving = r.drainer.Leaving() || r.settings.drained
	result.Load.Revision = c.Set.Revision
	c.Emit(waxwingseam.AnswerAttempt{ID: w.id, Attempt: w.attempt, Result: result})
}

// answerAll ends all attempts of a call that is over.
func (r *receiver) answerAll(c *waxwingseam.Context, live *call, result waxwingseam.Result) {
	for _, w := range live.attempts {
		delete(r.owners, w.id)
		r.answer(c, w, result)
	}
}

// retryAfter is the time in which what waits now will have run, up to twice
// that at random, so that refused callers do not come back together.
func (r *receiver) retryAfter(c *waxwingseam.Context) time.Duration {
	load := r.admitter.Load()
	turns := time.Duration(1 + load.Waiting/max(load.Limit, 1))
	mean := max(turns*load.ServiceTime, minRetryAfter)
	return mean + time.Duration(c.Random().Int64N(int64(mean)))
}

func (v *call) has(w waiter) bool {
	return slices.Contains(v.attempts, w)
}

func (v *call) drop(w waiter) bool {
	i := slices.Index(v.attempts, w)
	if i < 0 {
		return false
	}
	v.attempts = slices.Delete(v.attempts, i, i+1)
	return true
}

func refused(reason waxwingseam.Reason) waxwingseam.Result {
	return waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: reason}
}

func unknown(reason waxwingseam.Reason) waxwingseam.Result {
	return waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: reason}
}
