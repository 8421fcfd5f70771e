package limiter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// window is the minimum time between two changes of a windowed limit.
const window = 100 * time.Millisecond

// rule computes the next limit from the mean latency of a window.
type rule interface {
	next(l *windowed, mean time.Duration) float64
}

// windowed changes its limit by a rule after each window, from the runs that
// ended in it.
type windowed struct {
	rule         rule
	slots        int
	limit        float64
	serviceTime  average
	windowStart  time.Time
	latencySum   time.Duration
	count        int
	peakInFlight int
}

func newWindowed(r rule) *windowed {
	return &windowed{rule: r, slots: 1, limit: 1}
}

// Configure implements waxwingseam.Limiter.
func (l *windowed) Configure(slots int) {
	l.slots = max(slots, 1)
	l.limit = float64(l.slots)
}

// Limit implements waxwingseam.Limiter.
func (l *windowed) Limit() int {
	return max(int(l.limit), 1)
}

// ServiceTime implements waxwingseam.Limiter.
func (l *windowed) ServiceTime() time.Duration {
	return l.serviceTime.value
}

// Observe implements waxwingseam.Limiter.
func (l *windowed) Observe(s waxwingseam.Sample) {
	if s.Failed {
		return
	}
	l.serviceTime.add(s.Elapsed)
	l.latencySum += s.Elapsed
	l.count++
	l.peakInFlight = max(l.peakInFlight, s.InFlight)
	if l.windowStart.IsZero() {
		l.windowStart = s.Now
	}
	if s.Now.Sub(l.windowStart) >= window {
		l.adapt()
		l.windowStart = s.Now
	}
}

func (l *windowed) adapt() {
	next := l.rule.next(l, l.latencySum/time.Duration(l.count))
	l.limit = min(max(next, 1), float64(l.slots))
	l.latencySum, l.count, l.peakInFlight = 0, 0, 0
}

// overHalfUsed reports whether the runs in flight reached more than half of the
// limit in the window.
func (l *windowed) overHalfUsed() bool {
	return l.peakInFlight*2 > l.Limit()
}
