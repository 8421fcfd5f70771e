package waxwingseam

import "time"

// Sample reports one ended run to a limiter.
type Sample struct {
	Now time.Time
	// Elapsed is the duration of the run. For a limiter of all runs, it excludes
	// the time in which calls made by the run were open; for a limiter of roots,
	// it includes that time.
	Elapsed time.Duration
	// Waited is a time in queues. For a limiter of all runs, it is the time that
	// the call waited before its run; for a limiter of roots, it is the time that
	// the calls made by the run waited.
	Waited time.Duration
	// InFlight counts the runs in flight when the run ended, including itself.
	InFlight int
	// Regulated is set when first nodes refuse roots for the services that the run has
	// called.
	Regulated bool
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
	// ServiceTime returns the moving average of the duration of a run; 0 while
	// unknown.
	ServiceTime() time.Duration
}
