package retrier

import "waxwingseam.example/waxwingseam"

// A budget is counted in hundredths of a retry. It starts at initialRetries and
// is capped at maxRetries, so that a long period without failures cannot lead
// to a retry storm.
const (
	retryCost      = 100
	initialRetries = 10
	maxRetries     = 100
)

// budget is the balance of retries that the successes of one target service
// have earned.
type budget struct {
	balance int
}

func newBudget() *budget {
	return &budget{balance: initialRetries * retryCost}
}

// earn adds the given percentage of a retry for one success.
func (b *budget) earn(percent int) {
	b.balance = min(b.balance+percent, maxRetries*retryCost)
}

func (b *budget) spend(cost int) {
	b.balance = max(b.balance-cost, 0)
}

// budgetRule forbids a retry that the budget of the target service does not
// cover.
type budgetRule struct {
	retrier *retrier
}

// Forbids implements Rule.
func (r budgetRule) Forbids(_ *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	if r.retrier.chargedByReceiver(q) {
		return false
	}
	b := r.retrier.budget(q.Call.Service)
	if q.Result.Reason == waxwingseam.ReasonServerRefused && !b.covers(q.Call.Rank) {
		return true
	}
	return b.balance < r.retrier.cost(q)
}

// covers reports whether the balance is large enough for another try of a call that a
// backend server refused whatever its load. Once less than the initial balance is left,
// fewer roots get such tries, the same ones at every hop: a root that makes several calls
// succeeds only if each of them gets its tries.
func (b *budget) covers(r waxwingseam.Rank) bool {
	return r.Fraction()*initialRetries*retryCost < float64(b.balance)
}
