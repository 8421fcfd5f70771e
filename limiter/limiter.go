// Package limiter adapts the concurrency limit of one backend server from the
// node's own measurements.
package limiter

import "time"

// average is an exponentially weighted moving average of durations.
type average struct {
	value time.Duration
}

// add takes in a duration with the weight of one part in parts.
func (a *average) add(d time.Duration, parts int) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += (d - a.value) / time.Duration(parts)
}
