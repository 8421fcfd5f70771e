package waxwingseam

import "time"

// Place identifies calls that need the same services below them: without the depth, the
// shares of a service that calls itself through others would feed back.
type Place struct {
	Class      ClassName
	Importance Importance
	Depth      uint8
	// Account is the client account of the calls; TagNone without one.
	Account AccountTag
}

// Place returns the place of a call.
func (c *Call) Place() Place {
	return Place{Class: c.Class, Importance: c.Rank.Importance, Depth: c.Depth, Account: c.Account.Tag()}
}

// Call is the header of one call, which nodes send to each other.
type Call struct {
	// Root identifies the root request that the call belongs to.
	Root RootID
	// ID identifies this call.
	ID CallID
	// RequestID is the caller's own identifier of the request; empty without one.
	RequestID string
	// Parent is the call whose run made this one; zero for a root.
	Parent CallID
	// Service is the service called.
	Service ServiceName
	// Class is the call's own request class, which may differ from its root's.
	Class ClassName
	// Account is the client account of the root; empty without one.
	Account AccountName
	// Rank is the root's place in the order of service.
	Rank Rank
	// Depth counts the hops above the call; 0 for a root. An outbound call without
	// a known parent has depth 1 if its class has a host.
	Depth uint8
	// RefusedPermille is the share of the roots of the root's class that its first
	// node refused when it admitted the root.
	RefusedPermille Permille
	// Repeat is the class's repeat rule.
	Repeat Repeat
	// Deadline is when the answer becomes useless, on the local clock.
	Deadline time.Time
	// Allowance is how many retries the call and all calls below it may make.
	Allowance Allowance
	// Repeated is set when the call, or a call above it, may have been handed to
	// a backend server before.
	Repeated bool
	// Key is the caller's idempotency key; empty without one.
	Key string
	// Resumed is set when an attempt continues over a new connection. The request
	// sent over the earlier connection may then still arrive.
	Resumed bool
	// Revision is the revision in force at the sender.
	Revision Revision
	// Trace is the trace that the call belongs to.
	Trace TraceContext
}
