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
	base float64
}

// NewGradient returns a limiter that follows the gradient of latency.
func NewGradient() waxwingseam.Limiter {
	return newWindowed(&gradient{})
}

func (g *gradient) next(l *windowed, mean time.Duration) float64 {
	latency := float64(mean)
	if g.base == 0 || latency < g.base {
		g.base = latency
	}
	g.base += (latency - g.base) * gradientDrift
	ratio := min(max(gradientTolerance*g.base/latency, gradientFloor), 1)
	next := l.limit * ratio
	if l.used() {
		next += math.Sqrt(l.limit)
	}
	return l.limit + (next-l.limit)*gradientSmoothing
}
