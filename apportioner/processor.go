package apportioner

import (
	"math"
	"time"
)

const (
	// processorTimeConstant is the time in which the weight of a call falls to 1/e.
	processorTimeConstant = 100 * time.Millisecond
	// shortProcessorDelay is the mean delay in front of a node's decisions from which
	// on the node counts as short of processor time.
	shortProcessorDelay = 10 * time.Millisecond
	// capacityGrowth is how fast the known capacity grows while nothing waits, as a
	// factor per second.
	capacityGrowth = 1.1
	// capacityTime smooths the known capacity.
	capacityTime = 300 * time.Millisecond
	// maxDelayShare is the largest part of the capacity for the calls that wait.
	maxDelayShare = 0.8
)

// processor measures how many calls a node can decide on. Its capacity is only known
// while calls wait for the processor: then it is the rate of the decisions.
type processor struct {
	updated time.Time
	// calls and delays count the calls and sum their delays in seconds; older ones
	// weigh less.
	calls  float64
	delays float64
	// capacity is in calls per second; 0 if it was never reached.
	capacity   float64
	capacityAt time.Time
}

func (p *processor) observe(now time.Time, delay time.Duration) {
	p.decay(now)
	p.calls++
	p.delays += delay.Seconds()
}

func (p *processor) decay(now time.Time) {
	elapsed := now.Sub(p.updated)
	if elapsed <= 0 {
		return
	}
	p.updated = now
	factor := math.Exp(-elapsed.Seconds() / processorTimeConstant.Seconds())
	p.calls *= factor
	p.delays *= factor
}

// supply returns the capacity as it is known now.
func (p *processor) supply(now time.Time) supply {
	p.decay(now)
	delay := p.delays / max(p.calls, 1)
	rate := p.calls / processorTimeConstant.Seconds()
	short := delay >= shortProcessorDelay.Seconds()
	switch {
	case short:
		if p.capacity == 0 {
			p.capacity = rate
		}
		p.capacity += (rate - p.capacity) * (1 - math.Exp(-now.Sub(p.capacityAt).Seconds()/capacityTime.Seconds()))
	case p.capacity > 0:
		p.capacity *= math.Pow(capacityGrowth, now.Sub(p.capacityAt).Seconds())
	}
	p.capacityAt = now
	use := 0.0
	if p.capacity > 0 {
		use = min(rate/p.capacity, 1)
	}
	if short {
		use = 1
	}
	backlog := min(delay*rate/backlogTime.Seconds(), maxDelayShare*p.capacity)
	return supply{capacity: p.capacity - backlog, delay: delay, use: use, unlimited: p.capacity == 0}
}
