package retrier

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// windowParts is how finely a window slides: the part that it leaves is
	// counted whole, which errs by a tenth towards fewer retries.
	windowParts = 10
	// windowFloor is the retries of one service that a node may make in a
	// window without calls of its own. The floors of all nodes add up, so it is
	// the least that lets a rarely called service be tried again.
	windowFloor = 1
)

// part is what was counted in one part of a window.
type part struct {
	number  int64
	calls   int
	retries int
}

// window counts the calls and the retries of one service in a sliding time.
type window struct {
	parts [windowParts + 1]part
}

// at returns the part of a time, emptied if it last stood for an earlier one.
func (w *window) at(now time.Time, length time.Duration) *part {
	number := now.UnixNano() / (int64(length) / windowParts)
	p := &w.parts[int(number%int64(len(w.parts)))]
	if p.number != number {
		*p = part{number: number}
	}
	return p
}

// sums returns the calls and the retries of the window that ends now.
func (w *window) sums(now time.Time, length time.Duration) (calls, retries int) {
	number := w.at(now, length).number
	for _, p := range w.parts {
		if p.number > number-int64(len(w.parts)) && p.number <= number {
			calls += p.calls
			retries += p.retries
		}
	}
	return calls, retries
}

// windowRule forbids a retry that would take the retries of a sliding time
// beyond a share of the roots' calls in it. Load pattern: servers that crash or
// cut connections while many nodes call them. Each node keeps the share of its
// own calls, so all nodes together keep it without a message, also cut off.
// Calls made by runs earn nothing: a run that is itself a repeat makes them.
type windowRule struct {
	retrier *retrier
}

// Forbids implements Rule.
func (r windowRule) Forbids(c *waxwingseam.Context, q waxwingseam.RetryQuestion) bool {
	calls, retries := r.retrier.window(q.Call.Service).sums(c.Now, r.retrier.length)
	return retries >= windowFloor+calls*q.Limit.BudgetPercent/retryCost
}
