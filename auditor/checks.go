package auditor

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// quietAfter is how long a leaving server may still get new work.
const quietAfter = 3 * time.Second

// sorted returns the calls in the order of their ids.
func (h *History) sorted() []*Call {
	return slices.SortedFunc(maps.Values(h.Calls), func(a, b *Call) int {
		return bytes.Compare(a.ID[:], b.ID[:])
	})
}

// atMostOnce checks that a not-repeatable call runs at most once, and so do
// all calls with one key together.
type atMostOnce struct{}

// Name implements Check.
func (atMostOnce) Name() string { return "at-most-once" }

// Check implements Check.
func (atMostOnce) Check(h *History) []string {
	var out []string
	byKey := map[waxwingseam.CallersKey]int{}
	for _, c := range h.sorted() {
		if !c.NotRepeatable {
			continue
		}
		if c.Key != "" {
			byKey[waxwingseam.CallersKey{Class: c.Class, Key: c.Key}] += len(h.Runs[c.ID])
			continue
		}
		if n := len(h.Runs[c.ID]); n > 1 {
			out = append(out, fmt.Sprintf("call %s ran %d times", c.ID, n))
		}
	}
	for key, n := range byKey {
		if n > 1 {
			out = append(out, fmt.Sprintf("key %q of class %s ran %d times", key.Key, key.Class, n))
		}
	}
	slices.Sort(out)
	return out
}

// didNotRun checks that a call which its caller was told did not run has not.
type didNotRun struct{}

// Name implements Check.
func (didNotRun) Name() string { return "did-not-run" }

// Check implements Check.
func (didNotRun) Check(h *History) []string {
	var out []string
	for _, c := range h.sorted() {
		if c.Answered && c.Result.Outcome == waxwingseam.OutcomeDidNotRun && len(h.Runs[c.ID]) > 0 {
			out = append(out, fmt.Sprintf("call %s did not run, it was said (%s), but ran at %s", c.ID, c.Result.Reason, h.Runs[c.ID][0].Server))
		}
	}
	return out
}

// ownBytes checks that each caller got the bytes of its own request.
type ownBytes struct{}

// Name implements Check.
func (ownBytes) Name() string { return "own-bytes" }

// Check implements Check.
func (ownBytes) Check(h *History) []string {
	var out []string
	for _, a := range h.Answers {
		if a.Want != a.Got {
			out = append(out, fmt.Sprintf("request %s got other bytes than its own", a.Name))
		}
	}
	return out
}

// boundedAttempts checks that a root's attempts over the whole chain are no
// more than its calls and its allowance.
type boundedAttempts struct{}

// Name implements Check.
func (boundedAttempts) Name() string { return "bounded-attempts" }

// Check implements Check.
func (boundedAttempts) Check(h *History) []string {
	attempts := map[waxwingseam.RootID]int{}
	bound := map[waxwingseam.RootID]int{}
	for _, c := range h.Calls {
		if c.Attempts > 0 {
			attempts[c.Root] += c.Attempts
			bound[c.Root] += 1 + int(c.Granted)
		}
	}
	var out []string
	for root, n := range attempts {
		if n > bound[root] {
			out = append(out, fmt.Sprintf("root %s had %d attempts, %d are allowed", root, n, bound[root]))
		}
	}
	slices.Sort(out)
	return out
}

// quietLeaving checks that a leaving server gets no new work after a while.
type quietLeaving struct{}

// Name implements Check.
func (quietLeaving) Name() string { return "quiet-leaving" }

// Check implements Check.
func (quietLeaving) Check(h *History) []string {
	return h.duringDrains(func(r Run, d drain) string {
		if r.Began.After(d.since.Add(quietAfter)) && (d.ended.IsZero() || r.Began.Before(d.ended)) {
			return fmt.Sprintf("call %s began at %s, %v after it began to leave", r.Call, r.Server, r.Began.Sub(d.since))
		}
		return ""
	})
}

// uninterrupted checks that no run is interrupted by its server's leaving.
type uninterrupted struct{}

// Name implements Check.
func (uninterrupted) Name() string { return "uninterrupted" }

// Check implements Check.
func (uninterrupted) Check(h *History) []string {
	return h.duringDrains(func(r Run, d drain) string {
		if !r.Interrupted || h.call(r.Call).Cancelled || r.Began.After(d.since) && !d.ended.IsZero() {
			return ""
		}
		return fmt.Sprintf("call %s was interrupted at %s, which was leaving", r.Call, r.Server)
	})
}

// duringDrains collects what a check says of each run and each drain of its
// server.
func (h *History) duringDrains(check func(r Run, d drain) string) []string {
	var out []string
	for _, runs := range h.Runs {
		for _, r := range runs {
			for _, d := range h.drains[r.Server] {
				if text := check(r, d); text != "" {
					out = append(out, text)
				}
			}
		}
	}
	slices.Sort(out)
	return out
}
