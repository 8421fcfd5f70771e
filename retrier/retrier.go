// Package retrier decides whether a failed attempt is followed by another.
package retrier

import (
	"cmp"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// Rule is a condition that forbids a retry.
type Rule interface {
	// Forbids reports whether the rule forbids a retry.
	Forbids(c *waxwingseam.Context, q waxwingseam.RetryQuestion) bool
}

// PrioritizedRule is a rule with its position in the order of evaluation; the
// rule with the smallest priority is evaluated first.
type PrioritizedRule struct {
	Priority int
	Rule     Rule
}

// Config holds the rules and the splitter of a retrier.
type Config struct {
	// Rules are evaluated in addition to the budget rule; DefaultRules if nil.
	Rules []PrioritizedRule
	// Splitter splits an allowance between an attempt and its sender; SendAll if
	// nil.
	Splitter Splitter
	// Gated is set if the receiving nodes bound the repeated calls to each service (see
	// waxwingseam.RetryGate). Further tries of calls that backend servers refused are then
	// charged there only.
	Gated bool
}

type retrier struct {
	gated        bool
	splitter     Splitter
	rules        []PrioritizedRule
	budgets      map[waxwingseam.ServiceName]*budget
	callsByClass map[waxwingseam.ClassName]*classCalls
}

// New returns a retrier whose budgets have their initial balance.
func New(config Config) waxwingseam.Retrier {
	r := &retrier{
		gated:        config.Gated,
		splitter:     config.Splitter,
		rules:        config.Rules,
		budgets:      map[waxwingseam.ServiceName]*budget{},
		callsByClass: map[waxwingseam.ClassName]*classCalls{},
	}
	if r.splitter == nil {
		r.splitter = SendAll{}
	}
	if r.rules == nil {
		r.rules = DefaultRules()
	}
	r.rules = append(slices.Clone(r.rules), PrioritizedRule{priorityBudget, budgetRule{r}})
	slices.SortStableFunc(r.rules, func(a, b PrioritizedRule) int {
		return cmp.Compare(a.Priority, b.Priority)
	})
	return r
}

// Split implements waxwingseam.Retrier.
func (r *retrier) Split(call waxwingseam.Call, in waxwingseam.Allowance) waxwingseam.Allowance {
	if r.IsLeafClass(call.Class) {
		return 0
	}
	return min(r.splitter.Split(in), in)
}

// Decide implements waxwingseam.Retrier.
func (r *retrier) Decide(c *waxwingseam.Context, q waxwingseam.RetryQuestion) waxwingseam.RetryDecision {
	for _, p := range r.rules {
		if p.Rule.Forbids(c, q) {
			return waxwingseam.RetryDecision{}
		}
	}
	delay := backoff(c, q)
	if !c.Now.Add(delay).Before(q.Call.Deadline) {
		return waxwingseam.RetryDecision{}
	}
	if !r.chargedByReceiver(q) {
		r.budget(q.Call.Service).spend(r.cost(q))
	}
	return waxwingseam.RetryDecision{Retry: true, Delay: delay}
}

// ObserveReply implements waxwingseam.Retrier.
func (r *retrier) ObserveReply(call waxwingseam.Call, result waxwingseam.Result, limit waxwingseam.RetryLimit) {
	r.classCalls(call.Class).observe(result)
	if result.Failed() {
		return
	}
	r.budget(call.Service).earn(limit.BudgetPercent)
}

// chargedByReceiver reports whether a retry is charged to the budget of the receiving nodes
// alone.
func (r *retrier) chargedByReceiver(q waxwingseam.RetryQuestion) bool {
	return r.gated && q.Result.Reason == waxwingseam.ReasonServerRefused
}

func (r *retrier) budget(service waxwingseam.ServiceName) *budget {
	b, ok := r.budgets[service]
	if !ok {
		b = newBudget()
		r.budgets[service] = b
	}
	return b
}

// maxDoublings is the maximum number of times that the mean delay is doubled.
const maxDoublings = 5

// backoff returns a random delay, uniformly distributed between zero and twice
// the mean, so that callers that failed together do not retry together.
func backoff(c *waxwingseam.Context, q waxwingseam.RetryQuestion) time.Duration {
	doublings := min(int(q.Attempt)-1, maxDoublings)
	mean := q.Limit.Backoff << max(doublings, 0)
	if mean <= 0 {
		return 0
	}
	return time.Duration(c.Random().Int64N(2*int64(mean) + 1))
}
