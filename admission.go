package waxwingseam

import "time"

// Ticket is a call in front of a backend server, as the admitter sees it.
type Ticket struct {
	ID CallID
	// Root identifies the whole request that the call belongs to.
	Root  RootID
	Class ClassName
	Rank  Rank
	// Depth counts the hops above the call; 0 for a root.
	Depth    uint8
	Deadline time.Time
	// Arrived is when the ticket was offered.
	Arrived time.Time
	// MaxWait is the longest time in the queue.
	MaxWait time.Duration
	// MaxWaiting is the most calls in the queue that the call's class allows.
	MaxWaiting int
}

// Verdict is an admitter's decision on one ticket.
type Verdict uint8

const (
	// VerdictRun hands the call to the backend server.
	VerdictRun Verdict = iota
	// VerdictWait keeps it in the queue.
	VerdictWait
	// VerdictRefuse refuses it; it has not run.
	VerdictRefuse
)

// Admission is a decision on one ticket; the decision on one may change that
// on others, which wait.
type Admission struct {
	ID      CallID
	Verdict Verdict
	Reason  Reason
	// Waited is the time in the queue.
	Waited time.Duration
}

// RunEnd is the end of one run, as the admitter sees it.
type RunEnd struct {
	ID CallID
	// Failed is set when the backend server failed or refused it, or nobody
	// wanted it any more.
	Failed bool
	// Elapsed is the time of the run, Own that part of it in which none of its
	// further calls was open.
	Elapsed    time.Duration
	OwnElapsed time.Duration
	// WaitedBelow is the time that its further calls spent in queues.
	WaitedBelow time.Duration
}

// Admitter decides which calls run at one backend server, and in which order.
type Admitter interface {
	// Configure sets the declared slots.
	Configure(slots int)
	// Offer takes in a new ticket.
	Offer(c *Context, t Ticket) []Admission
	// Withdraw removes a waiting ticket; false when it does not wait.
	Withdraw(id CallID) bool
	// Finish takes in an ended run.
	Finish(c *Context, e RunEnd) []Admission
	// Expire refuses the tickets whose wait has ended and admits those that fit.
	Expire(c *Context) []Admission
	// NextExpiry returns when Expire is due; false while nothing waits.
	NextExpiry() (time.Time, bool)
	// Load returns the measure that goes with each answer.
	Load() Load
}
