package balancer

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// extraCandidates is how many further random servers are considered if the servers
	// state their pace.
	extraCandidates = 2
	// crowding weighs the share of a server's limit in use: a server near its limit may
	// have reached it when the call arrives, and costs this much more than an empty one.
	crowding = 0.25
	// queueWeight weighs the time in a queue: other nodes that saw the same figures add to
	// it.
	queueWeight = 2
	// costGain is the weight of a new cost of a class.
	costGain = 0.02
	// usualMemory is the time in which a usual service time is forgotten, usualGain the
	// weight of a new one.
	usualMemory = 10 * time.Second
	usualGain   = 0.1
	// maxUsualRatio bounds the stated usual service time against the mean of the service,
	// and maxErrorRatio a single ratio of actual to expected time.
	maxUsualRatio = 3
	maxErrorRatio = 16
	// errorGain is the weight of a new ratio of actual to expected time, errorMemory the
	// time in which a server that is not called counts as right again.
	errorGain   = 0.04
	errorMemory = time.Minute
	paceUnit    = 100
)

// figures is what a server's node states with its answers, corrected by what this node has
// sent since.
type figures struct {
	// stated is set if the last answer stated a pace.
	stated bool
	at     time.Time
	// pace is the time that work takes at the server, as a multiple of the usual.
	pace float64
	// used is the number of running and waiting calls.
	used float64
	// sent counts the calls that this node has sent since.
	sent int
	// usual is the service time at the usual pace, in seconds.
	usual   float64
	usualAt time.Time
	// err is the mean ratio of the actual to the expected time of calls, relative to that
	// of all servers; 0 stands for 1.
	err   float64
	errAt time.Time
}

// observe records the figures of an answer.
func (t *target) observeFigures(c *waxwingseam.Context, load waxwingseam.Load) {
	g, p, now := &t.figures, t.pool, c.Now
	g.stated = load.Pace > 0
	if !g.stated {
		return
	}
	g.at = now
	g.pace = float64(load.Pace) / paceUnit
	g.used = float64(load.InFlight) + float64(load.Waiting)
	g.sent = 0
	p.pace.add(now, g.pace)
	p.used.add(now, g.used/max(float64(load.Limit), 1))
	if load.ServiceTime > 0 {
		g.observeUsual(now, load.ServiceTime.Seconds()/g.pace)
		p.usual.add(now, g.usual)
		usual := t.usualTime(now)
		p.end.add(now, t.wait(usual, t.limit(now))+usual*max(g.pace, 1))
	}
}

func (g *figures) observeUsual(now time.Time, usual float64) {
	oldWeight := 0.0
	if !g.usualAt.IsZero() {
		oldWeight = min(remembered(now.Sub(g.usualAt), usualMemory), 1-usualGain)
	}
	g.usual = oldWeight*g.usual + (1-oldWeight)*usual
	g.usualAt = now
}

// usualTime returns the server's service time at the usual pace, in seconds. The older it
// is, the more it is the mean of all servers.
func (t *target) usualTime(now time.Time) float64 {
	g, mean := &t.figures, t.pool.usual.value
	if mean == 0 {
		return minLatency
	}
	weight := remembered(now.Sub(g.usualAt), usualMemory)
	usual := weight*g.usual + (1-weight)*mean
	return min(max(usual, mean/maxUsualRatio), mean*maxUsualRatio)
}

// remembered returns the weight of a value that is forgotten evenly over a time. It costs
// less than decay, as each choice compares several servers.
func remembered(age, memory time.Duration) float64 {
	return min(max(1-float64(age)/float64(memory), 0), 1)
}

// expectedEnd returns the expected time until a call of a class that is sent now ends, in
// seconds. Old figures decay to the mean of all servers, but for how fast the server usually
// is.
func (t *target) expectedEnd(c *waxwingseam.Context, class waxwingseam.ClassName) float64 {
	usual, cost := t.usualTime(c.Now), t.pool.cost(class)
	weight, warm := decay(c.Now.Sub(t.figures.at)), t.warmUpShare(c.Now)
	service := usual * (weight*max(t.figures.pace, 1) + (1-weight)*max(t.pool.pace.value, 1))
	// A server whose figures are old would end a call of mean cost as soon as the others.
	limit := max((weight*float64(t.load.Limit)+(1-weight)*t.pool.meanLimit)*t.weight*warm, 1)
	wait := weight*t.wait(usual, limit) + (1-weight)*max(t.pool.end.value-service, 0)
	return (wait+service*cost)/(1-t.faults.rate)/warm + t.pause.remaining(c.Now).Seconds()
}

// wait returns for how long a further call would wait, in seconds, if the last figures
// still hold and only this node has sent calls since.
func (t *target) wait(usual, limit float64) float64 {
	g := &t.figures
	service := usual * max(g.pace, 1)
	used := max(g.used+float64(g.sent+1), float64(t.inFlight+1)) / limit
	rest := service
	if t.load.InFlight > 0 {
		rest = max(t.load.WorkLeft.Seconds()*limit-float64(t.load.Waiting)*service, 0) / float64(t.load.InFlight)
	}
	return crowding*min(used, 1)*service + queueWeight*max(used-1, 0)*rest
}

// statedCost returns the expected end, corrected by how far the server's figures were off.
func (t *target) statedCost(c *waxwingseam.Context, class waxwingseam.ClassName) float64 {
	return t.expectedEnd(c, class) * t.figures.error(c.Now)
}

// error returns the mean ratio of the actual to the expected time.
func (g *figures) error(now time.Time) float64 {
	if g.errAt.IsZero() {
		return 1
	}
	return 1 + remembered(now.Sub(g.errAt), errorMemory)*(g.err-1)
}

// observeError records the time of a successful call that was expected to take another,
// so that a server which states wrong figures gets no more calls than its answers justify.
func (t *target) observeError(now time.Time, f waxwingseam.Feedback) {
	if f.Expected <= 0 || f.Elapsed <= 0 {
		return
	}
	t.pool.observeCost(f.Class, (f.Elapsed-f.Result.Waited).Seconds()/(t.usualTime(now)*max(t.figures.pace, 1)))
	ratio := t.pool.relative(now, f.Class, f.Elapsed.Seconds()/f.Expected.Seconds())
	g := &t.figures
	g.err = g.error(now) + errorGain*(min(ratio, maxErrorRatio)-g.error(now))
	g.errAt = now
}

// cost returns the mean cost of the calls of a class as a multiple of the usual service
// time.
func (p *pool) cost(class waxwingseam.ClassName) float64 {
	if v, ok := p.classCosts[class]; ok {
		return v
	}
	return 1
}

func (p *pool) observeCost(class waxwingseam.ClassName, cost float64) {
	before := p.cost(class)
	p.classCosts[class] = before + costGain*(max(cost, 0)-before)
}

// relative returns the ratio of an actual to an expected time, relative to its mean over
// all servers for calls of the class.
func (p *pool) relative(now time.Time, class waxwingseam.ClassName, ratio float64) float64 {
	v, ok := p.classRatios[class]
	if !ok {
		v = &average{}
		p.classRatios[class] = v
	}
	mean := v.value
	weight := 0.0
	if !v.updated.IsZero() {
		weight = min(remembered(now.Sub(v.updated), errorMemory), 1-errorGain)
	}
	v.value, v.updated = weight*v.value+(1-weight)*ratio, now
	if mean == 0 {
		return 1
	}
	return ratio / mean
}

// adopt removes the classes that a configuration no longer has.
func (p *pool) adopt(s *waxwingseam.Set) {
	for name := range p.classRatios {
		if _, ok := s.RequestClass(name); !ok {
			delete(p.classRatios, name)
			delete(p.classCosts, name)
		}
	}
}
