package balancer

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// failureGain is the weight of the newest attempt in a server's failure rate.
	failureGain = 0.1
	// minAttempts is the number of results needed before a server may be ejected.
	minAttempts = 5
	// minEjectionRate is the lowest failure rate at which a server may be ejected.
	minEjectionRate = 0.5
	// ejectionMargin is the least difference between the server's failure rate
	// and the mean rate of the others at which the server may be ejected.
	ejectionMargin = 0.5
	// firstEjection is the longest duration of a first ejection; the actual
	// duration is random, at least half of it. Each consecutive ejection
	// doubles it, up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 2 * time.Second
	// ejectableDivisor bounds the ejected servers: one in ejectableDivisor
	// servers, and always at least one, may be ejected at a time.
	ejectableDivisor = 3
)

// health is the state of a server in outlier detection.
type health struct {
	attempts    int
	failureRate float64
	// ejectedUntil is when an ejection ends and one call is sent as a probe.
	ejectedUntil time.Time
	// suspended is set from an ejection until a probe succeeds.
	suspended bool
	// probing is set while a probe is in flight.
	probing bool
	// ejections counts consecutive ejections.
	ejections int
}

// ejected reports whether the server is ejected: its ejection has not ended
// yet, or a probe is in flight.
func (h *health) ejected(now time.Time) bool {
	return h.suspended && (h.probing || now.Before(h.ejectedUntil))
}

// startProbe marks a call to the server as a probe if its ejection has ended.
func (h *health) startProbe(now time.Time) {
	if h.suspended && !now.Before(h.ejectedUntil) {
		h.probing = true
	}
}

// observeHealth updates a server's failure rate with an ended attempt, and
// ejects or readmits the server accordingly.
func (p *pool) observeHealth(c *waxwingseam.Context, t *target, f waxwingseam.Feedback) {
	failed, known := failure(f.Result)
	if !known {
		t.health.probing = false
		return
	}
	h := &t.health
	h.attempts++
	before := h.failureRate
	h.failureRate *= 1 - failureGain
	if failed {
		h.failureRate += failureGain
	}
	p.failureRateSum += h.failureRate - before
	if h.suspended {
		p.observeProbe(c, t, failed)
		return
	}
	if failed && p.outlier(t) {
		p.eject(c, t)
	}
}

// observeProbe ends an ejection if its probe succeeded, or extends it.
func (p *pool) observeProbe(c *waxwingseam.Context, t *target, failed bool) {
	h := &t.health
	if !h.probing {
		return
	}
	h.probing = false
	if failed {
		p.setEjectionEnd(c, h)
		return
	}
	h.suspended = false
	h.ejections = 0
	h.attempts = 0
	p.failureRateSum -= h.failureRate
	h.failureRate = 0
	p.ejected--
}

// outlier reports whether a server fails far more often than the others.
func (p *pool) outlier(t *target) bool {
	others := len(p.members) - 1
	if others < 1 || t.health.attempts < minAttempts || p.ejected >= p.maxEjected() {
		return false
	}
	mean := (p.failureRateSum - t.health.failureRate) / float64(others)
	return t.health.failureRate >= minEjectionRate && t.health.failureRate >= mean+ejectionMargin
}

// maxEjected returns how many servers may be ejected at once.
func (p *pool) maxEjected() int {
	return max(len(p.members)/ejectableDivisor, 1)
}

func (p *pool) eject(c *waxwingseam.Context, t *target) {
	t.health.suspended = true
	p.ejected++
	p.setEjectionEnd(c, &t.health)
}

// setEjectionEnd starts or prolongs an ejection. Its length is partly random,
// so that nodes do not all probe at once.
func (p *pool) setEjectionEnd(c *waxwingseam.Context, h *health) {
	span := min(firstEjection<<min(h.ejections, 4), maxEjection)
	h.ejections++
	h.ejectedUntil = c.Now.Add(span/2 + time.Duration(c.Random().Int64N(int64(span/2))))
}

// failure reports whether a result shows that the server failed; known is
// false if it says nothing about the server. A failure further down the call
// tree counts too, but affects all servers alike, so that none of them is
// ejected.
func failure(r waxwingseam.Result) (failed, known bool) {
	if r.Completed() {
		return r.Failed(), true
	}
	switch r.Reason {
	case waxwingseam.ReasonConnectionFailed, waxwingseam.ReasonConnectionSilent, waxwingseam.ReasonServerFailed,
		waxwingseam.ReasonDigestMismatch:
		return true, true
	case waxwingseam.ReasonDeadline:
		return !r.Reached, !r.Reached
	}
	return false, false
}
