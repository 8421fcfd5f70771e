package waxwingseam

import "time"

// Sample is one ended run, as the limiter sees it.
type Sample struct {
	Now time.Time
	// Elapsed is the time of the run, without the calls that it made where the
	// limit is one for all runs, with them where it is one for roots.
	Elapsed time.Duration
	// Waited is the time in queues: before the run where the limit is one for
	// all runs, of the calls that it made where it is one for roots.
	Waited time.Duration
	// InFlight counts the runs at its end, itself included.
	InFlight int
	// Failed is set when the backend server failed or refused it.
	Failed bool
}

// Limiter adapts the concurrency limit of one backend server.
type Limiter interface {
	// Configure sets the declared slots, which the limit never passes.
	Configure(slots int)
	// Limit returns the limit in force, at least 1.
	Limit() int
	// Observe takes in one ended run.
	Observe(s Sample)
	// ServiceTime returns the usual time of a run; 0 while unknown.
	ServiceTime() time.Duration
}
