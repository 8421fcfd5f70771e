package balancer

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// faultGain is the weight of one more end in a server's share of faults: a
	// server that faults two calls of five is known after ten, one that faults
	// one of 25 hardly ever.
	faultGain = 0.05
	// faultMargin is by how much a server's share must exceed the least one.
	faultMargin = 0.15
	// maxFaultHold is how long a server comes after the others for one more
	// fault, spread from half of it; it has its share again within 2 s of its
	// recovery.
	maxFaultHold = 1500 * time.Millisecond
)

// faults is the share of a server's ends that it failed, or refused though the
// node beside it had room. Load pattern: servers that fail a part of their
// requests while their health check is good. An ejection would take away what
// they still do; here they only come after the others.
type faults struct {
	share float64
	// until is when the server may be chosen like the others again; the next
	// fault holds it once more.
	until time.Time
}

// note takes an ended attempt into a server's share of faults.
func (t *target) note(c *waxwingseam.Context, r waxwingseam.Result) {
	faulted, known := failure(r)
	switch {
	case r.Completed() && r.RefusedBelow:
		// What was refused further down tells nothing of this server.
		return
	case r.Reason == waxwingseam.ReasonServerRefused:
		faulted = true
	case !known:
		return
	}
	t.faults.share *= 1 - faultGain
	if !faulted {
		return
	}
	t.faults.share += faultGain
	if t.faults.share >= faultMargin+t.pool.leastFaults(c.Now) {
		hold := maxFaultHold / 2
		t.faults.until = c.Now.Add(hold + time.Duration(c.Random().Int64N(int64(hold))))
	}
}

// leastFaults returns the least share of faults among the members.
func (p *pool) leastFaults(now time.Time) float64 {
	least := math.Inf(1)
	for _, t := range p.members {
		if !t.health.ejected(now) {
			least = min(least, t.faults.share)
		}
	}
	return least
}

// faulty rejects servers that faulted lately, while a sound one takes the call:
// it has room, or it refuses others for less important calls than this one.
func faulty(c *waxwingseam.Context, q waxwingseam.Query, t *target) bool {
	return t.held(c) && t.pool.sound(c, q)
}

func (t *target) held(c *waxwingseam.Context) bool {
	return c.Now.Before(t.faults.until)
}

// sound reports whether a server that did not fault lately takes a call.
func (p *pool) sound(c *waxwingseam.Context, q waxwingseam.Query) bool {
	for _, t := range p.members {
		if t.held(c) || t.health.ejected(c.Now) || refusing(c, q, t) || tried(c, q, t) {
			continue
		}
		if t.shedding(c) || t.used(c) < t.limit(c.Now) {
			return true
		}
	}
	return false
}
