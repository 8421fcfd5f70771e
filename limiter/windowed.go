package limiter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// window is the time between two changes of a windowed limit.
const window = 100 * time.Millisecond

// rule returns the next limit after a window with a mean latency.
type rule interface {
	next(l *windowed, mean time.Duration) float64
}

// windowed changes its limit by a rule, from the runs that ended in a window.
type windowed struct {
	rule    rule
	slots   int
	limit   float64
	usual   average
	started time.Time
	sum     time.Duration
	count   int
	peak    int
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
	return l.usual.value
}

// Observe implements waxwingseam.Limiter.
func (l *windowed) Observe(s waxwingseam.Sample) {
	if s.Failed {
		return
	}
	l.usual.add(s.Elapsed)
	l.sum += s.Elapsed
	l.count++
	l.peak = max(l.peak, s.InFlight)
	if l.started.IsZero() {
		l.started = s.Now
	}
	if s.Now.Sub(l.started) >= window {
		l.adapt()
		l.started = s.Now
	}
}

func (l *windowed) adapt() {
	next := l.rule.next(l, l.sum/time.Duration(l.count))
	l.limit = min(max(next, 1), float64(l.slots))
	l.sum, l.count, l.peak = 0, 0, 0
}

// used reports whether runs took up at least half of the limit.
func (l *windowed) used() bool {
	return l.peak*2 > l.Limit()
}
