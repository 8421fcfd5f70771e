package retrier

import (
	"net/http"

	"waxwingseam.example/waxwingseam"
)

// Priorities of the default rules and of the budget rule.
const (
	priorityReplay     = 100
	priorityAllowance  = 200
	priorityReason     = 300
	priorityFailure    = 350
	priorityMayHaveRun = 400
	priorityOverload   = 500
	priorityBudget     = 600
)

// DefaultRules returns the default rules of a retrier; the budget rule is not
// among them.
func DefaultRules() []PrioritizedRule {
	return []PrioritizedRule{
		{priorityReplay, replayRule{}},
		{priorityAllowance, allowanceRule{}},
		{priorityReason, reasonRule{}},
		{priorityFailure, failureRule{}},
		{priorityMayHaveRun, mayHaveRunRule{}},
		{priorityOverload, overloadRule{}},
	}
}

// replayRule forbids a retry if the body cannot be sent again or a part of an
// answer has been sent to the caller.
type replayRule struct{}

// Forbids implements Rule.
func (replayRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	return !q.Replayable
}

// allowanceRule forbids a retry if no allowance remains.
type allowanceRule struct{}

// Forbids implements Rule.
func (allowanceRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	return q.Remaining == 0
}

// reasonRule forbids a retry for a reason that would also end another attempt.
type reasonRule struct{}

// Forbids implements Rule.
func (reasonRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	switch q.Result.Reason {
	case waxwingseam.ReasonDeadline, waxwingseam.ReasonCancelled, waxwingseam.ReasonBadRequest,
		waxwingseam.ReasonTooLarge, waxwingseam.ReasonKeyConflict, waxwingseam.ReasonUnknownService,
		waxwingseam.ReasonUnknownClass, waxwingseam.ReasonUnknownContext, waxwingseam.ReasonRetryBudget,
		waxwingseam.ReasonQuarantined:
		return true
	}
	return false
}

// failureRule forbids a retry after a reply of the backend server, unless the
// limit allows retries of failures and the status is 500, 502 or 503. Such
// retries help against servers that fail a share of their requests while their
// health check succeeds. If a call below was refused, another attempt would be
// refused as well; if the run made calls, another attempt would repeat all of
// them.
type failureRule struct{}

// Forbids implements Rule.
func (failureRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	if !q.Result.Completed() {
		return false
	}
	if !q.Limit.Failures || q.Result.RefusedBelow || q.Result.CallsBelow > 0 {
		return true
	}
	switch q.Result.Status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable:
		return false
	}
	return true
}

// mayHaveRunRule forbids a retry of a call that is not idempotent and may have
// run.
type mayHaveRunRule struct{}

// Forbids implements Rule.
func (mayHaveRunRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	return q.Call.Repeat != waxwingseam.RepeatIdempotent && q.Result.Outcome != waxwingseam.OutcomeDidNotRun
}

// overloadRule forbids a retry while all servers of the service shed load.
type overloadRule struct{}

// Forbids implements Rule.
func (overloadRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	return q.Overloaded
}
