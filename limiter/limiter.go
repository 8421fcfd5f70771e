// Package limiter adapts the concurrency limit of one backend server from the
// node's own measurements.
package limiter

import "time"

// average is an exponentially weighted moving average of durations.
type average struct {
	value time.Duration
}

// serviceTimeParts weighs one more duration in an average.
const serviceTimeParts = 32

// add takes in a duration.
func (a *average) add(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += (d - a.value) / serviceTimeParts
}
