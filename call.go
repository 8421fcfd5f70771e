package waxwingseam

import "time"

// Call is the header of one call, as it travels from node to node.
type Call struct {
	// Root identifies the whole request.
	Root RootID
	// ID identifies this call.
	ID CallID
	// RequestID is the caller's own identifier of the request; empty without one.
	RequestID string
	// Parent is the call whose run made this one; zero for a root.
	Parent CallID
	// Service is the service called.
	Service ServiceName
	// Class is the root's request class for a root, the call's own below it.
	Class ClassName
	// Rank is the root's place in the order of service.
	Rank Rank
	// Depth counts the hops above the call; 0 for a root.
	Depth uint8
	// Repeat is the class's repeat rule.
	Repeat Repeat
	// Deadline is when the answer is of no more use, on the local clock.
	Deadline time.Time
	// Allowance is what the call and all below it may still spend on retries.
	Allowance Allowance
	// Repeated is set when a backend server may have been handed the call, or one
	// above it, before.
	Repeated bool
	// Key is the caller's idempotency key; empty without one.
	Key string
	// Resumed is set when an attempt goes on over a fresh connection, so that
	// an earlier opening of it may still be under way.
	Resumed bool
	// Revision is the sender's configuration in force.
	Revision Revision
	// Trace is the trace that the call belongs to.
	Trace TraceContext
}
