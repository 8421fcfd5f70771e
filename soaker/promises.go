package soaker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/auditor"
	"waxwingseam.example/waxwingseam/imitator"
)

// evidence is what callers, operators and backend servers observed.
type evidence struct {
	requests []*request
	// runs are the runs of all backend servers.
	runs []imitator.Run
	// spans are the times in which backend servers stated something.
	spans []statedSpan
	// endings is what servers saw of the requests that end them.
	endings map[waxwingseam.ServiceName]endingEvidence
	// acknowledged are the changes that replicas reported to operators as accepted,
	// recorded the changes in the history at the end.
	acknowledged, recorded map[waxwingseam.SubmissionID]waxwingseam.Revision
	accounts               accountEvidence
}

// startedTags returns the tags of the callers' requests that a backend server
// began. The paths of their child calls contain no tag.
func (e evidence) startedTags() map[string]bool {
	tags := map[string]bool{}
	for _, r := range e.runs {
		for _, prefix := range []string{prefixNotRepeatable, prefixRepeatable} {
			if tag, ok := strings.CutPrefix(r.Path, prefix); ok {
				tags[tag] = true
			}
		}
	}
	return tags
}

// guarantee is a guarantee of the system and its check.
type guarantee struct {
	name  string
	check func(e evidence) []string
}

// guarantees returns the guarantees in the order of their checks.
func guarantees() []guarantee {
	return []guarantee{
		{"at-most-once", atMostOnce},
		{"did-not-run", didNotRun},
		{"own-bytes", ownBytes},
		{"answers-keep-protocol", answersKeepProtocol},
		{"answered-in-time", answeredInTime},
		{"uninterrupted", uninterrupted},
		{"not-begun-for-nobody", notBegunForNobody},
		{"acknowledged-changes", acknowledgedChanges},
		{"kept-limits", keptLimits},
		{"kept-leaving", keptLeaving},
		{"ends-few-servers", endsFewServers},
		{"account-limits", accountLimits},
		{"own-account", ownAccount},
		{"kept-keys", keptKeys},
		{"hidden-keys", hiddenKeys},
	}
}

// atMostOnce checks that each request of a caller, and each of its child calls,
// began at most once if it must not run twice.
func atMostOnce(e evidence) []string {
	runs := map[string]int{}
	for _, r := range e.runs {
		if strings.HasPrefix(r.Path, prefixNotRepeatable) {
			runs[r.Path+" of "+r.Tag]++
		}
	}
	var violations []string
	for key, n := range runs {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	slices.Sort(violations)
	return violations
}

// didNotRun checks that no request with the outcome did-not-run has begun.
func didNotRun(e evidence) []string {
	started := e.startedTags()
	var violations []string
	for _, r := range e.requests {
		if r.outcome == waxwingseam.OutcomeDidNotRun.String() && started[r.tag] {
			violations = append(violations, fmt.Sprintf("%s ran, but its outcome is did-not-run (status %d)", r.tag, r.status))
		}
	}
	return violations
}

// ownBytes checks that each completed request received its own answer.
func ownBytes(e evidence) []string {
	var answers []auditor.Answer
	for _, r := range e.requests {
		if r.completed() {
			answers = append(answers, r.answer)
		}
	}
	if err := auditor.Audit(auditor.Input{Answers: answers}); err != nil {
		return strings.Split(err.Error(), "\n")
	}
	return nil
}

// answersKeepProtocol checks that no answer breaks the protocol.
func answersKeepProtocol(e evidence) []string {
	var violations []string
	for _, r := range e.requests {
		if r.broken != nil {
			violations = append(violations, fmt.Sprintf("%s got a broken answer with status %d: %v", r.tag, r.status, r.broken))
		}
	}
	return violations
}

// answeredInTime checks that no request lasted callTimeout or longer, unless its
// node was killed or paused meanwhile.
func answeredInTime(e evidence) []string {
	var violations []string
	for _, r := range e.requests {
		_, disturbed, _ := r.host.intervals()
		if r.ended.Sub(r.sent) >= callTimeout && !anyOverlaps(disturbed, r.interval()) {
			violations = append(violations, fmt.Sprintf("%s had no answer after %v: %v", r.tag, r.ended.Sub(r.sent).Round(time.Millisecond), r.err))
		}
	}
	return violations
}

// uninterrupted checks that a stopping node answers the requests that it has
// accepted: a request that a backend server began must not end without an answer.
func uninterrupted(e evidence) []string {
	started := e.startedTags()
	var violations []string
	for _, r := range e.requests {
		stopping, disturbed, _ := r.host.intervals()
		if r.err != nil && r.left.IsZero() && r.connected && started[r.tag] && anyOverlaps(stopping, r.interval()) && !anyOverlaps(disturbed, r.interval()) {
			violations = append(violations, fmt.Sprintf("%s was interrupted while its node was stopping: %v", r.tag, r.err))
		}
	}
	return violations
}

// departureTime passes from the time at which a caller leaves until no run begins for it.
const departureTime = 500 * time.Millisecond

// notBegunForNobody checks that no run, also of a call below, begins later than
// departureTime after the request's caller has left, unless the node that the caller sent
// its request to was killed or paused meanwhile.
func notBegunForNobody(e evidence) []string {
	gone := map[string]*request{}
	for _, r := range e.requests {
		if !r.left.IsZero() {
			gone[r.tag] = r
		}
	}
	var violations []string
	for _, run := range e.runs {
		r, ok := gone[run.Tag]
		if !ok || run.Began.Sub(r.left) <= departureTime {
			continue
		}
		_, disturbed, _ := r.host.intervals()
		if !anyOverlaps(disturbed, interval{r.sent, run.Began}) {
			violations = append(violations, fmt.Sprintf("%s began %v after the caller of %s had left", run.Path, run.Began.Sub(r.left).Round(time.Millisecond), r.tag))
		}
	}
	slices.Sort(violations)
	return violations
}

// acknowledgedChanges checks that the history contains every acknowledged change
// with its revision.
func acknowledgedChanges(e evidence) []string {
	var violations []string
	for id, revision := range e.acknowledged {
		if e.recorded[id] != revision {
			violations = append(violations, fmt.Sprintf("change %s was acknowledged as revision %d, but the history has revision %d (0: missing)", id, revision, e.recorded[id]))
		}
	}
	slices.Sort(violations)
	return violations
}
