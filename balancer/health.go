package balancer

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// failureGain is the weight of one more end in a server's failure share.
	failureGain = 0.1
	// minEnds is how many ends must be known before a server is judged.
	minEnds = 5
	// ejectShare is the failure share from which a server may be ejected.
	ejectShare = 0.5
	// ejectMargin is by how much it must exceed that of the other servers.
	ejectMargin = 0.5
	// firstEjection is the time of a first ejection, doubled for each that
	// follows up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 2 * time.Second
	// ejectableDivisor bounds the ejected servers to their number divided by it.
	ejectableDivisor = 3
)

// health is what a server's ends say of it.
type health struct {
	ends     int
	failures float64
	// until is when an ejection ends; one probe goes out then.
	until time.Time
	out   bool
	// probing is set while the probe has not ended.
	probing bool
	// times counts the ejections that followed one another.
	times int
}

// ejected reports whether no call may go to the server.
func (h *health) ejected(now time.Time) bool {
	return h.out && (h.probing || now.Before(h.until))
}

// probe notes that a call goes to the server.
func (h *health) probe(now time.Time) {
	if h.out && !now.Before(h.until) {
		h.probing = true
	}
}

// judge takes an ended attempt into a server's health, and ejects the server or
// takes it back in.
func (p *pool) judge(c *waxwingseam.Context, t *target, f waxwingseam.Feedback) {
	failed, known := failure(f.Result)
	if !known {
		t.health.probing = false
		return
	}
	h := &t.health
	h.ends++
	before := h.failures
	h.failures *= 1 - failureGain
	if failed {
		h.failures += failureGain
	}
	p.failing += h.failures - before
	if h.out {
		p.judgeProbe(c, t, failed)
		return
	}
	if failed && p.outlier(t) {
		p.eject(c, t)
	}
}

// judgeProbe ends an ejection when the probe does well.
func (p *pool) judgeProbe(c *waxwingseam.Context, t *target, failed bool) {
	h := &t.health
	if !h.probing {
		return
	}
	h.probing = false
	if failed {
		p.extend(c, h)
		return
	}
	h.out = false
	h.times = 0
	h.ends = 0
	p.failing -= h.failures
	h.failures = 0
	p.ejected--
}

// outlier reports whether a server fails far more than the others do.
func (p *pool) outlier(t *target) bool {
	others := len(p.members) - 1
	if others < 1 || t.health.ends < minEnds || p.ejected >= p.ejectable() {
		return false
	}
	mean := (p.failing - t.health.failures) / float64(others)
	return t.health.failures >= ejectShare && t.health.failures >= mean+ejectMargin
}

// ejectable is how many servers may be ejected at once.
func (p *pool) ejectable() int {
	return max(len(p.members)/ejectableDivisor, 1)
}

func (p *pool) eject(c *waxwingseam.Context, t *target) {
	t.health.out = true
	p.ejected++
	p.extend(c, &t.health)
}

// extend sets the end of an ejection, spread so that nodes do not probe at once.
func (p *pool) extend(c *waxwingseam.Context, h *health) {
	span := min(firstEjection<<min(h.times, 4), maxEjection)
	h.times++
	h.until = c.Now.Add(span/2 + time.Duration(c.Random().Int64N(int64(span/2))))
}

// failure reports whether an end shows a failing server; known is unset where
// it shows nothing of the server. A failure that comes from further down shows at
// all servers alike, and ejects none.
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
