package limiter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// delayTarget is the share of queue time in the time without queues that is
	// left alone.
	delayTarget = 0.3
	// delayWindow is the least time between two changes of the limit.
	delayWindow = 50 * time.Millisecond
	// delayRoom is the limit, as a multiple of what is in use, while nearly
	// nothing waits.
	delayRoom = 1.25
	// delayFloorParts is the part of the slots that the limit keeps where
	// little is in use.
	delayFloorParts = 8
)

// queueDelay keeps what is in flight near to what would be in flight without
// queues: the rate of runs times their time out of queues, by Little's law.
// Runs tell their queue time by their own account, so no unloaded latency is
// remembered, and a service that becomes slow does not mislead it. The bound
// on data in flight is that of BBR (Cardwell et al., 2016).
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
	l.limit = float64(l.slots)
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
	if passed := s.Now.Sub(l.started); passed >= max(delayWindow, l.elapsed/time.Duration(l.count)) {
		l.adapt(passed)
		l.started = s.Now
	}
}

// adapt changes the limit once in the time of a run, when the last change has
// shown its effect.
func (l *queueDelay) adapt(passed time.Duration) {
	free := float64(l.elapsed - l.waited)
	inUse := free / float64(passed)
	share := float64(l.waited) / max(free, 1)
	switch {
	case share > delayTarget:
		l.limit = min(l.limit, inUse*(1+delayTarget))
	case share < delayTarget/2:
		l.limit = max(float64(l.peak)*delayRoom, float64(l.slots)/delayFloorParts)
	default:
		l.limit++
	}
	l.limit = min(max(l.limit, 1), float64(l.slots))
	l.elapsed, l.waited, l.count, l.peak = 0, 0, 0, 0
}
