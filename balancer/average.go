package balancer

import (
	"math"
	"time"
)

const (
	// averageMemory is the time in which an old value fades.
	averageMemory = 250 * time.Millisecond
	// averageKeep is the most that one value leaves of the mean before it.
	averageKeep = 0.95
)

// average is a mean in which a value fades with time and with each new value.
type average struct {
	value float64
	at    time.Time
}

func (a *average) add(now time.Time, value float64) {
	keep := 0.0
	if !a.at.IsZero() {
		keep = min(fade(now.Sub(a.at)), averageKeep)
	}
	a.value = keep*a.value + (1-keep)*value
	a.at = now
}

// fade is how much of a value is left after a time without a newer one.
func fade(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / averageMemory.Seconds())
}
