package limiter

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// gradientTolerance is how far above the usual a window's mean may lie.
	gradientTolerance = 1.5
	// gradientFloor is what one change leaves of the limit at least.
	gradientFloor = 0.5
	// gradientDrift is the weight of a window in the usual latency where it lies
	// above it.
	gradientDrift = 0.02
	// gradientSmoothing is the weight of a new limit.
	gradientSmoothing = 0.3
)

// gradient scales the limit by the ratio of the usual latency to the present
// one, and adds the square root of the limit as room to grow, as in Netflix's
// concurrency-limits. The usual latency falls at once and drifts up slowly.
type gradient struct {
	slots   int
	limit   float64
	usual   average
	base    float64
	started time.Time
	sum     time.Duration
	count   int
	peak    int
}

// NewGradient returns a limiter that follows the gradient of latency.
func NewGradient() waxwingseam.Limiter {
	return &gradient{slots: 1, limit: 1}
}

// Configure implements waxwingseam.Limiter.
func (l *gradient) Configure(slots int) {
	l.slots = max(slots, 1)
	l.limit = float64(l.slots)
}

// Limit implements waxwingseam.Limiter.
func (l *gradient) Limit() int {
	return max(int(l.limit), 1)
}

// ServiceTime implements waxwingseam.Limiter.
func (l *gradient) ServiceTime() time.Duration {
	return l.usual.value
}

// Observe implements waxwingseam.Limiter.
func (l *gradient) Observe(s waxwingseam.Sample) {
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

func (l *gradient) adapt() {
	mean := float64(l.sum) / float64(l.count)
	if l.base == 0 || mean < l.base {
		l.base = mean
	}
	l.base += (mean - l.base) * gradientDrift
	ratio := min(max(gradientTolerance*l.base/mean, gradientFloor), 1)
	next := l.limit * ratio
	if l.peak*2 > l.Limit() {
		next += math.Sqrt(l.limit)
	}
	l.limit += (next - l.limit) * gradientSmoothing
	l.limit = min(max(l.limit, 1), float64(l.slots))
	l.sum, l.count, l.peak = 0, 0, 0
}
