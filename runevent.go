package waxwingseam

import "time"

// The kinds of the events at a call's receiving node.
const (
	KindAttemptArrived   Kind = "attempt-arrived"
	KindAttemptCancelled Kind = "attempt-cancelled"
	KindRunEnded         Kind = "run-ended"
	KindFenceAsked       Kind = "fence-asked"
	KindDrainAsked       Kind = "drain-asked"
	KindBackendReported  Kind = "backend-reported"
)

// AttemptArrived is the arrival of an attempt at the receiving node.
type AttemptArrived struct {
	Stamp
	Call    Call
	Attempt Attempt
	// Incarnation is the incarnation of this node that the sender addressed; 0
	// for any.
	Incarnation Incarnation
	// Known is what the sender knows from answers of the backend server; nil if it
	// knows nothing.
	Known *KnownStatement
	// Patient is set if the call may wait for the backend server's rate limit.
	Patient bool
	// Received is when the node received the attempt; the event may be reduced
	// later. It is zero if unknown.
	Received time.Time
	// Sent is when the sender opened the attempt, or resumed it, on the sender's clock;
	// zero if unknown.
	Sent time.Time
	// Fingerprint is that of the request. Its digest is set if the request is watched; see
	// WatchRequests.
	Fingerprint Fingerprint `cbor:",omitzero"`
	// PathDigest is a digest of the path, and BodySize the number of bits in the declared
	// length of the request body; 0 if unknown or empty, 64 if it is not declared.
	PathDigest uint64 `cbor:",omitempty"`
	BodySize   uint8  `cbor:",omitempty"`
}

// AttemptCancelled says that the sender has cancelled an attempt.
type AttemptCancelled struct {
	Stamp
	ID      CallID
	Attempt Attempt
}

// RunEnded is the end of a run at the backend server.
type RunEnded struct {
	Stamp
	ID CallID
	// Result is the run's result, with the length and digest of the reply.
	Result Result
	// Elapsed is the time from the hand-over to the backend server to the end.
	Elapsed time.Duration
	// Fingerprint is that of the request. Its digest is set if the request was written
	// and got no whole reply.
	Fingerprint Fingerprint `cbor:",omitzero"`
	// Connection says how the connection to the backend server ended.
	Connection ConnectionEnd `cbor:",omitempty"`
	// Load is what the backend server said of its load in the header of its answer.
	Load BackendLoad `cbor:",omitzero"`
}

// FenceAsked asks to keep a call from starting.
type FenceAsked struct {
	Stamp
	ID CallID
	// Until is the time up to which the fence must hold.
	Until time.Time
	// Cancel is set if nobody waits for the call any more, so that its run is to be
	// cancelled if it has started.
	Cancel bool
}

// DrainAsked starts or undoes a drain.
type DrainAsked struct {
	Stamp
	Undo bool
	// Stop is set if the process stops after the drain.
	Stop ProcessStop `cbor:",omitzero"`
}

// ProcessStop says when a process that stops breaks off its calls. It is zero if the process
// waits for all of them.
type ProcessStop struct {
	// CallersUntil is the time until which callers are expected to find another node. Their
	// calls are taken until then, however long they may last.
	CallersUntil time.Time
	// CallsUntil is the time at which calls are broken off.
	CallsUntil time.Time
}

// BackendReported is a report from the node's own backend server.
type BackendReported struct {
	Stamp
	Report BackendReport
	// Request identifies the report in RecordEnding; 0 if nobody waits for that.
	Request uint64 `cbor:",omitempty"`
}

// Kind implements Event.
func (BackendReported) Kind() Kind { return KindBackendReported }

// Kind implements Event.
func (AttemptArrived) Kind() Kind { return KindAttemptArrived }

// Kind implements Event.
func (AttemptCancelled) Kind() Kind { return KindAttemptCancelled }

// Kind implements Event.
func (RunEnded) Kind() Kind { return KindRunEnded }

// Kind implements Event.
func (FenceAsked) Kind() Kind { return KindFenceAsked }

// Kind implements Event.
func (DrainAsked) Kind() Kind { return KindDrainAsked }
