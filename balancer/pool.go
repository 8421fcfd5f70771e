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
	// pace, used and usual are the means of figures that servers state, classRatios those
	// of the actual to the expected times of calls; see figures.
	pace, used, usual, end average
	classRatios            map[waxwingseam.ClassName]*average
	// classCosts are the mean costs of the calls of each class, as multiples of the usual
	// service time.
	classCosts map[waxwingseam.ClassName]float64

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
		classRatios:      map[waxwingseam.ClassName]*average{},
		classCosts:       map[waxwingseam.ClassName]float64{},
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

const (
	// shortFrom and shortAt are the mean queue times at the servers of a service from which
	// and at which the shares that they state are refused.
	shortFrom = 10 * time.Millisecond
	shortAt   = 50 * time.Millisecond
)

// refused returns the share of roots of a place to refuse. Servers that state figures are
// short together only once calls wait at them on average: one that is slow at the moment
// asks to refuse roots although its calls go to the others.
func (p *pool) refused(c *waxwingseam.Context, place waxwingseam.Place) float64 {
	share := p.shares.refused(c.Now, place)
	if p.used.updated.IsZero() {
		return share
	}
	return share * min(max((p.queueTime()-shortFrom).Seconds()/(shortAt-shortFrom).Seconds(), 0), 1)
}

// queueTime returns the mean time for which a call waits at the servers, by their figures.
func (p *pool) queueTime() time.Duration {
	return time.Duration((p.used.value - 1) * p.usual.value * p.pace.value * float64(time.Second))
}

// hasRoom reports whether the servers state figures by which calls hardly wait on average.
func (p *pool) hasRoom() bool {
	return !p.used.updated.IsZero() && p.queueTime() < shortFrom
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
	case f.Result.Reason.IsOverload() && p.hasRoom():
		// The call was refused by a slow server while others have room.
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
