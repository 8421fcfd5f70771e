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

// success is a call that the backend server did.
var success = waxwingseam.Result{Outcome: waxwingseam.OutcomeCompleted, Status: 200, Reached: true}

// question is one whose answer is a retry at once.
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

func TestDecide(t *testing.T) {
	for _, v := range []struct {
		name   string
		change func(q *waxwingseam.RetryQuestion)
		want   bool
	}{
		{"may run again", func(*waxwingseam.RetryQuestion) {}, true},
		{"no allowance", func(q *waxwingseam.RetryQuestion) { q.Remaining = 0 }, false},
		{"body is gone", func(q *waxwingseam.RetryQuestion) { q.Replayable = false }, false},
		{"all shed load", func(q *waxwingseam.RetryQuestion) { q.Overloaded = true }, false},
		{"not repeatable, may have run", func(q *waxwingseam.RetryQuestion) { q.Call.Repeat = waxwingseam.RepeatNever }, false},
		{"not repeatable, did not run", func(q *waxwingseam.RetryQuestion) {
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

// TestBudget checks that the retries to a target that fails for good stay
// within its first ones and its share of the successes before.
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

// TestBackoff checks that calls that fail together come back spread out, and
// later after each attempt.
func TestBackoff(t *testing.T) {
	const calls = 1000
	r := retrier.New(retrier.Config{})
	q := question()
	q.Limit.BudgetPercent = 100
	q.Limit.Backoff = 10 * time.Millisecond
	for attempt, mean := range map[waxwingseam.Attempt]time.Duration{1: 10 * time.Millisecond, 3: 40 * time.Millisecond} {
		q.Attempt = attempt
		var slots [10]int
		for i := range uint64(calls) {
			got := r.Decide(context(i), q)
			r.ObserveReply(q.Call, success, q.Limit)
			slots[min(int(got.Delay*10/(2*mean)), 9)]++
		}
		for _, n := range slots {
			qt.Check(t, n > calls/20 && n < calls/5, qt.IsTrue, qt.Commentf("attempt %d: %v", attempt, slots))
		}
	}
}

// ExampleNew asks for a retry of a call that may run again.
func ExampleNew() {
	r := retrier.New(retrier.Config{})
	answer := r.Decide(context(1), question())
	fmt.Println(answer.Retry, answer.Delay)
	// Output: true 0s
}

// TestLeavesTakeNoAllowance checks that no allowance goes along with the calls
// of a class once its runs were seen to make none, and that it does again after
// one that made some.
func TestLeavesTakeNoAllowance(t *testing.T) {
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
	made := success
	made.CallsBelow = 1
	r.ObserveReply(q.Call, made, q.Limit)
	qt.Assert(t, r.Split(q.Call, 2), qt.Equals, waxwingseam.Allowance(2))
}

// TestRetriesOfTreesCostMore checks that a retry of a call whose runs make calls
// is paid for with those.
func TestRetriesOfTreesCostMore(t *testing.T) {
	r := retrier.New(retrier.Config{})
	q := question()
	made := success
	made.CallsBelow = 12
	for range 800 {
		r.ObserveReply(q.Call, made, q.Limit)
	}
	retries := 0
	for r.Decide(context(1), q).Retry {
		retries++
	}
	// 100 at most, 13 each.
	qt.Assert(t, retries, qt.Equals, 7)
}
