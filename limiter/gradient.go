package limiter

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// gradientTolerance is the ratio of a window's mean latency to the base
	// latency above which the limit is scaled down.
	gradientTolerance = 1.5
	// gradientFloor is the minimum of the ratio that scales the limit.
	gradientFloor = 0.5
	// gradientDrift is the weight of a window in the base latency if its mean
	// latency is higher.
	gradientDrift = 0.02
	// gradientSmoothing is the weight of a new limit against the previous one.
	gradientSmoothing = 0.3
)

// gradient scales the limit by the ratio of the base latency to the current
// latency. If more than half of the limit was in use, it adds the square root of
// the limit as room to grow, as Netflix's concurrency-limits does. The base
// latency falls at once to a lower latency and rises slowly to a higher one.
type gradient struct {
	baseLatency float64
}

// NewGradient returns a limiter that scales its limit by the ratio of the base
// latency to the current latency.
func NewGradient() waxwingseam.Limiter {
	return newWindowed(&gradient{})
}

func (g *gradient) next(l *windowed, mean time.Duration) float64 {
	latency := float64(mean)
	if g.baseLatency == 0 || latency < g.baseLatency {
		g.baseLatency = latency
	}
	g.baseLatency += (latency - g.baseLatency) * gradientDrift
	ratio := min(max(gradientTolerance*g.baseLatency/latency, gradientFloor), 1)
	next := l.limit * ratio
	if l.overHalfUsed() {
		next += math.Sqrt(l.limit)
	}
	return l.limit + (next-l.limit)*gradientSmoothing
}
