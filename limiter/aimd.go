package limiter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// latencyTolerancePercent is the mean latency of a window, in percent of
	// the minimum, above which the limit decreases.
	latencyTolerancePercent = 200
	// decreasePercent is the percentage of the limit that remains after a
	// decrease.
	decreasePercent = 90
	// increaseDivisor divides the slots to give the step of an increase.
	increaseDivisor = 20
)

// aimd reduces the limit by a factor when the mean latency exceeds twice the
// minimum observed. Otherwise it raises the limit by a step if more than half of
// it was in use.
type aimd struct {
	minLatency time.Duration
}

// NewAIMD returns a limiter that increases its limit additively and decreases
// it multiplicatively, based on latency.
func NewAIMD() waxwingseam.Limiter {
	return newWindowed(&aimd{})
}

func (a *aimd) next(l *windowed, mean time.Duration) float64 {
	if a.minLatency == 0 || mean < a.minLatency {
		a.minLatency = mean
	}
	switch {
	case mean*100 > a.minLatency*latencyTolerancePercent:
		return l.limit * decreasePercent / 100
	case l.overHalfUsed():
		return l.limit + max(float64(l.slots)/increaseDivisor, 1)
	}
	return l.limit
}
