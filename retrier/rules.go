package retrier

import "waxwingseam.example/waxwingseam"

// The places of the default rules.
const (
	priorityReplay    = 100
	priorityAllowance = 200
	priorityReason    = 300
	priorityProof     = 400
	priorityOverload  = 500
	priorityBudget    = 600
	priorityWindow    = 700
)

// DefaultRules returns the rules of a retrier, but for its own budget.
func DefaultRules() []PrioritizedRule {
	return []PrioritizedRule{
		{priorityReplay, replayRule{}},
		{priorityAllowance, allowanceRule{}},
		{priorityReason, reasonRule{}},
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
	return q.Left == 0
}

// reasonRule forbids a retry where another attempt would fare no better.
type reasonRule struct{}

// Forbids implements Rule.
func (reasonRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	switch q.Result.Reason {
	case waxwingseam.ReasonDeadline, waxwingseam.ReasonCancelled, waxwingseam.ReasonBadRequest,
		waxwingseam.ReasonTooLarge, waxwingseam.ReasonKeyConflict, waxwingseam.ReasonUnknownService,
		waxwingseam.ReasonUnknownClass, waxwingseam.ReasonUnknownContext:
		return true
	}
	return false
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
