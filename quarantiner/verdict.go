package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// threshold is how many ends a request must explain to be refused. An end of a
	// server that had not completed any run counts half.
	threshold = 3
	// settleTime is how long after the end that reaches the threshold other nodes may
	// report that the request has run well.
	settleTime = 200 * time.Millisecond
	// tieTime replaces settleTime while other requests explain as many ends.
	tieTime = time.Second
	// holdTime is how long a request is refused after the latest end that it explains.
	// After it, the request is on trial.
	holdTime = time.Hour
	// unprovenHoldTime replaces holdTime if too few ends are proven: the servers may be
	// at fault, and a better version of them may come soon.
	unprovenHoldTime = time.Minute
	// retention is how long after the latest end a request is forgotten.
	retention = 2 * holdTime
	// trialRetryAfter is when a request on trial that may not run now may be sent again.
	trialRetryAfter = time.Minute
	// trialTimeout is how long a trial run may take before another one may start.
	trialTimeout = time.Minute
)

// verdict is the decision to refuse a request.
type verdict struct {
	request waxwingseam.QuarantinedRequest
	// server is set if all ends are of this server, which may be at fault: only its node
	// refuses the request, so that another server tries it.
	server waxwingseam.ServerName
	// latest is the latest end that the request explains.
	latest time.Time
	// ordered is set if an operator has the request refused.
	ordered bool
	// trial is the call that tries the request here, and trialSince when it was
	// allowed.
	trial      waxwingseam.CallID
	trialSince time.Time
}

// hold returns how long the request is refused, and then on trial.
func (v *verdict) hold() time.Duration {
	if v.request.Proven < threshold && !v.ordered {
		return unprovenHoldTime
	}
	return holdTime
}

// update sets the state for a time.
func (v *verdict) update(now time.Time) {
	v.request.State, v.request.Until = waxwingseam.QuarantineSet, v.latest.Add(v.hold())
	if !now.Before(v.request.Until) {
		v.request.State, v.request.Until = waxwingseam.QuarantineTrial, v.latest.Add(retention)
	}
}

// Check implements waxwingseam.Quarantine.
func (q *quarantiner) Check(c *waxwingseam.Context, id waxwingseam.CallID, f waxwingseam.Fingerprint) (reason waxwingseam.Reason, retryAfter time.Duration) {
	v, ok := q.verdicts[f.Digest]
	if !ok || v.server != "" && v.server != c.Self.Name {
		return waxwingseam.ReasonNone, 0
	}
	v.update(c.Now)
	reason = waxwingseam.ReasonQuarantined
	if v.server != "" {
		reason = waxwingseam.ReasonEndsServer
	}
	if v.request.State == waxwingseam.QuarantineSet {
		return reason, v.request.Until.Sub(c.Now)
	}
	trying := !v.trial.IsZero() && c.Now.Sub(v.trialSince) < trialTimeout
	if trying || !q.triesHere(c, v) {
		return reason, trialRetryAfter
	}
	v.trial, v.trialSince = id, c.Now
	return waxwingseam.ReasonNone, 0
}

// triesHere reports whether the node is the one of its service that tries a request again.
func (q *quarantiner) triesHere(c *waxwingseam.Context, v *verdict) bool {
	if v.server != "" {
		return v.server == c.Self.Name
	}
	key := v.request.Digest.String()
	own := rendezvous(key, c.Self.Name)
	for name, s := range q.servers {
		if s.Service == c.Self.Service && !s.Leaving && rendezvous(key, name) < own {
			return false
		}
	}
	return true
}

// endTrial ends the trial that a call made.
func (q *quarantiner) endTrial(id waxwingseam.CallID) {
	for _, v := range q.verdicts {
		if v.trial == id {
			v.trial = waxwingseam.CallID{}
		}
	}
}

// convicted returns the requests with a verdict in order.
func (q *quarantiner) convicted() []waxwingseam.RequestDigest {
	return slices.SortedFunc(maps.Keys(q.verdicts), compareDigests)
}

func compareDigests(a, b waxwingseam.RequestDigest) int {
	return slices.Compare(a[:], b[:])
}

// account is what a request explains.
type account struct {
	suspect *suspect
	ends    []*end
}

// proven counts the proven ends.
func (a account) proven() int {
	n := 0
	for _, e := range a.ends {
		if e.proven {
			n++
		}
	}
	return n
}

// servers counts the names of the servers that have ended.
func (a account) servers() int {
	names := map[waxwingseam.ServerName]bool{}
	for _, e := range a.ends {
		names[e.id.Server] = true
	}
	return len(names)
}

// suffices reports whether the ends are enough to refuse the request.
func (a account) suffices() bool {
	if slices.ContainsFunc(a.ends, func(e *end) bool { return e.ordered }) {
		return true
	}
	proven := a.proven()
	return 2*proven+(len(a.ends)-proven) >= 2*threshold
}

// onlyServer returns the server that has ended if it is the only one and its service has
// others; empty otherwise.
func (q *quarantiner) onlyServer(a account) waxwingseam.ServerName {
	first := a.ends[0]
	if first.ordered || a.servers() > 1 || q.serversOf(first.service) < 2 {
		return ""
	}
	return first.id.Server
}

// serversOf counts the known servers of a service.
func (q *quarantiner) serversOf(service waxwingseam.ServiceName) int {
	n := 0
	for _, s := range q.servers {
		if s.Service == service {
			n++
		}
	}
	return n
}

// reachedAt returns when the threshold was reached.
func (a account) reachedAt() time.Time {
	times := make([]time.Time, 0, len(a.ends))
	for _, e := range a.ends {
		times = append(times, e.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[min(threshold, len(times))-1]
}

// judge decides which requests are refused. The request that is at most ends explains
// these, so that they no longer count against the requests beside it; then the same is
// asked of the ends that are left.
func (q *quarantiner) judge(c *waxwingseam.Context) {
	explained := map[*end]bool{}
	for _, digest := range q.convicted() {
		q.review(c, digest, explained)
	}
	for {
		leaders, runnerUp := q.leaders(explained)
		if len(leaders) == 0 {
			break
		}
		wait := settleTime
		if len(leaders) > 1 {
			wait = tieTime
		}
		if left := wait - c.Now.Sub(leaders[0].reachedAt()); left > 0 {
			arm(c, TimerJudge, left)
			break
		}
		for _, a := range leaders {
			q.convict(c, a, runnerUp)
		}
		for _, a := range leaders {
			explain(a.ends, explained)
		}
	}
	q.watch(c)
}

// review keeps a verdict as long as enough ends are left.
func (q *quarantiner) review(c *waxwingseam.Context, digest waxwingseam.RequestDigest, explained map[*end]bool) {
	v := q.verdicts[digest]
	if s, ok := q.table.suspects[digest]; ok {
		if a := (account{s, s.open()}); len(a.ends) > 0 && a.suffices() {
			q.base(v, a)
			explain(a.ends, explained)
			return
		}
	}
	delete(q.verdicts, digest)
	v.request.State, v.request.Until = waxwingseam.QuarantineLifted, time.Time{}
	c.Emit(waxwingseam.QuarantineChanged{Request: v.request})
}

func explain(ends []*end, explained map[*end]bool) {
	for _, e := range ends {
		explained[e] = true
	}
}

// leaders returns the requests that explain most of the ends that are not explained yet, if
// these are enough, and how many ends the next request explains.
func (q *quarantiner) leaders(explained map[*end]bool) (leaders []account, runnerUp int) {
	for _, s := range q.table.suspects {
		a := account{suspect: s}
		for _, e := range s.open() {
			if !explained[e] {
				a.ends = append(a.ends, e)
			}
		}
		if _, ok := q.verdicts[s.fingerprint.Digest]; ok || len(a.ends) == 0 {
			continue
		}
		switch {
		case !a.suffices():
			runnerUp = max(runnerUp, len(a.ends))
		case len(leaders) == 0 || len(a.ends) > len(leaders[0].ends):
			if len(leaders) > 0 {
				runnerUp = max(runnerUp, len(leaders[0].ends))
			}
			leaders = append(leaders[:0], a)
		case len(a.ends) == len(leaders[0].ends):
			leaders = append(leaders, a)
		default:
			runnerUp = max(runnerUp, len(a.ends))
		}
	}
	slices.SortFunc(leaders, func(a, b account) int {
		return compareDigests(a.suspect.fingerprint.Digest, b.suspect.fingerprint.Digest)
	})
	return leaders, runnerUp
}

// convict refuses a request from now on.
func (q *quarantiner) convict(c *waxwingseam.Context, a account, runnerUp int) {
	v := &verdict{request: waxwingseam.QuarantinedRequest{
		Digest:   a.suspect.fingerprint.Digest,
		RunnerUp: runnerUp,
	}}
	q.base(v, a)
	v.update(c.Now)
	q.verdicts[v.request.Digest] = v
	c.Emit(waxwingseam.QuarantineChanged{Request: v.request})
}

// base bases a verdict on ends.
func (q *quarantiner) base(v *verdict, a account) {
	v.request.Ends, v.request.Servers, v.request.Proven = len(a.ends), a.servers(), a.proven()
	latest := slices.MaxFunc(a.ends, func(a, b *end) int { return a.at.Compare(b.at) })
	v.latest = latest.at
	v.ordered = slices.ContainsFunc(a.ends, func(e *end) bool { return e.ordered })
	v.server = q.onlyServer(a)
}

// watch has the requests with a verdict reported with their digests.
func (q *quarantiner) watch(c *waxwingseam.Context) {
	heads := make([]uint64, 0, len(q.verdicts))
	for digest := range q.verdicts {
		heads = append(heads, q.table.suspects[digest].fingerprint.Head)
	}
	slices.Sort(heads)
	heads = slices.Compact(heads)
	if !slices.Equal(heads, q.watched) {
		q.watched = heads
		c.Emit(waxwingseam.WatchRequests{Heads: heads})
	}
}

// expire removes the ends that no longer matter.
func (q *quarantiner) expire(c *waxwingseam.Context) {
	for _, e := range q.table.sorted() {
		latest := e.at
		for digest, cleared := range e.cleared {
			if v, ok := q.verdicts[digest]; ok && !cleared {
				latest = maxTime(latest, v.latest)
			}
		}
		if c.Now.Sub(latest) > retention {
			q.table.remove(e)
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// bound removes ends until there are few enough.
func (q *quarantiner) bound() {
	for len(q.table.ends) > maxEnds {
		sorted := q.table.sorted()
		victim := slices.MinFunc(sorted, func(a, b *end) int {
			return cmp.Compare(q.verdictsOf(a), q.verdictsOf(b))
		})
		q.table.remove(victim)
	}
}

// verdictsOf counts the verdicts that are based on an end.
func (q *quarantiner) verdictsOf(e *end) int {
	n := 0
	for digest, cleared := range e.cleared {
		if _, ok := q.verdicts[digest]; ok && !cleared {
			n++
		}
	}
	return n
}
