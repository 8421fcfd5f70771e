package waxwingseam

import "time"

// CallState is what a receiving node's records say of an attempt.
type CallState uint8

const (
	// CallStateNew means that the call is unknown and may start.
	CallStateNew CallState = iota
	// CallStateWaiting means that it waits in the queue.
	CallStateWaiting
	// CallStateRunning means that it has started.
	CallStateRunning
	// CallStateFinished means that its whole reply is kept.
	CallStateFinished
	// CallStateReplyDropped means that it has finished and its reply is kept no more.
	CallStateReplyDropped
	// CallStateFenced means that it never starts.
	CallStateFenced
)

// Record is what a receiving node keeps of one call.
type Record struct {
	State CallState
	// Owner is the call that the reply is kept under; it differs from the
	// attempt's own call where a caller's key joins two.
	Owner  CallID
	Result Result
}

// Deduplicator keeps the records of the calls of one backend server.
type Deduplicator interface {
	// Arrive looks an attempt up and records a new call as waiting.
	Arrive(c *Context, call Call) Record
	// Refuse forgets a waiting call that did not start.
	Refuse(c *Context, id CallID)
	// Start records the hand-over to the backend server.
	Start(c *Context, id CallID)
	// Finish records the end of a run; keep says whether the reply stays.
	Finish(c *Context, id CallID, result Result) (keep bool)
	// Fence records that a call never starts, and reports whether it had.
	Fence(c *Context, id CallID, until time.Time) (started bool)
	// Expire forgets old records and returns those whose kept reply goes.
	Expire(c *Context) []CallID
}

// Drainer keeps whether the node's backend server takes new work.
type Drainer interface {
	// Drain starts a drain, or undoes one.
	Drain(c *Context, undo bool)
	// SetWithdrawn says whether the backend server itself takes no new work.
	SetWithdrawn(c *Context, withdrawn bool)
	// Leaving reports whether new work is refused.
	Leaving() bool
}
