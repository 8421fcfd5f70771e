package soaker

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/imitator"
)

const (
	// In each accountWindow, at most accountFactor times what an account's limit allows in
	// it run, and accountSlack.
	accountWindow = 5 * time.Second
	accountFactor = 1.1
	accountSlack  = 20
	// contactTime passes from the acceptance of a set until a node in contact with control
	// refuses a key that the set does not hold, and removalTime until other nodes do.
	contactTime = 2 * time.Second
	removalTime = 5 * time.Second
)

// accountEvidence is what the checks of the client accounts need.
type accountEvidence struct {
	// spans are the times in which limits bind.
	spans []limitSpan
	// removable and unknown are keys, and removals the times without the removable one.
	removable, unknown string
	removals           []interval
	// control lists the disturbances of control replicas.
	control []interval
	// secrets are all keys, and logs the logs of the processes by their names.
	secrets []string
	logs    map[string][]byte
}

// evidence returns the evidence about the accounts.
func (a *accounts) evidence(control []interval, logs map[string][]byte) accountEvidence {
	a.mu.Lock()
	defer a.mu.Unlock()
	return accountEvidence{
		spans: a.spans, removable: a.removable, unknown: a.unknown, removals: a.removals,
		control: control, secrets: a.secrets(), logs: logs,
	}
}

// byTag returns the requests of callers by their tags.
func (e evidence) byTag() map[string]*request {
	out := make(map[string]*request, len(e.requests))
	for _, r := range e.requests {
		out[r.tag] = r
	}
	return out
}

// accountLimits checks that in no window more roots of an account run than its limit allows.
// A root that runs again counts once.
func accountLimits(e evidence) []string {
	first := map[waxwingseam.AccountName]map[string]time.Time{}
	for _, r := range e.runs {
		if r.Tag == "" || !strings.HasSuffix(r.Path, "/"+r.Tag) {
			continue
		}
		account := waxwingseam.AccountName(r.Account)
		if first[account] == nil {
			first[account] = map[string]time.Time{}
		}
		if began, ok := first[account][r.Tag]; !ok || r.Began.Before(began) {
			first[account][r.Tag] = r.Began
		}
	}
	var violations []string
	for _, s := range e.accounts.spans {
		var began []time.Time
		for _, v := range first[s.account] {
			if !v.Before(s.from) && (s.to.IsZero() || !v.After(s.to)) {
				began = append(began, v)
			}
		}
		slices.SortFunc(began, time.Time.Compare)
		allowed := (s.rate*accountWindow.Seconds()+s.rate)*accountFactor + accountSlack
		if n, from := mostInWindow(began); float64(n) > allowed {
			violations = append(violations, fmt.Sprintf("%d roots of account %s ran in %v from %s on, allowed %g for a limit of %g a second",
				n, s.account, accountWindow, from.Format(time.StampMilli), allowed, s.rate))
		}
	}
	return violations
}

// mostInWindow returns the largest number of sorted times in an accountWindow, and its start.
func mostInWindow(times []time.Time) (most int, from time.Time) {
	start := 0
	for i, t := range times {
		for t.Sub(times[start]) >= accountWindow {
			start++
		}
		if n := i + 1 - start; n > most {
			most, from = n, times[start]
		}
	}
	return most, from
}

// ownAccount checks that each run names the account that holds its caller's key, and carries
// no key. Callers without tags hold the key of accountOpen.
func ownAccount(e evidence) []string {
	if len(e.accounts.secrets) == 0 {
		return nil
	}
	requests := e.byTag()
	var violations []string
	for _, run := range e.runs {
		want := accountOpen
		if r, ok := requests[run.Tag]; ok {
			want = r.account
		}
		if waxwingseam.AccountName(run.Account) != want {
			violations = append(violations, fmt.Sprintf("%s of %q ran with account %q, not %q", run.Path, run.Tag, run.Account, want))
		}
		if run.Authorized {
			violations = append(violations, fmt.Sprintf("%s of %q ran with an Authorization field", run.Path, run.Tag))
		}
	}
	return violations
}

// keptKeys checks that nothing runs with a key that no set holds, nor with a key that was
// removed, and that keys that all sets hold are not answered with 401.
func keptKeys(e evidence) []string {
	requests := e.byTag()
	var violations []string
	for _, run := range e.runs {
		r, ok := requests[run.Tag]
		if !ok || r.key == "" {
			continue
		}
		if r.key == e.accounts.unknown {
			violations = append(violations, fmt.Sprintf("%s of %s ran with a key that no set holds", run.Path, run.Tag))
		}
		if r.key == e.accounts.removable {
			violations = append(violations, e.lateUse(r, run)...)
		}
	}
	for _, r := range e.requests {
		if r.status == http.StatusUnauthorized && r.key != "" && r.key != e.accounts.unknown && r.key != e.accounts.removable {
			violations = append(violations, fmt.Sprintf("%s was answered %d, but all sets hold its key", r.tag, r.status))
		}
	}
	return violations
}

// lateUse checks a run with the removable key: it was not sent removalTime after the removal,
// nor contactTime after it with control and the node undisturbed since. The time begins anew
// with the end of a disturbance of the node that receives the request.
func (e evidence) lateUse(r *request, run imitator.Run) []string {
	stopping, disturbed, _ := r.host.intervals()
	for _, removal := range e.accounts.removals {
		if r.sent.Before(removal.from) || run.Began.After(removal.to) {
			continue
		}
		known := removal.from
		for _, v := range slices.Concat(stopping, disturbed) {
			if v.from.Before(r.sent) && (v.to.IsZero() || v.to.After(known)) {
				known = v.to
			}
		}
		bound := contactTime
		if anyOverlaps(e.accounts.control, interval{removal.from, r.sent}) {
			bound = removalTime
		}
		if late := r.sent.Sub(known); !known.IsZero() && late > bound {
			return []string{fmt.Sprintf("%s of %s ran with a removed key, sent %v after its removal was accepted and %v after its node could know, allowed %v",
				run.Path, run.Tag, r.sent.Sub(removal.from).Round(time.Millisecond), late.Round(time.Millisecond), bound)}
		}
	}
	return nil
}

// hiddenKeys checks that no log holds a key.
func hiddenKeys(e evidence) []string {
	var violations []string
	for name, log := range e.accounts.logs {
		for line := range bytes.Lines(log) {
			for _, key := range e.accounts.secrets {
				if bytes.Contains(line, []byte(key)) {
					violations = append(violations, fmt.Sprintf("%s logged a key: %s", name, bytes.TrimSpace(line)))
				}
			}
		}
	}
	slices.Sort(violations)
	return violations
}
