package waxwingseam

import "time"

// Sample reports one ended run to a limiter.
type Sample struct {
	Now time.Time
	// Elapsed is the duration of the run. A limiter of all runs is given it
	// without the calls that the run made, a limiter of roots with them.
	Elapsed time.Duration
	// Waited is the time in queues: that of the call before the run for a
	// limiter of all runs, that of the calls made by the run for one of roots.
	Waited time.Duration
	// InFlight counts the runs in flight when the run ended, including itself.
	InFlight int
	// Failed is set when the run failed, was refused or was cancelled.
	Failed bool
}

// Limiter adapts the concurrency limit of one backend server.
type Limiter interface {
	// Configure sets the declared slots, which the limit never exceeds.
	Configure(slots int)
	// Limit returns the limit in force, which is at least 1.
	Limit() int
	// Observe records one ended run.
	Observe(s Sample)
	// ServiceTime returns the usual duration of a run; 0 while unknown.
	ServiceTime() time.Duration
}
