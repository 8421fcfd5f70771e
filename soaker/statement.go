package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/imitator"
)

// The kinds of faults in which a backend server names a rate limit for a time, or says
// that it is leaving and is then replaced.
const (
	FaultBackendLimited Fault = "backend-limited"
	FaultBackendLeaving Fault = "backend-leaving"
)

const (
	// meanStatementGap is the mean time between two of these faults.
	meanStatementGap = 1500 * time.Millisecond
	// minStatementDuration and maxStatementDuration bound their durations, which are
	// longer than limitSettleTime and leaveTime.
	minStatementDuration = 6 * time.Second
	maxStatementDuration = 10 * time.Second
)

// PlanStatements returns the faults of the first targets in which backend servers state
// something. At any time, one target at least states nothing. The same arguments give
// the same faults.
func PlanStatements(seed uint64, duration time.Duration, targets int) []Step {
	random := rand.New(rand.NewPCG(seed, 2))
	free := make([]time.Duration, targets)
	var steps []Step
	for at := time.Duration(0); at < duration; at += time.Duration(random.Int64N(int64(2 * meanStatementGap))) {
		s := Step{
			At:       at,
			Fault:    []Fault{FaultBackendLimited, FaultBackendLimited, FaultBackendLeaving}[random.IntN(3)],
			Target:   random.IntN(targets),
			Duration: minStatementDuration + time.Duration(random.Int64N(int64(maxStatementDuration-minStatementDuration))),
			Rate:     []float64{0, 0.7, 2.5, 6, 15}[random.IntN(5)],
		}
		busy := 0
		for _, until := range free {
			if until > at {
				busy++
			}
		}
		if free[s.Target] > at || busy >= targets-1 {
			continue
		}
		free[s.Target] = at + s.Duration + drainLimit
		steps = append(steps, s)
	}
	return steps
}

// statedSpan is a time in which a backend server states something.
type statedSpan struct {
	interval
	host      *host
	statement waxwingseam.Statement
	// runs are the runs of the server, known at the end of the soak.
	runs []imitator.Run
}

// state makes a backend server state something for the duration of a step. A leaving
// server is replaced: its node restarts, and it states nothing any more. The result
// describes a process that did not stop or start; it is empty otherwise.
func (d *deployment) state(s Step) string {
	h := d.hosts[s.Target]
	span := statedSpan{
		interval:  interval{from: time.Now()},
		host:      h,
		statement: waxwingseam.Statement{Limited: s.Fault == FaultBackendLimited, Rate: s.Rate, Leaving: s.Fault == FaultBackendLeaving},
	}
	h.server.SetStatement(span.statement)
	time.Sleep(s.Duration)
	span.to = time.Now()
	d.addSpan(span)
	h.server.SetStatement(waxwingseam.Statement{})
	if s.Fault != FaultBackendLeaving {
		return ""
	}
	h.faultMu.Lock()
	defer h.faultMu.Unlock()
	return disturbProcess(h.process, Step{Fault: FaultNodeStop})
}

func (d *deployment) addSpan(s statedSpan) {
	d.spanMu.Lock()
	defer d.spanMu.Unlock()
	d.spans = append(d.spans, s)
}

const (
	// Between limitSettleTime after the first answer with a rate limit and its end, a
	// backend server gets at most limitFactor times the requests that the limit allows,
	// and limitSlack, in each limitWindow, from nodes that passed on such an answer
	// toldDelay before or earlier.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	toldDelay       = 500 * time.Millisecond
	// leaveTime passes from an answer that says that the server is leaving until no
	// later request reaches it from the node that passed the answer on.
	leaveTime = 2 * time.Second
)

// statedRun is a run of a caller's request at a server that stated something.
type statedRun struct {
	began   time.Time
	request *request
	// told is when the node of the request had passed on an answer with the statement.
	told time.Time
}

// toldRuns returns the runs during a span whose nodes had passed on an answer with the
// statement. A node that was stopped, killed or paused meanwhile must pass on another.
func (e evidence) toldRuns(s statedSpan) []statedRun {
	byTag := map[string]*request{}
	for _, r := range e.requests {
		byTag[r.tag] = r
	}
	var out []statedRun
	for _, run := range s.runs {
		r, ok := byTag[run.Tag]
		if !ok || run.Began.Before(s.from) || run.Began.After(s.to) {
			continue
		}
		if told, ok := e.toldAt(s, r.host, run.Began); ok {
			out = append(out, statedRun{began: run.Began, request: r, told: told})
		}
	}
	slices.SortFunc(out, func(a, b statedRun) int { return a.began.Compare(b.began) })
	return out
}

// toldAt returns when a node first passed on an answer with the statement of a span,
// since its last disturbance before a time.
func (e evidence) toldAt(s statedSpan, node *host, before time.Time) (time.Time, bool) {
	stopping, disturbed, _ := node.intervals()
	since := s.from
	for _, v := range slices.Concat(stopping, disturbed) {
		if v.from.Before(before) && (v.to.IsZero() || v.to.After(since)) {
			since = v.to
			if v.to.IsZero() {
				return time.Time{}, false
			}
		}
	}
	var first time.Time
	for _, r := range e.requests {
		if r.host == node && r.server == s.host.name && r.stated == s.statement &&
			r.ended.After(since) && r.ended.Before(before) && (first.IsZero() || r.ended.Before(first)) {
			first = r.ended
		}
	}
	return first, !first.IsZero()
}

// keptLimits checks that no backend server got more requests than the rate limits allow
// that it named.
func keptLimits(e evidence) []string {
	var violations []string
	for _, s := range e.spans {
		if !s.statement.Limited {
			continue
		}
		allowed := limitFactor*s.statement.Rate*limitWindow.Seconds() + limitSlack
		var window []time.Time
		for _, r := range e.toldRuns(s) {
			if r.began.Sub(s.from) < limitSettleTime || r.began.Sub(r.told) < toldDelay {
				continue
			}
			window = append(window, r.began)
			for r.began.Sub(window[0]) >= limitWindow {
				window = window[1:]
			}
			if float64(len(window)) > allowed {
				violations = append(violations, fmt.Sprintf("%s named a limit of %g a second and got %d requests in %v, allowed %g",
					s.host.name, s.statement.Rate, len(window), limitWindow, allowed))
				break
			}
		}
	}
	return violations
}

// keptLeaving checks that no request reached a leaving backend server that was sent
// leaveTime after its node had passed on an answer which says so. A restart of the node
// beside the server ends the check: the server reports no incarnation of its own, so that
// it counts as another one.
func keptLeaving(e evidence) []string {
	var violations []string
	for _, s := range e.spans {
		if !s.statement.Leaving {
			continue
		}
		stopping, disturbed, _ := s.host.intervals()
		for _, r := range e.toldRuns(s) {
			late := r.request.sent.Sub(r.told)
			if late > leaveTime && !anyOverlaps(slices.Concat(stopping, disturbed), interval{s.from, r.began}) {
				violations = append(violations, fmt.Sprintf("%s got %s, sent %v after %s knew that it was leaving",
					s.host.name, r.request.tag, late.Round(time.Millisecond), r.request.host.name))
				break
			}
		}
	}
	return violations
}
