package retrier

import "waxwingseam.example/waxwingseam"

// A budget holds hundredths of a retry. It starts with minRetries and never
// holds more than maxRetries, so that a long calm saves up no storm.
const (
	retryCost  = 100
	minRetries = 10
	maxRetries = 100
)

// budget is the retries that one target service's successes have earned.
type budget struct {
	held int
}

func newBudget() *budget {
	return &budget{held: minRetries * retryCost}
}

// earn adds the share of a retry that one success is worth.
func (b *budget) earn(percent int) {
	b.held = min(b.held+percent, maxRetries*retryCost)
}

func (b *budget) spend(cost int) {
	b.held = max(b.held-cost, 0)
}

// budgetRule forbids a retry that the target's budget does not cover.
type budgetRule struct {
	retrier *retrier
}

// Forbids implements Rule.
func (r budgetRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	return r.retrier.budget(q.Call.Service).held < r.retrier.cost(q)
}
