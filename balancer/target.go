package balancer

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// warmUp is the time in which a new life of a server gets up to its share.
	warmUp = 10 * time.Second
	// coldWeight is the share that it starts with.
	coldWeight = 0.2
	// thresholdTurns is for how many service times a reported threshold is
	// believed, within minThresholdLifetime and maxThresholdLifetime: by then the
	// queue that led to it may have emptied.
	thresholdTurns       = 2
	minThresholdLifetime = 10 * time.Millisecond
	maxThresholdLifetime = 300 * time.Millisecond
	// roomyShare is the share of a server's limit below which its time of service
	// hardly depends on its load.
	roomyShare = 0.75
	// fullWeight is the usual weight of a server's object, in hundredths.
	fullWeight = 100
)

// target is a server with what the node has seen of it.
type target struct {
	server waxwingseam.Server
	pool   *pool
	// born is when this life of the server began, as far as is known.
	born time.Time
	// weight is that of the server's object; drained keeps new work away.
	weight  float64
	drained bool

	load     waxwingseam.Load
	loadAt   time.Time
	inFlight int
	// latency is the usual time of a completed call, in seconds.
	latency average
	health  health
	faults  faults
}

func newTarget(c *waxwingseam.Context, p *pool, s waxwingseam.Server) *target {
	born := c.Now
	if !s.Since.IsZero() && s.Since.Before(born) {
		born = s.Since
	}
	return &target{server: s, pool: p, born: born, weight: 1}
}

// chosen counts an attempt toward the server.
func (t *target) chosen(c *waxwingseam.Context) waxwingseam.Choice {
	t.inFlight++
	t.health.probe(c.Now)
	return waxwingseam.Choice{Server: t.server}
}

// observe takes in an ended attempt.
func (t *target) observe(c *waxwingseam.Context, f waxwingseam.Feedback) {
	t.inFlight = max(t.inFlight-1, 0)
	if f.Result.Reached {
		t.report(c, f.Result.Load)
	}
	t.note(c, f.Result)
	if f.Result.Succeeded() {
		t.observeLatency(c, f.Elapsed)
	}
}

func (t *target) report(c *waxwingseam.Context, load waxwingseam.Load) {
	if load.Leaving != t.load.Leaving {
		t.pool.stale = true
	}
	t.pool.reported(load.Limit)
	t.load = load
	t.loadAt = c.Now
}

func (t *target) observeLatency(c *waxwingseam.Context, elapsed time.Duration) {
	t.latency.add(c.Now, elapsed.Seconds())
	t.pool.latency.add(c.Now, elapsed.Seconds())
}

// leaving reports whether no new work may go to the server.
func (t *target) leaving() bool {
	return t.drained || t.server.Leaving || t.load.Leaving
}

// shedding reports whether the server was seen to refuse calls just now.
func (t *target) shedding(c *waxwingseam.Context) bool {
	lifetime := min(max(thresholdTurns*t.load.ServiceTime, minThresholdLifetime), maxThresholdLifetime)
	return t.load.Shedding && c.Now.Sub(t.loadAt) < lifetime
}

// refuses reports whether the server would refuse a call of a rank. Ranks of
// the threshold's own importance are left to the server.
func (t *target) refuses(c *waxwingseam.Context, r waxwingseam.Rank) bool {
	return t.shedding(c) && r.Importance < t.load.Threshold.Importance
}

// warmth is the share of usual work that the server's age allows, up to 1.
func (t *target) warmth(now time.Time) float64 {
	age := now.Sub(t.born)
	if age >= warmUp {
		return 1
	}
	return coldWeight + (1-coldWeight)*max(age.Seconds(), 0)/warmUp.Seconds()
}

// limit is the calls that the server runs at once, scaled by its weight. It
// fades from what the server reported to the usual one while it does not answer.
func (t *target) limit(now time.Time) float64 {
	keep := fade(now.Sub(t.loadAt))
	limit := keep*float64(t.load.Limit) + (1-keep)*t.pool.usual
	return max(limit*t.weight*t.warmth(now), 1)
}

// roomy reports whether the server has so much of its limit free that distance
// counts for more than load.
func (t *target) roomy(c *waxwingseam.Context) bool {
	if t.shedding(c) || t.load.Waiting > 0 {
		return false
	}
	return t.used(c) < roomyShare*t.limit(c.Now)
}

// used is how many calls the server runs and holds, as far as is known.
func (t *target) used(c *waxwingseam.Context) float64 {
	reported := float64(t.load.InFlight) + float64(t.load.Waiting)
	return max(reported*fade(c.Now.Sub(t.loadAt)), float64(t.inFlight))
}

// cost ranks servers, the lower one preferred: the time that the node's own
// calls ahead of a new one take. What the server reports of others' calls is
// left out: it is old when it arrives, and those who follow it herd. A server that
// faults ends calls sooner than it would do them, and must not attract more by it.
func (t *target) cost(c *waxwingseam.Context) float64 {
	return float64(t.inFlight+1) / t.limit(c.Now) * (t.usualLatency(c) + minLatency) / (1 - t.faults.share)
}

// usualLatency fades from the server's own to that of all servers while it
// does not answer, so that one that was slow is tried again.
func (t *target) usualLatency(c *waxwingseam.Context) float64 {
	keep := fade(c.Now.Sub(t.latency.at))
	return keep*t.latency.value + (1-keep)*t.pool.latency.value
}

// minLatency stands in for the latency of a server that has not answered yet,
// in seconds.
const minLatency = 0.001
