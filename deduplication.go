package waxwingseam

import "time"

// CallState is the state of a call in the records of a receiving node.
type CallState uint8

const (
	// CallStateNew means that the call is unknown and may start.
	CallStateNew CallState = iota
	// CallStateWaiting means that the call waits in the queue.
	CallStateWaiting
	// CallStateRunning means that the call has started.
	CallStateRunning
	// CallStateFinished means that the call has finished and its reply is kept,
	// in part if the reply exceeds the size that is kept of one.
	CallStateFinished
	// CallStateReplyDropped means that the call has finished and its reply is not
	// kept.
	CallStateReplyDropped
	// CallStateFenced means that the call must not start while the record is kept.
	CallStateFenced
)

// Record is a receiving node's record of one call.
type Record struct {
	State CallState
	// Owner is the call under which the reply is kept; it differs from the
	// attempt's own call if a caller's key joins the two.
	Owner  CallID
	Result Result
}

// Deduplicator keeps the records of the calls of one backend server.
type Deduplicator interface {
	// Arrive returns the record of an arriving call; a new call is recorded as
	// waiting.
	Arrive(c *Context, call Call) Record
	// Refuse removes the record of a waiting call, or fences the call if an
	// earlier request for it may still arrive.
	Refuse(c *Context, id CallID)
	// Start records that a call was handed to the backend server.
	Start(c *Context, id CallID)
	// Finish records the end of a run and reports whether its reply is kept.
	Finish(c *Context, id CallID, result Result) (keep bool)
	// Fence keeps a call that has not started from starting, at least until the
	// given time, and reports whether the call had started.
	Fence(c *Context, id CallID, until time.Time) (started bool)
	// Expire removes old records and returns the calls whose kept replies were
	// dropped.
	Expire(c *Context) []CallID
}

// Drainer tracks whether the node's backend server accepts new work.
type Drainer interface {
	// Drain starts a drain, or undoes one.
	Drain(c *Context, undo bool)
	// SetWithdrawn records whether the backend server itself refuses new work.
	SetWithdrawn(c *Context, withdrawn bool)
	// SetStatedLeaving records whether the current incarnation of the backend server
	// says in its answers that it is leaving.
	SetStatedLeaving(c *Context, leaving bool)
	// Leaving reports whether new work is refused because of a drain or by the
	// backend server itself. It does not cover BackendServer.Drained.
	Leaving() bool
	// Starting reports whether new work is refused only because the backend server has not
	// reported since the start of the node.
	Starting() bool
}
