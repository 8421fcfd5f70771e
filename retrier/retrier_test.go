package retrier_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/retrier"
)

var start = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

// success is the result of a call that the backend server completed.
var success = waxwingseam.Result{Outcome: waxwingseam.OutcomeCompleted, Status: 200, Reached: true}

// question returns a question that is answered with an immediate retry.
func question() waxwingseam.RetryQuestion {
	return waxwingseam.RetryQuestion{
		Call:       waxwingseam.Call{Service: "fees", Repeat: waxwingseam.RepeatIdempotent, Deadline: start.Add(time.Second)},
		Attempt:    1,
		Result:     waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonServerFailed},
		Limit:      waxwingseam.RetryLimit{BudgetPercent: 20},
		Remaining:  1,
		Replayable: true,
	}
}

func context(random uint64) *waxwingseam.Context {
	c := waxwingseam.NewContext(waxwingseam.Server{})
	c.Begin(waxwingseam.Stamp{Now: start, Random: random})
	return c
}

// TestDecide guards against a retry that may run a non-idempotent call twice or
// cannot help, and against the refusal of a safe retry.
func TestDecide(t *testing.T) {
	for _, v := range []struct {
		name   string
		change func(q *waxwingseam.RetryQuestion)
		want   bool
	}{
		{"idempotent, may have run", func(*waxwingseam.RetryQuestion) {}, true},
		{"no allowance", func(q *waxwingseam.RetryQuestion) { q.Remaining = 0 }, false},
		{"body cannot be sent again", func(q *waxwingseam.RetryQuestion) { q.Replayable = false }, false},
		{"all servers shed load", func(q *waxwingseam.RetryQuestion) { q.Overloaded = true }, false},
		{"not idempotent, may have run", func(q *waxwingseam.RetryQuestion) { q.Call.Repeat = waxwingseam.RepeatNever }, false},
		{"not idempotent, did not run", func(q *waxwingseam.RetryQuestion) {
			q.Call.Repeat = waxwingseam.RepeatNever
			q.Result.Outcome = waxwingseam.OutcomeDidNotRun
		}, true},
		{"cancelled", func(q *waxwingseam.RetryQuestion) { q.Result.Reason = waxwingseam.ReasonCancelled }, false},
		{"deadline has passed", func(q *waxwingseam.RetryQuestion) { q.Call.Deadline = start }, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			q := question()
			v.change(&q)
			got := retrier.New(retrier.Config{}).Decide(context(1), q)
			qt.Assert(t, got, qt.Equals, waxwingseam.RetryDecision{Retry: v.want})
		})
	}
}

// TestBudget checks that the retries to a target that keeps failing stay within
// the initial budget and the share earned by earlier successes.
func TestBudget(t *testing.T) {
	for _, v := range []struct{ successes, want int }{{0, 10}, {100, 30}, {100_000, 100}} {
		r := retrier.New(retrier.Config{})
		q := question()
		for range v.successes {
			r.ObserveReply(q.Call, success, q.Limit)
		}
		retries := 0
		for r.Decide(context(1), q).Retry {
			retries++
		}
		qt.Check(t, retries, qt.Equals, v.want)
		q.Call.Service = "ledger"
		qt.Check(t, r.Decide(context(1), q).Retry, qt.IsTrue, qt.Commentf("another target"))
	}
}

// TestBackoff checks that the retries of calls that fail together are spread
// evenly, and that their delay grows with each attempt.
func TestBackoff(t *testing.T) {
	const calls = 1000
	r := retrier.New(retrier.Config{})
	q := question()
	q.Limit.BudgetPercent = 100
	q.Limit.Backoff = 10 * time.Millisecond
	for attempt, mean := range map[waxwingseam.Attempt]time.Duration{1: 10 * time.Millisecond, 3: 40 * time.Millisecond} {
		q.Attempt = attempt
		var buckets [10]int
		for i := range uint64(calls) {
			got := r.Decide(context(i), q)
			r.ObserveReply(q.Call, success, q.Limit)
			buckets[min(int(got.Delay*10/(2*mean)), 9)]++
		}
		for _, n := range buckets {
			qt.Check(t, n > calls/20 && n < calls/5, qt.IsTrue, qt.Commentf("attempt %d: %v", attempt, buckets))
		}
	}
}

// ExampleNew shows the decision to retry an idempotent call.
func ExampleNew() {
	r := retrier.New(retrier.Config{})
	answer := r.Decide(context(1), question())
	fmt.Println(answer.Retry, answer.Delay)
	// Output: true 0s
}

// TestLeafClassesGetNoAllowance checks that the calls of a class are sent
// without allowance once enough successive runs of it have made no calls, and
// with it again after a run that made some.
func TestLeafClassesGetNoAllowance(t *testing.T) {
	r := retrier.New(retrier.Config{})
	q := question()
	q.Call.Class = "leaf"
	qt.Assert(t, r.Split(q.Call, 2), qt.Equals, waxwingseam.Allowance(2))
	for range 20 {
		r.ObserveReply(q.Call, success, q.Limit)
	}
	qt.Assert(t, r.Split(q.Call, 2), qt.Equals, waxwingseam.Allowance(0))
	other := q.Call
	other.Class = "browse"
	qt.Assert(t, r.Split(other, 2), qt.Equals, waxwingseam.Allowance(2))
	withCalls := success
	withCalls.CallsBelow = 1
	r.ObserveReply(q.Call, withCalls, q.Limit)
	qt.Assert(t, r.Split(q.Call, 2), qt.Equals, waxwingseam.Allowance(2))
}

// TestRetryCostIncludesCallsBelow checks that the cost of a retry includes the
// calls that the repeated run makes.
func TestRetryCostIncludesCallsBelow(t *testing.T) {
	r := retrier.New(retrier.Config{})
	q := question()
	withCalls := success
	withCalls.CallsBelow = 12
	for range 800 {
		r.ObserveReply(q.Call, withCalls, q.Limit)
	}
	retries := 0
	for r.Decide(context(1), q).Retry {
		retries++
	}
	// The capped balance of 100 covers 7 retries at a cost of 13 each.
	qt.Assert(t, retries, qt.Equals, 7)
}
