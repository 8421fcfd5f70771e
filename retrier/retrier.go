// Package retrier decides whether a failed attempt is followed by another.
package retrier

import (
	"cmp"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// Rule is one ground against a retry.
type Rule interface {
	// Forbids reports whether no retry may follow.
	Forbids(c *waxwingseam.Context, q waxwingseam.RetryQuestion) bool
}

// PrioritizedRule is a rule with its place in the order of rules; a smaller
// priority goes first.
type PrioritizedRule struct {
	Priority int
	Rule     Rule
}

// Config holds the parts of a retrier.
type Config struct {
	// Rules are the grounds against a retry; DefaultRules when unset.
	Rules []PrioritizedRule
	// Splitter splits an allowance between an attempt and its sender; Along
	// when unset.
	Splitter Splitter
}

type retrier struct {
	splitter Splitter
	rules    []PrioritizedRule
	budgets  map[waxwingseam.ServiceName]*budget
	trees    map[waxwingseam.ClassName]*tree
}

// New returns a retrier with full budgets.
func New(config Config) waxwingseam.Retrier {
	r := &retrier{
		splitter: config.Splitter,
		rules:    config.Rules,
		budgets:  map[waxwingseam.ServiceName]*budget{},
		trees:    map[waxwingseam.ClassName]*tree{},
	}
	if r.splitter == nil {
		r.splitter = Along{}
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
	r.budget(q.Call.Service).spend(r.cost(q))
	return waxwingseam.RetryDecision{Retry: true, Delay: delay}
}

// ObserveReply implements waxwingseam.Retrier.
func (r *retrier) ObserveReply(call waxwingseam.Call, result waxwingseam.Result, limit waxwingseam.RetryLimit) {
	r.tree(call.Class).learn(result)
	if result.Failed() {
		return
	}
	r.budget(call.Service).earn(limit.BudgetPercent)
}

func (r *retrier) budget(service waxwingseam.ServiceName) *budget {
	b, ok := r.budgets[service]
	if !ok {
		b = newBudget()
		r.budgets[service] = b
	}
	return b
}

// maxDoublings bounds the growth of the back-off.
const maxDoublings = 5

// backoff returns a delay spread evenly over nothing to twice the mean, so
// that callers that failed together do not come back together.
func backoff(c *waxwingseam.Context, q waxwingseam.RetryQuestion) time.Duration {
	doublings := min(int(q.Attempt)-1, maxDoublings)
	mean := q.Limit.Backoff << max(doublings, 0)
	if mean <= 0 {
		return 0
	}
	return time.Duration(c.Random().Int64N(2*int64(mean) + 1))
}
