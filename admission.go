package waxwingseam

import "time"

// Ticket describes a call that is to be admitted to a backend server.
type Ticket struct {
	ID CallID
	// Root identifies the root request that the call belongs to.
	Root  RootID
	Class ClassName
	Rank  Rank
	// Depth counts the hops above the call; 0 for a root.
	Depth    uint8
	Deadline time.Time
	// Arrived is when the ticket was offered.
	Arrived time.Time
	// MaxWait is the longest time that the call may wait in the queue.
	MaxWait time.Duration
	// MaxWaiting is the largest number of queued calls that the call's class
	// allows.
	MaxWaiting int
}

// Verdict is an admitter's decision on one ticket.
type Verdict uint8

const (
	// VerdictRun hands the call to the backend server.
	VerdictRun Verdict = iota
	// VerdictWait puts the call in the queue.
	VerdictWait
	// VerdictRefuse refuses the call, which has not run.
	VerdictRefuse
)

// Admission is the decision on one ticket. A decision on one ticket may change
// the decisions on waiting ones.
type Admission struct {
	ID      CallID
	Verdict Verdict
	Reason  Reason
	// Waited is the time that the call spent in the queue.
	Waited time.Duration
}

// RunEnd reports the end of one run to the admitter.
type RunEnd struct {
	ID CallID
	// Failed is set when the backend server failed or refused the call, or when
	// all its attempts were cancelled.
	Failed bool
	// Elapsed is the duration of the run; OwnElapsed is the part of it in which
	// no call that the run made was open.
	Elapsed    time.Duration
	OwnElapsed time.Duration
	// WaitedBelow is the time that the calls made by the run spent in queues.
	WaitedBelow time.Duration
}

// Admitter decides which calls one backend server runs, and in which order.
type Admitter interface {
	// Configure sets the declared slots.
	Configure(slots int)
	// Offer decides on a new ticket.
	Offer(c *Context, t Ticket) []Admission
	// Withdraw removes a waiting ticket and reports whether there was one.
	Withdraw(id CallID) bool
	// Finish records the end of a run and decides on the waiting tickets.
	Finish(c *Context, e RunEnd) []Admission
	// Expire refuses the tickets that have waited too long and admits those that
	// fit.
	Expire(c *Context) []Admission
	// NextExpiry returns when Expire is due; false while no ticket waits.
	NextExpiry() (time.Time, bool)
	// Load returns the load to be sent with each answer.
	Load() Load
}
