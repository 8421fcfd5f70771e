package limiter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// maxQueueRatio is the ratio of queue time to time outside queues above
	// which the limit is reduced.
	maxQueueRatio = 0.8
	// maxBacklogRatio bounds the ratio of the runs in flight to the number that
	// would be in flight without queues. Above it, the limit is reduced even if
	// the ended runs report short queue times, because these may be the runs
	// that were served first.
	maxBacklogRatio = 1.8
	// regulatedFactor raises both ratios while first nodes refuse a share of the roots,
	// which is to empty the queues.
	regulatedFactor = 1.2
	// minDelayWindow is the minimum time between two changes of the limit.
	minDelayWindow = 50 * time.Millisecond
	// minWindowRuns is the number of successful runs between two changes of the
	// limit. After maxWindowFactor times the time of a run, fewer are enough.
	minWindowRuns   = 20
	maxWindowFactor = 3
	// steadyHeadroom is the ratio of the limit to the peak of the runs in
	// flight while the queue ratio is below half of maxQueueRatio.
	steadyHeadroom = 1.25
	// initialHeadroom replaces steadyHeadroom until the queue ratio first exceeds
	// half of maxQueueRatio, or the runs in flight do not reach the limit.
	initialHeadroom = 2.0
	// startDivisor divides the slots to give the initial limit. floorDivisor
	// divides them to give the limit that is kept while few runs are in flight.
	startDivisor = 4
	floorDivisor = 8
)

// queueDelay keeps the number of runs in flight near the number that would be
// in flight without queues: the rate of runs times their time outside queues,
// by Little's law. Each run reports its own queue time, so the limiter stores
// no unloaded latency, and a service that becomes slower does not distort the
// limit. The bound on the runs in flight follows the bound of BBR on data in
// flight (Cardwell et al., 2016).
type queueDelay struct {
	slots        int
	limit        float64
	headroom     float64
	serviceTime  average
	windowStart  time.Time
	elapsed      time.Duration
	waited       time.Duration
	count        int
	peakInFlight int
	inFlightSum  int
	// servedTime and servedCount are the total time and the number of the runs
	// that did not fail; the others end early, so their time is not that of a
	// full run.
	servedTime  time.Duration
	servedCount int
	// regulated counts the runs with Sample.Regulated set.
	regulated int
}

// NewQueueDelay returns a limiter that bounds the ratio of the time that runs
// spend in queues to their other time.
func NewQueueDelay() waxwingseam.Limiter {
	return &queueDelay{slots: 1, limit: 1, headroom: initialHeadroom}
}

// Configure implements waxwingseam.Limiter.
func (l *queueDelay) Configure(slots int) {
	l.slots = max(slots, 1)
	l.limit = max(float64(l.slots)/startDivisor, 1)
	l.headroom = initialHeadroom
}

// floor returns the limit that is kept while few runs are in flight.
func (l *queueDelay) floor() float64 {
	return max(float64(l.slots)/floorDivisor, 1)
}

// Limit implements waxwingseam.Limiter.
func (l *queueDelay) Limit() int {
	return max(int(l.limit), 1)
}

// ServiceTime implements waxwingseam.Limiter.
func (l *queueDelay) ServiceTime() time.Duration {
	return l.serviceTime.value
}

// Observe implements waxwingseam.Limiter. It ignores failed runs until the
// first run succeeds: until then, the time of a run is unknown, and the number
// of runs in flight does not indicate a queue.
func (l *queueDelay) Observe(s waxwingseam.Sample) {
	if s.Failed && l.serviceTime.value == 0 {
		return
	}
	l.elapsed += s.Elapsed
	l.waited += min(s.Waited, s.Elapsed)
	l.count++
	l.peakInFlight = max(l.peakInFlight, s.InFlight)
	l.inFlightSum += s.InFlight
	if s.Regulated {
		l.regulated++
	}
	if !s.Failed {
		l.serviceTime.add(s.Elapsed)
		l.servedTime += s.Elapsed
		l.servedCount++
	}
	if l.windowStart.IsZero() {
		l.windowStart = s.Now
	}
	if passed := s.Now.Sub(l.windowStart); l.due(passed) {
		l.adapt(passed)
		l.windowStart = s.Now
	}
}

// due reports whether the effect of the last change can be measured: the time
// of a run has passed since then, and enough runs have succeeded. The limiter
// does not wait for enough runs in its initial rise, or for more than
// maxWindowFactor times the time of a run.
func (l *queueDelay) due(passed time.Duration) bool {
	meanTime := l.serviceTime.value
	if l.servedCount > 0 {
		meanTime = l.servedTime / time.Duration(l.servedCount)
	}
	if passed < max(meanTime, minDelayWindow) {
		return false
	}
	return l.headroom == initialHeadroom || l.servedCount >= minWindowRuns || passed >= maxWindowFactor*max(meanTime, minDelayWindow)
}

// adapt changes the limit from the runs that ended in the given time.
func (l *queueDelay) adapt(passed time.Duration) {
	unqueued := float64(l.elapsed - l.waited)
	inUse := unqueued / float64(passed)
	queueRatio := float64(l.waited) / max(unqueued, 1)
	backlogRatio := float64(l.inFlightSum) / float64(l.count) / max(inUse, 1)
	if queueRatio > maxQueueRatio/2 || l.peakInFlight < l.Limit() {
		l.headroom = steadyHeadroom
	}
	maxQueue, maxBacklog := maxQueueRatio, maxBacklogRatio
	if 2*l.regulated > l.count {
		maxQueue, maxBacklog = regulatedFactor*maxQueue, regulatedFactor*maxBacklog
	}
	switch {
	case queueRatio > maxQueue || backlogRatio > maxBacklog:
		l.limit = min(l.limit, inUse*(1+maxQueueRatio))
	case queueRatio < maxQueue/2:
		l.limit = max(float64(l.peakInFlight)*l.headroom, l.floor())
	default:
		l.limit++
	}
	l.limit = min(max(l.limit, l.floor()), float64(l.slots))
	l.elapsed, l.waited, l.count = 0, 0, 0
	l.servedTime, l.servedCount, l.regulated = 0, 0, 0
	l.peakInFlight, l.inFlightSum = 0, 0
}
