package waxwingseam

import "time"

// Pacer keeps the rate at which calls are handed to one backend server within the
// rate limit that the server names. Without a limit, it counts nothing.
type Pacer interface {
	// SetLimit puts a rate limit in force, in calls per second, or changes it. The
	// first calls after an unlimited time are spaced like all others.
	SetLimit(now time.Time, rate float64)
	// Unlimit ends the rate limit.
	Unlimit()
	// Limited reports whether a rate limit is in force.
	Limited() bool
	// Take counts a call that is handed over now.
	Take(now time.Time)
	// Delay returns how long the n-th next call, counted from 1, must wait; 0 if it
	// may be handed over now.
	Delay(now time.Time, n int) time.Duration
}
