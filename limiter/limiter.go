// Package limiter adapts the concurrency limit of one backend server from the
// node's own measurements.
package limiter

import "time"

// average is an exponentially weighted moving average of durations.
type average struct {
	value time.Duration
}

// averageDivisor is the inverse of the weight of a new duration in an average.
const averageDivisor = 32

// add adds a duration to the average; the first one sets it.
func (a *average) add(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += (d - a.value) / averageDivisor
}
