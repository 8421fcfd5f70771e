package limiter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// delayTargetPercent is the share of queue time in the time without queues
	// that is left alone.
	delayTargetPercent = 30
	// delayWindow is the least time between two changes of the limit.
	delayWindow = 50 * time.Millisecond
	// delayFloor is what one change leaves of the limit at least.
	delayFloor = 0.5
	// delayClimb is the factor of a change while nearly nothing waits.
	delayClimb = 1.25
	// delayStart is the part of the slots that the limit starts from.
	delayStart = 4
)

// queueDelay holds the time that runs spend in queues, by their own account,
// to a share of the rest of their time. It needs no memory of an unloaded
// latency, so a service that becomes slow does not mislead it.
type queueDelay struct {
	slots   int
	limit   float64
	usual   average
	started time.Time
	elapsed time.Duration
	waited  time.Duration
	count   int
	peak    int
}

// NewQueueDelay returns a limiter that follows the time in queues.
func NewQueueDelay() waxwingseam.Limiter {
	return &queueDelay{slots: 1, limit: 1}
}

// Configure implements waxwingseam.Limiter.
func (l *queueDelay) Configure(slots int) {
	l.slots = max(slots, 1)
	l.limit = max(float64(l.slots)/delayStart, 1)
}

// Limit implements waxwingseam.Limiter.
func (l *queueDelay) Limit() int {
	return max(int(l.limit), 1)
}

// ServiceTime implements waxwingseam.Limiter.
func (l *queueDelay) ServiceTime() time.Duration {
	return l.usual.value
}

// Observe implements waxwingseam.Limiter.
func (l *queueDelay) Observe(s waxwingseam.Sample) {
	l.usual.add(s.Elapsed, serviceTimeParts)
	l.elapsed += s.Elapsed
	l.waited += min(s.Waited, s.Elapsed)
	l.count++
	l.peak = max(l.peak, s.InFlight)
	if l.started.IsZero() {
		l.started = s.Now
	}
	if s.Now.Sub(l.started) >= max(delayWindow, l.elapsed/time.Duration(l.count)) {
		l.adapt()
		l.started = s.Now
	}
}

// adapt changes the limit once in the time of a run, when the last change has
// shown its effect.
func (l *queueDelay) adapt() {
	free := float64(l.elapsed - l.waited)
	share := float64(l.waited) / max(free, 1)
	target := float64(delayTargetPercent) / 100
	switch {
	case share > target:
		l.limit *= max((1+target)/(1+share), delayFloor)
	case l.peak*2 < l.Limit():
	case share < target/2:
		l.limit = max(l.limit*delayClimb, l.limit+1)
	default:
		l.limit++
	}
	l.limit = min(max(l.limit, 1), float64(l.slots))
	l.elapsed, l.waited, l.count, l.peak = 0, 0, 0, 0
}
