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

// evidence is what callers, operators and backend servers saw.
type evidence struct {
	requests []*request
	// runs are those of all backend servers.
	runs []imitator.Run
	// acknowledged are the changes that operators were told are in force, kept
	// those that the history holds at the end.
	acknowledged, kept map[waxwingseam.SubmissionID]waxwingseam.Revision
}

// ran holds the tags of the requests that a backend server began; those of the
// calls below them have other paths.
func (e evidence) ran() map[string]bool {
	tags := map[string]bool{}
	for _, r := range e.runs {
		for _, prefix := range []string{prefixNever, prefixFree} {
			if tag, ok := strings.CutPrefix(r.Path, prefix); ok {
				tags[tag] = true
			}
		}
	}
	return tags
}

// promise is one that is checked from outside.
type promise struct {
	name  string
	check func(e evidence) []string
}

// promises lists the checks in their order.
func promises() []promise {
	return []promise{
		{"at-most-once", atMostOnce},
		{"did-not-run", didNotRun},
		{"own-bytes", ownBytes},
		{"answered-in-time", answeredInTime},
		{"uninterrupted", uninterrupted},
		{"acknowledged-changes", acknowledgedChanges},
	}
}

// atMostOnce checks that what must not run twice began once at most, for the
// requests of callers and the calls below them.
func atMostOnce(e evidence) []string {
	runs := map[string]int{}
	for _, r := range e.runs {
		if strings.HasPrefix(r.Path, prefixNever) {
			runs[r.Path+" of "+r.Tag]++
		}
	}
	var out []string
	for what, n := range runs {
		if n > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", what, n))
		}
	}
	slices.Sort(out)
	return out
}

// didNotRun checks that what a caller was told did not run has not begun.
func didNotRun(e evidence) []string {
	ran := e.ran()
	var out []string
	for _, r := range e.requests {
		if r.outcome == waxwingseam.OutcomeDidNotRun.String() && ran[r.tag] {
			out = append(out, fmt.Sprintf("%s did not run, it was said (%d), but ran", r.tag, r.status))
		}
	}
	return out
}

// ownBytes checks that each answer is that of its own request.
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

// answeredInTime checks that no caller waited beyond every deadline, where its
// node ran.
func answeredInTime(e evidence) []string {
	var out []string
	for _, r := range e.requests {
		_, hurt, _ := r.host.spans()
		if r.ended.Sub(r.sent) >= callTimeout && !meetsAny(hurt, r.span()) {
			out = append(out, fmt.Sprintf("%s had no answer after %v: %v", r.tag, r.ended.Sub(r.sent).Round(time.Millisecond), r.err))
		}
	}
	return out
}

// uninterrupted checks that a node which is told to leave answers what it took:
// a request that a backend server began must not end without an answer.
func uninterrupted(e evidence) []string {
	ran := e.ran()
	var out []string
	for _, r := range e.requests {
		leaving, hurt, _ := r.host.spans()
		if r.err != nil && r.dialled && ran[r.tag] && meetsAny(leaving, r.span()) && !meetsAny(hurt, r.span()) {
			out = append(out, fmt.Sprintf("%s was cut off while its node left: %v", r.tag, r.err))
		}
	}
	return out
}

// acknowledgedChanges checks that no change is lost which an operator was told
// is in force.
func acknowledgedChanges(e evidence) []string {
	var out []string
	for id, revision := range e.acknowledged {
		if e.kept[id] != revision {
			out = append(out, fmt.Sprintf("change %s was acknowledged as revision %d, the history has it as %d", id, revision, e.kept[id]))
		}
	}
	slices.Sort(out)
	return out
}
