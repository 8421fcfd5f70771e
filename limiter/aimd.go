package limiter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// latencyTolerance is how far above the usual a window's mean may lie, in percent.
	latencyTolerance = 200
	// window is the time between two changes of the limit.
	window = 100 * time.Millisecond
	// decreasePercent is what is left of the limit after a decrease.
	decreasePercent = 90
	// increaseParts is the part of the slots that one increase adds.
	increaseParts = 20
)

// aimd raises the limit by a step while latency stays near the least that was
// seen, and cuts it by a factor when it does not.
type aimd struct {
	slots   int
	limit   float64
	usual   average
	least   time.Duration
	started time.Time
	sum     time.Duration
	count   int
	peak    int
}

// NewAIMD returns a limiter of additive increase and multiplicative decrease
// on latency.
func NewAIMD() waxwingseam.Limiter {
	return &aimd{slots: 1, limit: 1}
}

// Configure implements waxwingseam.Limiter.
func (l *aimd) Configure(slots int) {
	l.slots = max(slots, 1)
	l.limit = float64(l.slots)
}

// Limit implements waxwingseam.Limiter.
func (l *aimd) Limit() int {
	return max(int(l.limit), 1)
}

// ServiceTime implements waxwingseam.Limiter.
func (l *aimd) ServiceTime() time.Duration {
	return l.usual.value
}

// Observe implements waxwingseam.Limiter.
func (l *aimd) Observe(s waxwingseam.Sample) {
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

func (l *aimd) adapt() {
	mean := l.sum / time.Duration(l.count)
	if l.least == 0 || mean < l.least {
		l.least = mean
	}
	switch {
	case mean*100 > l.least*latencyTolerance:
		l.limit = max(l.limit*decreasePercent/100, 1)
	case l.peak*2 > l.Limit():
		l.limit = min(l.limit+max(float64(l.slots)/increaseParts, 1), float64(l.slots))
	}
	l.sum, l.count, l.peak = 0, 0, 0
}
