// Package auditor checks what a system promises against what happened: the
// event logs of all processes, and the backend servers' own lists of runs.
package auditor

import (
	"cmp"
	"errors"
	"io"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/recorder"
)

// Run is one run as a backend server lists it.
type Run struct {
	Server waxwingseam.ServerName
	// Call is the call id from the context header.
	Call  waxwingseam.CallID
	Began time.Time
	// Interrupted is set when the run's request ended before its work.
	Interrupted bool
}

// Answer is one completed answer as its caller got it.
type Answer struct {
	// Name tells the caller's request from others.
	Name string
	// Want and Got are the digests of the bytes that were due and that came.
	Want, Got uint64
}

// Input is all that is known of one history.
type Input struct {
	// Logs are the event logs of all processes, one for each life, those of
	// one process in order.
	Logs    []io.Reader
	Runs    []Run
	Answers []Answer
	// Checks are the checks to make; DefaultChecks when unset.
	Checks []PrioritizedCheck
}

// Check is one promise.
type Check interface {
	// Name names the check in kebab case.
	Name() string
	// Check returns what breaks the promise.
	Check(h *History) []string
}

// PrioritizedCheck is a check with its place in the order of checks; a smaller
// priority goes first.
type PrioritizedCheck struct {
	Priority int
	Check    Check
}

// DefaultChecks returns the checks of all promises.
func DefaultChecks() []PrioritizedCheck {
	return []PrioritizedCheck{
		{100, atMostOnce{}},
		{200, didNotRun{}},
		{300, ownBytes{}},
		{400, boundedAttempts{}},
		{500, quietLeaving{}},
		{600, uninterrupted{}},
	}
}

// Audit checks a history. Findings are an error of their own.
func Audit(input Input) error {
	h := newHistory(input)
	for _, log := range input.Logs {
		if err := h.read(log); err != nil {
			return err
		}
	}
	checks := input.Checks
	if checks == nil {
		checks = DefaultChecks()
	}
	checks = slices.Clone(checks)
	slices.SortStableFunc(checks, func(a, b PrioritizedCheck) int {
		return cmp.Compare(a.Priority, b.Priority)
	})
	var findings waxwingseam.Findings
	for _, p := range checks {
		for _, text := range p.Check.Check(h) {
			findings = append(findings, waxwingseam.Finding{
				Section: p.Check.Name(),
				Text:    text,
			})
		}
	}
	return findings.OrNil()
}

// read takes in one log.
func (h *History) read(log io.Reader) error {
	r := recorder.NewReader(log, recorder.DefaultCatalog())
	for first := true; ; first = false {
		entry, event, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if first {
			h.endDrain(waxwingseam.ServerName(entry.Process), event.Stamped().Now)
		}
		if err := h.add(entry, event); err != nil {
			return err
		}
	}
}
