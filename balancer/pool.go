package balancer

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// pool is the servers of one service.
type pool struct {
	all []*target
	// members are the subset that the node calls, near those of them in its own
	// data centre. Both are made anew when stale.
	near, members []*target
	stale         bool
	// failing is the sum of the servers' failure shares, ejected the count of
	// those that are ejected.
	failing float64
	ejected int
	// usual is the mean of the limits reported lately.
	usual float64
	// latency is the usual time of a completed call at any server, in seconds.
	latency average

	throttle throttle
	classes  map[waxwingseam.ClassName]*throttle
}

func newPool() *pool {
	return &pool{
		throttle: throttle{pace: servicePace},
		classes:  map[waxwingseam.ClassName]*throttle{},
	}
}

func (p *pool) add(t *target) {
	p.all = append(p.all, t)
	p.stale = true
}

func (p *pool) remove(t *target) {
	p.all = slices.DeleteFunc(p.all, func(o *target) bool { return o == t })
	p.failing -= t.health.failures
	if t.health.out {
		p.ejected--
	}
	p.stale = true
}

// rebuild chooses the subset anew.
func (p *pool) rebuild(config Config, size int, objects map[waxwingseam.ServerName]waxwingseam.BackendServer) {
	p.stale = false
	var near, far []*target
	for _, t := range p.all {
		t.weight, t.drained = 1, false
		if v, ok := objects[t.server.Name]; ok {
			t.drained = v.Drained
			t.weight = weightOf(v)
		}
		switch {
		case t.leaving():
		case t.server.DataCentre == config.DataCentre:
			near = append(near, t)
		default:
			far = append(far, t)
		}
	}
	p.near = subset(config.Self, near, size)
	p.members = slices.Concat(p.near, subset(config.Self, far, size))
}

func weightOf(v waxwingseam.BackendServer) float64 {
	if v.Weight <= 0 {
		return 1
	}
	return float64(v.Weight) / fullWeight
}

// quietRejections is the count of rejections, fading, that is taken for none.
const quietRejections = 0.1

// usualGain is the weight of one more reported limit in the usual one.
const usualGain = 0.05

// reported takes in a limit that a server reported.
func (p *pool) reported(limit uint32) {
	if p.usual == 0 {
		p.usual = float64(limit)
	}
	p.usual += usualGain * (float64(limit) - p.usual)
}

// quiet reports whether the servers have refused nothing lately.
func (p *pool) quiet(c *waxwingseam.Context) bool {
	p.throttle.fade(c.Now)
	return p.throttle.rejects <= quietRejections
}

// admits reports whether a call may be sent at all, by what the service and
// the calls of its class came to.
func (p *pool) admits(c *waxwingseam.Context, q waxwingseam.Query) bool {
	if !p.class(q.Class).offer(c.Now, q.Rank) {
		return false
	}
	return p.throttle.offer(c.Now, q.Rank)
}

func (p *pool) class(name waxwingseam.ClassName) *throttle {
	v, ok := p.classes[name]
	if !ok {
		v = &throttle{pace: classPace}
		p.classes[name] = v
	}
	return v
}

// observe takes in an ended attempt at one of the servers.
func (p *pool) observe(c *waxwingseam.Context, t *target, f waxwingseam.Feedback) {
	switch {
	case f.Result.Reason == waxwingseam.ReasonServerRefused && t.held(c):
		// A server that refuses more than the others says nothing of the service.
	case f.Result.Reason.IsOverload():
		p.throttle.rejected(c.Now, f.Rank.Importance)
	case f.Result.Completed() && refusedBelow(f.Result):
		p.throttle.accepted(c.Now)
		p.class(f.Class).rejected(c.Now, f.Rank.Importance)
	case f.Result.Completed(), f.Result.Reason == waxwingseam.ReasonCancelled:
		// A call that its caller gave up had not been refused till then.
		p.throttle.accepted(c.Now)
		p.class(f.Class).accepted(c.Now)
	}
	p.judge(c, t, f)
}

const (
	// minRetryAfter and maxRetryAfter bound when a refused caller may come back.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// refusal refuses a call before it is sent, and spreads the return of callers.
func (p *pool) refusal(c *waxwingseam.Context) waxwingseam.Choice {
	mean := time.Duration(p.throttle.excess() * float64(minRetryAfter))
	mean = min(max(mean, minRetryAfter), maxRetryAfter)
	return waxwingseam.Choice{
		Refused:    true,
		Reason:     waxwingseam.ReasonOverloaded,
		RetryAfter: mean + time.Duration(c.Random().Int64N(int64(mean))),
	}
}
