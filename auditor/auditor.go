// Package auditor checks the guarantees of a system against the event logs of all
// processes and the backend servers' own lists of runs.
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

// Run is one run, as listed by the backend server that executed it.
type Run struct {
	Server waxwingseam.ServerName
	// Call is the call id from the context header.
	Call  waxwingseam.CallID
	Began time.Time
	// Interrupted is set if the run's request ended before its work was done.
	Interrupted bool
}

// Answer is one completed answer as received by its caller.
type Answer struct {
	// Name identifies the caller's request.
	Name string
	// Want and Got are the digests of the expected and the received bytes.
	Want, Got uint64
}

// Input is the data of one history.
type Input struct {
	// Logs are the event logs of all processes, one for each incarnation. The
	// logs of one process are in order.
	Logs    []io.Reader
	Runs    []Run
	Answers []Answer
	// Checks are the checks to run; DefaultChecks if nil.
	Checks []PrioritizedCheck
}

// Check checks one guarantee.
type Check interface {
	// Name returns the name of the check in kebab case.
	Name() string
	// Check returns a description of each violation.
	Check(h *History) []string
}

// PrioritizedCheck is a check with its priority; checks run in ascending order of
// priority.
type PrioritizedCheck struct {
	Priority int
	Check    Check
}

// DefaultChecks returns the checks of all guarantees.
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

// Audit runs the checks on a history and returns the violations as
// waxwingseam.Findings. If it cannot read a log, it returns that error instead.
func Audit(input Input) error {
	h := newHistory(input)
	for _, log := range input.Logs {
		if err := h.readLog(log); err != nil {
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

// readLog adds one log to the history. Each log belongs to a new incarnation, so its
// first entry ends an open drain of the server.
func (h *History) readLog(log io.Reader) error {
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
		if err := h.addEntry(entry, event); err != nil {
			return err
		}
	}
}
