package balancer

import (
	"math"
	"time"
)

const (
	// averageTimeConstant is the time in which an old value decays to 1/e.
	averageTimeConstant = 250 * time.Millisecond
	// maxOldWeight limits the weight of the previous mean when a value is added.
	maxOldWeight = 0.95
)

// average is a moving average; values decay with time and with each new value.
type average struct {
	value   float64
	updated time.Time
}

func (a *average) add(now time.Time, value float64) {
	oldWeight := 0.0
	if !a.updated.IsZero() {
		oldWeight = min(decay(now.Sub(a.updated)), maxOldWeight)
	}
	a.value = oldWeight*a.value + (1-oldWeight)*value
	a.updated = now
}

// decay returns the weight left of a value after a time without a newer one.
func decay(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / averageTimeConstant.Seconds())
}
