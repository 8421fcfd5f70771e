package experimenter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// minRecoveryWindow is the shortest window in which recovery is judged,
	// minRecoveryRequests the fewest requests expected in it.
	minRecoveryWindow   = 500 * time.Millisecond
	minRecoveryRequests = 100
	// recoveryStep is the time between the starts of two windows.
	recoveryStep = 100 * time.Millisecond
	// recoveredShare is the share of the earlier success that counts as recovered.
	recoveredShare = 0.95
)

// Report is the result of one run.
type Report struct {
	Layer string
	// Goodput is the rate of requests served during the trigger, per second.
	Goodput float64
	// ByKind is the goodput of each kind of request, per second, in the order of
	// Deployment.RequestKinds.
	ByKind []float64
	// OnTimeByKind is the part of ByKind that met its objective.
	OnTimeByKind []float64
	// IssuedByKind is the rate of requests of each kind issued during the trigger, per
	// second.
	IssuedByKind []float64
	// BoundByKind is what an admission could have served at best of each kind, per
	// second: the most important requests first, equal shares between equals, with the
	// demand, the servers' capacity and their refusals of each second, and nothing moved
	// between seconds.
	BoundByKind []float64
	// Recovery is the time from the trigger's end until requests succeed as
	// before it; Recovered reports whether they did.
	Recovery  time.Duration
	Recovered bool
	// Wasted is the share of the backend servers' work that was for failed roots.
	Wasted float64
	// AttemptsPerRoot is the mean, MaxAttempts the maximum over all roots.
	AttemptsPerRoot float64
	MaxAttempts     int
	// Refusals counts the refused roots of each kind of request.
	Refusals []int
	// RefusalReasons counts the refused roots by reason.
	RefusalReasons map[waxwingseam.Reason]int
	// Failures counts the roots that failed otherwise.
	Failures int
	// Inversions counts calls refused for overload by a server that, after their
	// arrival, started a less important call of no greater depth. Overtaken counts
	// refused calls for which the server started only less important calls of
	// greater depth; these belong to roots that were admitted earlier.
	Inversions int
	Overtaken  int
	// P99 is the 99th percentile of the latency of served roots.
	P99 time.Duration
	// SuccessBefore is the share of requests from before the trigger that were
	// served.
	SuccessBefore float64
	// SlotTimes tells what became of the slot time of each service, in the order of
	// Deployment.Tiers.
	SlotTimes []SlotTime
	// OpenCalls counts the calls without an answer at the end.
	OpenCalls int
}

func (t *tally) report(w *World) Report {
	r := Report{
		Layer:    w.config.Layer.Name,
		Refusals: t.refusals,

		RefusalReasons: t.refusalReasons,
		Failures:       t.failures,
		Inversions:     t.inversions,
		Overtaken:      t.overtaken,
		OpenCalls:      w.openCalls(),
	}
	triggerSeconds := (w.config.TriggerEnd - w.config.TriggerStart).Seconds()
	for i, n := range t.served {
		r.IssuedByKind = append(r.IssuedByKind, float64(t.issuedDuringTrigger(w, i))/triggerSeconds)
		r.OnTimeByKind = append(r.OnTimeByKind, float64(t.onTime[i])/triggerSeconds)
		r.ByKind = append(r.ByKind, float64(n)/triggerSeconds)
		r.Goodput += float64(n) / triggerSeconds
	}
	if t.latency != nil {
		r.P99 = time.Duration(t.latency.ValueAtQuantile(99)) * time.Microsecond
	}
	t.reportRoots(&r)
	r.BoundByKind = t.boundByKind(w)
	r.SlotTimes = t.slots.report(w, t.roots)
	r.SuccessBefore = t.successShare(w, 0, w.config.TriggerStart)
	r.Recovery, r.Recovered = t.recovery(w, r.SuccessBefore)
	return r
}

// issuedDuringTrigger returns the number of requests of a kind issued during the
// trigger.
func (t *tally) issuedDuringTrigger(w *World, kind int) int {
	n := 0
	for _, q := range t.requests {
		at := q.issued.Sub(w.startTime)
		if q.kind == kind && at >= w.config.TriggerStart && at < w.config.TriggerEnd {
			n++
		}
	}
	return n
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

// successShare returns the share of requests issued in [from, to) that were
// served, without those whose callers left.
func (t *tally) successShare(w *World, from, to time.Duration) float64 {
	issued, served := 0, 0
	for _, q := range t.requests {
		at := q.issued.Sub(w.startTime)
		if at < from || at >= to || q.callerLeft {
			continue
		}
		issued++
		if q.served {
			served++
		}
	}
	if issued == 0 {
		return 1
	}
	return float64(served) / float64(issued)
}

// recovery returns the time from the trigger's end until requests succeed as
// before the trigger, and reports whether they do.
func (t *tally) recovery(w *World, before float64) (time.Duration, bool) {
	window := w.config.recoveryWindow()
	end := w.config.Duration - window
	for at := end; at >= w.config.TriggerEnd; at -= recoveryStep {
		if t.successShare(w, at, at+window) < recoveredShare*before {
			return at + recoveryStep - w.config.TriggerEnd, at < end
		}
	}
	return 0, true
}

// recoveryWindow returns the time in which the base demand issues enough
// requests to tell recovery from chance.
func (c Config) recoveryWindow() time.Duration {
	rate := max(c.Demand.Base*c.Capacity, 1)
	return max(minRecoveryWindow, time.Duration(minRecoveryRequests/rate*float64(time.Second)))
}
