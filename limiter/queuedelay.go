package limiter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// delayTarget is the share of queue time in the time without queues that is
	// left alone.
	delayTarget = 0.8
	// delayBacklog is the ratio of what is in flight to what would be without
	// queues that is taken for queues, whatever the ended runs tell: they may be
	// those that went first.
	delayBacklog = 1.8
	// delayWindow is the least time between two changes of the limit.
	delayWindow = 50 * time.Millisecond
	// delayRuns is how many runs a change waits for, delayPatience the most
	// times of a run that it does so.
	delayRuns     = 20
	delayPatience = 3
	// delayRoom is the limit, as a multiple of what is in use, while nearly
	// nothing waits.
	delayRoom = 1.25
	// delayFirstRoom is the same until something waits, or the limit is not
	// reached, for the first time.
	delayFirstRoom = 2.0
	// delayStartParts is the part of the slots that the limit starts from,
	// delayFloorParts that which it keeps where little is in use.
	delayStartParts = 4
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
	room    float64
	usual   average
	started time.Time
	elapsed time.Duration
	waited  time.Duration
	count   int
	peak    int
	flights int
	// served and serves are the time and the count of runs that were served;
	// others end early and tell nothing of the time of a run.
	served time.Duration
	serves int
}

// NewQueueDelay returns a limiter that follows the time in queues.
func NewQueueDelay() waxwingseam.Limiter {
	return &queueDelay{slots: 1, limit: 1, room: delayFirstRoom}
}

// Configure implements waxwingseam.Limiter.
func (l *queueDelay) Configure(slots int) {
	l.slots = max(slots, 1)
	l.limit = max(float64(l.slots)/delayStartParts, 1)
	l.room = delayFirstRoom
}

// floor is the limit where little is in use.
func (l *queueDelay) floor() float64 {
	return max(float64(l.slots)/delayFloorParts, 1)
}

// Limit implements waxwingseam.Limiter.
func (l *queueDelay) Limit() int {
	return max(int(l.limit), 1)
}

// ServiceTime implements waxwingseam.Limiter.
func (l *queueDelay) ServiceTime() time.Duration {
	return l.usual.value
}

// Observe implements waxwingseam.Limiter. Before the first run is served, what
// is in flight tells nothing, as others may need as long.
func (l *queueDelay) Observe(s waxwingseam.Sample) {
	if s.Failed && l.usual.value == 0 {
		return
	}
	l.elapsed += s.Elapsed
	l.waited += min(s.Waited, s.Elapsed)
	l.count++
	l.peak = max(l.peak, s.InFlight)
	l.flights += s.InFlight
	if !s.Failed {
		l.usual.add(s.Elapsed)
		l.served += s.Elapsed
		l.serves++
	}
	if l.started.IsZero() {
		l.started = s.Now
	}
	if passed := s.Now.Sub(l.started); l.due(passed) {
		l.adapt(passed)
		l.started = s.Now
	}
}

// due reports whether the last change has shown its effect, on enough runs
// where these come in time and the limit is not in its first rise.
func (l *queueDelay) due(passed time.Duration) bool {
	usual := l.usual.value
	if l.serves > 0 {
		usual = l.served / time.Duration(l.serves)
	}
	if passed < max(usual, delayWindow) {
		return false
	}
	return l.room == delayFirstRoom || l.serves >= delayRuns || passed >= delayPatience*max(usual, delayWindow)
}

// adapt changes the limit by the runs that ended in a time.
func (l *queueDelay) adapt(passed time.Duration) {
	free := float64(l.elapsed - l.waited)
	inUse := free / float64(passed)
	share := float64(l.waited) / max(free, 1)
	backlog := float64(l.flights) / float64(l.count) / max(inUse, 1)
	if share > delayTarget/2 || l.peak < l.Limit() {
		l.room = delayRoom
	}
	switch {
	case share > delayTarget || backlog > delayBacklog:
		l.limit = min(l.limit, inUse*(1+delayTarget))
	case share < delayTarget/2:
		l.limit = max(float64(l.peak)*l.room, l.floor())
	default:
		l.limit++
	}
	l.limit = min(max(l.limit, 1), float64(l.slots))
	l.elapsed, l.waited, l.count = 0, 0, 0
	l.served, l.serves = 0, 0
	l.peak, l.flights = 0, 0
}
