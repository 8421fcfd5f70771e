package auditor

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// drainGracePeriod is the time after the start of a drain in which runs may begin.
const drainGracePeriod = 3 * time.Second

// sortedCalls returns the calls sorted by ID.
func (h *History) sortedCalls() []*Call {
	return slices.SortedFunc(maps.Values(h.Calls), func(a, b *Call) int {
		return bytes.Compare(a.ID[:], b.ID[:])
	})
}

// atMostOnce checks that a non-repeatable call runs at most once, and that all
// non-repeatable calls with the same key run at most once in total.
type atMostOnce struct{}

// Name implements Check.
func (atMostOnce) Name() string { return "at-most-once" }

// Check implements Check.
func (atMostOnce) Check(h *History) []string {
	var out []string
	runsByKey := map[waxwingseam.CallersKey]int{}
	for _, c := range h.sortedCalls() {
		if !c.NotRepeatable {
			continue
		}
		if c.Key != "" {
			runsByKey[waxwingseam.CallersKey{Class: c.Class, Key: c.Key}] += len(h.Runs[c.ID])
			continue
		}
		if n := len(h.Runs[c.ID]); n > 1 {
			out = append(out, fmt.Sprintf("call %s ran %d times", c.ID, n))
		}
	}
	for key, n := range runsByKey {
		if n > 1 {
			out = append(out, fmt.Sprintf("key %q of class %s ran %d times", key.Key, key.Class, n))
		}
	}
	slices.Sort(out)
	return out
}

// didNotRun checks that a call that was answered with OutcomeDidNotRun has no run.
type didNotRun struct{}

// Name implements Check.
func (didNotRun) Name() string { return "did-not-run" }

// Check implements Check.
func (didNotRun) Check(h *History) []string {
	var out []string
	for _, c := range h.sortedCalls() {
		if c.Answered && c.Result.Outcome == waxwingseam.OutcomeDidNotRun && len(h.Runs[c.ID]) > 0 {
			out = append(out, fmt.Sprintf("call %s was answered with did-not-run (%s), but ran at %s", c.ID, c.Result.Reason, h.Runs[c.ID][0].Server))
		}
	}
	return out
}

// ownBytes checks that each caller received the answer to its own request.
type ownBytes struct{}

// Name implements Check.
func (ownBytes) Name() string { return "own-bytes" }

// Check implements Check.
func (ownBytes) Check(h *History) []string {
	var out []string
	for _, a := range h.Answers {
		if a.Want != a.Got {
			out = append(out, fmt.Sprintf("request %s received an answer other than the expected one", a.Name))
		}
	}
	return out
}

// boundedAttempts checks that a root has no more attempts, over all its calls, than
// the number of its calls that had attempts plus the highest allowance of its class.
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
			out = append(out, fmt.Sprintf("root %s had %d attempts; at most %d are allowed", root, n, bound[root]))
		}
	}
	slices.Sort(out)
	return out
}

// quietLeaving checks that no run begins at a leaving server after the grace period.
type quietLeaving struct{}

// Name implements Check.
func (quietLeaving) Name() string { return "quiet-leaving" }

// Check implements Check.
func (quietLeaving) Check(h *History) []string {
	return h.checkDrains(func(r Run, d drain) string {
		if r.Began.After(d.since.Add(drainGracePeriod)) && (d.ended.IsZero() || r.Began.Before(d.ended)) {
			return fmt.Sprintf("call %s began at %s %v after the server began to leave", r.Call, r.Server, r.Began.Sub(d.since))
		}
		return ""
	})
}

// uninterrupted checks that no run of a server that drains is interrupted. It ignores
// cancelled runs, and runs that began after the start of a drain that has ended.
type uninterrupted struct{}

// Name implements Check.
func (uninterrupted) Name() string { return "uninterrupted" }

// Check implements Check.
func (uninterrupted) Check(h *History) []string {
	return h.checkDrains(func(r Run, d drain) string {
		if !r.Interrupted || h.call(r.Call).Cancelled || r.Began.After(d.since) && !d.ended.IsZero() {
			return ""
		}
		return fmt.Sprintf("call %s was interrupted at %s while the server was leaving", r.Call, r.Server)
	})
}

// checkDrains calls check for each run and each drain of the run's server, and
// returns the non-empty results.
func (h *History) checkDrains(check func(r Run, d drain) string) []string {
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
