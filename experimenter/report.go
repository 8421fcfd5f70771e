package experimenter

import (
	"time"
)

const (
	// recoveryWindow is the least time over which recovery is judged,
	// recoveryRequests how many requests it takes.
	recoveryWindow   = 500 * time.Millisecond
	recoveryRequests = 100
	// recoveryStep is the time between two windows.
	recoveryStep = 100 * time.Millisecond
	// recoveredShare is the share of the earlier success that counts as recovered.
	recoveredShare = 0.95
)

// Report is what came of one run.
type Report struct {
	Layer string
	// Goodput is served requests per second while the trigger was on.
	Goodput float64
	// ByKind is the same for each kind of request.
	ByKind []float64
	// Recovery is the time from the trigger's end until requests succeed as
	// before; Recovered is unset when that did not come.
	Recovery  time.Duration
	Recovered bool
	// Wasted is the share of the backend servers' work that went to roots
	// which failed.
	Wasted float64
	// AttemptsPerRoot is the mean, MaxAttempts the most of one root.
	AttemptsPerRoot float64
	MaxAttempts     int
	// Refusals counts refused roots for each kind of request.
	Refusals []int
	// Failures counts roots that ended otherwise.
	Failures int
	// Inversions counts calls refused for overload at a server that meanwhile
	// started a less important call of no greater depth; Overtaken counts those
	// where it was deeper, the work of a root admitted before.
	Inversions int
	Overtaken  int
	// P99 is the latency of served roots.
	P99 time.Duration
	// SuccessBefore is the share of requests served before the trigger.
	SuccessBefore float64
	// OpenCalls counts the calls without an answer at the end.
	OpenCalls int
}

func (t *tally) report(w *World) Report {
	r := Report{
		Layer:      w.config.Layer.Name,
		Refusals:   t.refusals,
		Failures:   t.failures,
		Inversions: t.inversions,
		Overtaken:  t.overtaken,
		OpenCalls:  w.openCalls(),
	}
	on := (w.config.TriggerEnd - w.config.TriggerStart).Seconds()
	for _, n := range t.served {
		r.ByKind = append(r.ByKind, float64(n)/on)
		r.Goodput += float64(n) / on
	}
	if t.latency != nil {
		r.P99 = time.Duration(t.latency.ValueAtQuantile(99)) * time.Microsecond
	}
	t.reportRoots(&r)
	r.SuccessBefore = t.success(w, 0, w.config.TriggerStart)
	r.Recovery, r.Recovered = t.recovery(w, r.SuccessBefore)
	return r
}

func (t *tally) reportRoots(r *Report) {
	var work, wasted time.Duration
	attempts := 0
	for _, v := range t.roots {
		work += v.work
		attempts += v.attempts
		r.MaxAttempts = max(r.MaxAttempts, v.attempts)
		if !v.served {
			wasted += v.work
		}
	}
	if work > 0 {
		r.Wasted = float64(wasted) / float64(work)
	}
	if len(t.roots) > 0 {
		r.AttemptsPerRoot = float64(attempts) / float64(len(t.roots))
	}
}

// success returns the share of the requests issued in a time that were served,
// of those whose callers stayed.
func (t *tally) success(w *World, from, to time.Duration) float64 {
	issued, served := 0, 0
	for _, q := range t.requests {
		at := q.issued.Sub(w.zero)
		if at < from || at >= to || q.left {
			continue
		}
		issued++
		if q.done {
			served++
		}
	}
	if issued == 0 {
		return 1
	}
	return float64(served) / float64(issued)
}

// recovery returns the time from the trigger's end from which on requests do
// as well as before, judged over windows of enough requests.
func (t *tally) recovery(w *World, before float64) (time.Duration, bool) {
	window := w.config.window()
	end := w.config.Duration - window
	for at := end; at >= w.config.TriggerEnd; at -= recoveryStep {
		if t.success(w, at, at+window) < recoveredShare*before {
			return at + recoveryStep - w.config.TriggerEnd, at < end
		}
	}
	return 0, true
}

// window is the time in which the usual demand issues enough requests to tell
// recovery from chance.
func (c Config) window() time.Duration {
	rate := max(c.Demand.Base*c.Capacity, 1)
	return max(recoveryWindow, time.Duration(recoveryRequests/rate*float64(time.Second)))
}
