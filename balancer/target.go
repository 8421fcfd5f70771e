package balancer

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// warmUpTime is how long a new incarnation takes to reach its full share.
	warmUpTime = 10 * time.Second
	// initialWarmUpShare is the fraction of the full share at the start.
	initialWarmUpShare = 0.2
	// thresholdServiceTimes is how many service times a reported threshold stays
	// valid, within minThresholdLifetime and maxThresholdLifetime. After that, the
	// queue that caused the threshold may have emptied.
	thresholdServiceTimes = 2
	minThresholdLifetime  = 10 * time.Millisecond
	maxThresholdLifetime  = 300 * time.Millisecond
	// lightLoadShare is the share of a server's limit below which its service time
	// hardly depends on its load.
	lightLoadShare = 0.75
	// fullWeight is the weight in a server's object that means a factor of 1.
	fullWeight = 100
)

// target is a server and what the node has observed of it.
type target struct {
	server waxwingseam.Server
	pool   *pool
	// started is when this incarnation of the server started, as far as is known.
	started time.Time
	// weight and drained are from the server's object; drained stops new work.
	weight  float64
	drained bool

	load     waxwingseam.Load
	loadAt   time.Time
	inFlight int
	// latency is the mean time of a successful call, in seconds.
	latency average
	health  health
	faults  faults
	// known is what answers said of the current incarnation of the server.
	known *knownServer
	pause pause
	// figures is what the answers state of the server's load.
	figures figures
}

func newTarget(c *waxwingseam.Context, p *pool, s waxwingseam.Server) *target {
	started := c.Now
	if !s.Since.IsZero() && s.Since.Before(started) {
		started = s.Since
	}
	return &target{server: s, pool: p, started: started, weight: 1}
}

// choose counts an attempt at the server and returns the server as the choice.
func (t *target) choose(c *waxwingseam.Context, class waxwingseam.ClassName) waxwingseam.Choice {
	choice := waxwingseam.Choice{Server: t.server, Known: t.known.report(c), Patient: t.paused(c)}
	if t.figures.stated {
		choice.Expected = time.Duration(t.expectedEnd(c, class) * float64(time.Second))
		t.figures.sent++
	}
	t.inFlight++
	t.health.startProbe(c.Now)
	return choice
}

// observe updates the server's state with an ended attempt.
func (t *target) observe(c *waxwingseam.Context, f waxwingseam.Feedback) {
	t.inFlight = max(t.inFlight-1, 0)
	if f.Result.Reached {
		t.observeLoad(c, f.Result.Load)
		t.observeStatement(c, f.Result)
		t.pause.observe(c, f.Result)
	}
	t.observeFault(c, f.Result)
	if f.Result.Succeeded() {
		t.observeLatency(c, f.Elapsed)
		t.observeError(c.Now, f)
	}
}

func (t *target) observeLoad(c *waxwingseam.Context, load waxwingseam.Load) {
	if load.Leaving != t.load.Leaving {
		t.pool.stale = true
	}
	t.pool.observeLimit(load.Limit)
	t.load = load
	t.loadAt = c.Now
	t.observeFigures(c, load)
}

func (t *target) observeLatency(c *waxwingseam.Context, elapsed time.Duration) {
	t.latency.add(c.Now, elapsed.Seconds())
	t.pool.latency.add(c.Now, elapsed.Seconds())
}

// leaving reports whether no new work may be sent to the server.
func (t *target) leaving() bool {
	return t.drained || t.server.Leaving || t.load.Leaving || t.known.leaving
}

// shedding reports whether the latest load report is recent enough and says
// that the server sheds load.
func (t *target) shedding(c *waxwingseam.Context) bool {
	lifetime := min(max(thresholdServiceTimes*t.load.ServiceTime, minThresholdLifetime), maxThresholdLifetime)
	return t.load.Shedding && c.Now.Sub(t.loadAt) < lifetime
}

// refuses reports whether the server would refuse a call of a rank. The server
// itself decides on calls of the threshold's importance.
func (t *target) refuses(c *waxwingseam.Context, r waxwingseam.Rank) bool {
	return t.shedding(c) && r.Importance < t.load.Threshold.Importance
}

// warmUpShare returns the part of the full share that the server's age allows.
func (t *target) warmUpShare(now time.Time) float64 {
	age := now.Sub(t.started)
	if age >= warmUpTime {
		return 1
	}
	return initialWarmUpShare + (1-initialWarmUpShare)*max(age.Seconds(), 0)/warmUpTime.Seconds()
}

// limit returns how many calls the server can run at once, scaled by its
// weight and warm-up share, but at least 1. Without new reports, the reported
// limit decays to the mean limit of all servers.
func (t *target) limit(now time.Time) float64 {
	reportedWeight := decay(now.Sub(t.loadAt))
	limit := reportedWeight*float64(t.load.Limit) + (1-reportedWeight)*t.pool.meanLimit
	return max(limit*t.weight*t.warmUpShare(now), 1)
}

// lightlyLoaded reports whether the server has so much spare capacity that
// distance matters more than load.
func (t *target) lightlyLoaded(c *waxwingseam.Context) bool {
	if t.shedding(c) || t.load.Waiting > 0 {
		return false
	}
	return t.usage(c) < lightLoadShare*t.limit(c.Now)
}

// usage returns how many calls the server runs and queues, as far as is known.
func (t *target) usage(c *waxwingseam.Context) float64 {
	reported := float64(t.load.InFlight) + float64(t.load.Waiting)
	return max(reported*decay(c.Now.Sub(t.loadAt)), float64(t.inFlight))
}

// cost returns the estimated time for the node's own calls at the server and a
// new one; servers of lower cost are preferred. The reported calls of other
// nodes are left out: the reports are old on arrival, and nodes that follow
// them all choose the same server. The fault rate raises the cost, because a
// server that faults ends calls early and must not attract more calls by it.
func (t *target) cost(c *waxwingseam.Context) float64 {
	return float64(t.inFlight+1)/t.limit(c.Now)*(t.expectedLatency(c)+minLatency)/(1-t.faults.rate) +
		t.pause.remaining(c.Now).Seconds()
}

// expectedLatency returns the server's mean latency. Without new results it
// decays to the mean of all servers, so that a server that was slow is tried
// again.
func (t *target) expectedLatency(c *waxwingseam.Context) float64 {
	ownWeight := decay(c.Now.Sub(t.latency.updated))
	return ownWeight*t.latency.value + (1-ownWeight)*t.pool.latency.value
}

// minLatency, in seconds, is added to the expected latency, which is 0 before
// the first result.
const minLatency = 0.001
