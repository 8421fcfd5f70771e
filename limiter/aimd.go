package limiter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// latencyTolerance is how far above the usual a window's mean may lie, in percent.
	latencyTolerance = 200
	// decreasePercent is what is left of the limit after a decrease.
	decreasePercent = 90
	// increaseParts is the part of the slots that one increase adds.
	increaseParts = 20
)

// aimd raises the limit by a step while latency stays near the least that was
// seen, and cuts it by a factor when it does not.
type aimd struct {
	least time.Duration
}

// NewAIMD returns a limiter of additive increase and multiplicative decrease
// on latency.
func NewAIMD() waxwingseam.Limiter {
	return newWindowed(&aimd{})
}

func (a *aimd) next(l *windowed, mean time.Duration) float64 {
	if a.least == 0 || mean < a.least {
		a.least = mean
	}
	switch {
	case mean*100 > a.least*latencyTolerance:
		return l.limit * decreasePercent / 100
	case l.used():
		return l.limit + max(float64(l.slots)/increaseParts, 1)
	}
	return l.limit
}
