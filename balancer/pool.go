package balancer

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// pool holds the servers of one service.
type pool struct {
	all []*target
	// members is the subset that the node calls, and near the part of it in the
	// node's data centre. Both are rebuilt when stale is set.
	near, members []*target
	stale         bool
	// failureRateSum is the sum of the servers' failure rates; ejected counts the
	// suspended servers.
	failureRateSum float64
	ejected        int
	// meanLimit is the moving average of the reported limits.
	meanLimit float64
	// latency is the mean time of a successful call at any server, in seconds.
	latency average

	throttle throttle
	shares   shares
	// accountThrottles is used for calls of client accounts.
	accountThrottles accountThrottles
}

func newPool() *pool {
	return &pool{
		throttle: throttle{config: serviceThrottleConfig},
		shares:   shares{},

		accountThrottles: accountThrottles{},
	}
}

func (p *pool) add(t *target) {
	p.all = append(p.all, t)
	p.stale = true
}

func (p *pool) remove(t *target) {
	p.all = slices.DeleteFunc(p.all, func(other *target) bool { return other == t })
	p.failureRateSum -= t.health.failureRate
	if t.health.suspended {
		p.ejected--
	}
	p.stale = true
}

// rebuild applies the servers' objects and chooses the subset again.
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

// negligibleRejections is the decayed count of rejections treated as none.
const negligibleRejections = 0.1

// limitGain is the weight of the newest reported limit in meanLimit.
const limitGain = 0.05

// observeLimit updates meanLimit with a limit that a server reported.
func (p *pool) observeLimit(limit uint32) {
	if p.meanLimit == 0 {
		p.meanLimit = float64(limit)
	}
	p.meanLimit += limitGain * (float64(limit) - p.meanLimit)
}

// withoutRejections reports whether almost no calls were rejected recently.
func (p *pool) withoutRejections(c *waxwingseam.Context) bool {
	p.throttle.decay(c.Now)
	return p.throttle.rejects <= negligibleRejections
}

// observe updates the throttle, the shares and the server's health with an ended attempt.
func (p *pool) observe(c *waxwingseam.Context, t *target, f waxwingseam.Feedback) {
	if f.Result.Completed() || f.Result.Reason.IsOverload() {
		p.shares.observe(c.Now, f)
	}
	switch {
	case f.Result.Reason == waxwingseam.ReasonRateLimited && (!f.Patient || p.hasUnlimitedServer()):
		// Another server may take the call.
	case f.Result.Reason == waxwingseam.ReasonServerRefused:
		// A backend server may refuse calls whatever its load.
	case f.Result.Reason.IsOverload():
		p.accountThrottles.of(c.Now, f.Account, &p.throttle).rejected(c.Now, f.Rank.Importance)
	case f.Result.Completed(), f.Result.Reason == waxwingseam.ReasonCancelled:
		// The call had not been refused when its caller cancelled it.
		p.accountThrottles.of(c.Now, f.Account, &p.throttle).accepted(c.Now)
	}
	p.observeHealth(c, t, f)
}

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused
	// caller may retry, before a random time of up to the same duration is
	// added to it.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// refusal refuses a call before it is sent, given the ratio of the demand to what can
// be served. The retry time is partly random so that callers do not retry all at once.
func (p *pool) refusal(c *waxwingseam.Context, ratio float64) waxwingseam.Choice {
	mean := time.Duration(ratio * float64(minRetryAfter))
	mean = min(max(mean, minRetryAfter), maxRetryAfter)
	return waxwingseam.Choice{
		Refused:    true,
		Reason:     waxwingseam.ReasonOverloaded,
		RetryAfter: mean + time.Duration(c.Random().Int64N(int64(mean))),
	}
}
