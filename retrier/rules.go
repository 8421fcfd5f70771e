package retrier

import (
	"net/http"

	"waxwingseam.example/waxwingseam"
)

// The places of the default rules.
const (
	priorityReplay    = 100
	priorityAllowance = 200
	priorityReason    = 300
	priorityFailure   = 350
	priorityProof     = 400
	priorityOverload  = 500
	priorityBudget    = 600
)

// DefaultRules returns the rules of a retrier, but for its own budget.
func DefaultRules() []PrioritizedRule {
	return []PrioritizedRule{
		{priorityReplay, replayRule{}},
		{priorityAllowance, allowanceRule{}},
		{priorityReason, reasonRule{}},
		{priorityFailure, failureRule{}},
		{priorityProof, proofRule{}},
		{priorityOverload, overloadRule{}},
	}
}

// replayRule forbids a retry whose body cannot be sent again.
type replayRule struct{}

// Forbids implements Rule.
func (replayRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	return !q.Replayable
}

// allowanceRule forbids a retry that the root has no allowance for.
type allowanceRule struct{}

// Forbids implements Rule.
func (allowanceRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	return q.Remaining == 0
}

// reasonRule forbids a retry where another attempt would fare no better.
type reasonRule struct{}

// Forbids implements Rule.
func (reasonRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	switch q.Result.Reason {
	case waxwingseam.ReasonDeadline, waxwingseam.ReasonCancelled, waxwingseam.ReasonBadRequest,
		waxwingseam.ReasonTooLarge, waxwingseam.ReasonKeyConflict, waxwingseam.ReasonUnknownService,
		waxwingseam.ReasonUnknownClass, waxwingseam.ReasonUnknownContext, waxwingseam.ReasonRetryBudget:
		return true
	}
	return false
}

// failureRule forbids a retry of what a backend server answered itself, unless
// the limit lets failures be tried again. Load pattern: servers that fail a
// share of their requests while their health check is good. Where a call below
// was refused, another attempt would meet the same refusal; where the run made
// calls, another would make them all again.
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

// proofRule forbids a retry of a not-repeatable call that may have run.
type proofRule struct{}

// Forbids implements Rule.
func (proofRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	return q.Call.Repeat != waxwingseam.RepeatIdempotent && q.Result.Outcome != waxwingseam.OutcomeDidNotRun
}

// overloadRule forbids a retry while all servers of the service shed load.
type overloadRule struct{}

// Forbids implements Rule.
func (overloadRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	return q.Overloaded
}
