package balancer

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// faultGain is the weight of the newest attempt in a server's fault rate. A
	// server that faults on two of five calls is demoted after ten calls, one that
	// faults on one of 25 hardly ever.
	faultGain = 0.05
	// faultMargin is how far above the lowest fault rate a server's rate must
	// be for a fault to demote the server.
	faultMargin = 0.15
	// maxDemotion is the longest demotion after one fault; the actual duration
	// is random, at least half of it. With this limit, a server regains its
	// share within 2 s of its recovery.
	maxDemotion = 1500 * time.Millisecond
)

// faults tracks how often a server fails attempts, or refuses them although its
// node has room. Some servers fail a part of their requests while their health
// check passes. Ejecting such a server would lose the capacity that it still
// has, so it is demoted: the other servers are preferred.
type faults struct {
	rate float64
	// demotedUntil is when the demotion ends; a further fault may extend it.
	demotedUntil time.Time
}

// observeFault updates the server's fault rate with the result of an attempt,
// and demotes the server if the attempt faulted and the rate is too far above
// the lowest one.
func (t *target) observeFault(c *waxwingseam.Context, r waxwingseam.Result) {
	faulted, known := failure(r)
	switch {
	case r.Completed() && r.RefusedBelow:
		// A refusal further down the call tree says nothing about this server.
		return
	case r.Reason == waxwingseam.ReasonServerRefused:
		faulted = true
	case !known:
		return
	}
	t.faults.rate *= 1 - faultGain
	if !faulted {
		return
	}
	t.faults.rate += faultGain
	if t.faults.rate >= faultMargin+t.pool.minFaultRate(c.Now) {
		demotion := maxDemotion / 2
		t.faults.demotedUntil = c.Now.Add(demotion + time.Duration(c.Random().Int64N(int64(demotion))))
	}
}

// minFaultRate returns the lowest fault rate of members that are not ejected.
func (p *pool) minFaultRate(now time.Time) float64 {
	least := math.Inf(1)
	for _, t := range p.members {
		if !t.health.ejected(now) {
			least = min(least, t.faults.rate)
		}
	}
	return least
}

// demoted rejects demoted servers while another server can accept the call.
func demoted(c *waxwingseam.Context, q waxwingseam.Query, t *target) bool {
	return t.demoted(c) && t.pool.hasUndemotedServer(c, q)
}

func (t *target) demoted(c *waxwingseam.Context) bool {
	return c.Now.Before(t.faults.demotedUntil)
}

// hasUndemotedServer reports whether a server that is not demoted can accept a
// call: it has room, or it sheds only less important calls.
func (p *pool) hasUndemotedServer(c *waxwingseam.Context, q waxwingseam.Query) bool {
	for _, t := range p.members {
		if t.demoted(c) || t.paused(c) || t.health.ejected(c.Now) || refusing(c, q, t) || tried(c, q, t) {
			continue
		}
		if t.shedding(c) || t.usage(c) < t.limit(c.Now) {
			return true
		}
	}
	return false
}
