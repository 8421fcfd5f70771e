package waxwingseam

import "time"

// The kinds of the events at a call's sending node.
const (
	KindCallArrived    Kind = "call-arrived"
	KindCallerLeft     Kind = "caller-left"
	KindReplyStarted   Kind = "reply-started"
	KindBodyConsumed   Kind = "body-taken"
	KindAttemptEnded   Kind = "attempt-ended"
	KindAttemptSilent  Kind = "attempt-silent"
	KindFenceAnswered  Kind = "fence-answered"
	KindTimerFired     Kind = "timer-fired"
	KindServersUpdated Kind = "servers-learned"
	KindSetAdopted     Kind = "set-adopted"
)

// CallArrived is a call from a caller or from the node's own backend server.
type CallArrived struct {
	Stamp
	// ID is the identifier that the node assigned to the call.
	ID CallID
	// RequestID is the caller's own identifier of the request; empty without one.
	RequestID string
	// Root is set for a call without a parent.
	Root RootID
	// Parent is the run that made the call, from its context header; zero for
	// a root.
	Parent CallID
	// ParentRequestID is the caller's identifier of the request whose run made
	// the call; empty if the caller gives none. It is used if Parent is zero.
	ParentRequestID string
	// Outbound is set for a call from the node's own backend server. Without a
	// parent it is a root, which gets no retries unless its class has a host.
	Outbound bool
	// Service, Method and Path say what is called. If Service is empty, Host and
	// Path determine the request class.
	Service ServiceName
	Host    string
	Method  string
	Path    string
	// Timeout is the timeout that the caller set; 0 without one.
	Timeout time.Duration
	// Key is the caller's idempotency key; empty without one.
	Key string
	// Replayable is set if, at arrival, the whole body can be sent again.
	Replayable bool
	// Receiving is set if, at arrival, the end of the body has not been received.
	Receiving bool `cbor:",omitempty"`
	// Trace is the caller's trace context; zero without one.
	Trace TraceContext
	// KeyDigest is the digest of the client account's key; zero without a key.
	KeyDigest KeyDigest `cbor:",omitzero"`
}

// CallerLeft says that the caller of a call has left and needs no answer.
type CallerLeft struct {
	Stamp
	ID CallID
}

// ReplyStarted says that the first part of an attempt's answer was sent to the
// caller, so that the call can no longer be retried.
type ReplyStarted struct {
	Stamp
	ID      CallID
	Attempt Attempt
}

// BodyConsumed says that the beginning of a call's body is no longer buffered,
// so that the call can no longer be retried.
type BodyConsumed struct {
	Stamp
	ID CallID
}

// AttemptEnded is the end of one attempt at its sending node.
type AttemptEnded struct {
	Stamp
	ID      CallID
	Attempt Attempt
	Result  Result
}

// AttemptSilent says that an attempt's connection makes no progress.
type AttemptSilent struct {
	Stamp
	ID      CallID
	Attempt Attempt
}

// FenceAnswered is a receiving node's answer to a fence.
type FenceAnswered struct {
	Stamp
	ID      CallID
	Attempt Attempt
	// Reached is unset when no answer came.
	Reached bool
	// Started is set when the call had been handed to the backend server.
	Started bool
	// Incarnation is the incarnation of the answering node.
	Incarnation Incarnation
}

// TimerFired is the expiry of a timer armed by ArmTimer. Timer is zero if the
// timer was stopped or replaced in the meantime.
type TimerFired struct {
	Stamp
	Timer TimerID
}

// ServersUpdated lists backend servers that were announced, changed or removed.
type ServersUpdated struct {
	Stamp
	Servers []Server
	Gone    []ServerName
}

// SetAdopted puts a configuration in force.
type SetAdopted struct {
	Stamp
	Set *Set
}

// Kind implements Event.
func (CallArrived) Kind() Kind { return KindCallArrived }

// Kind implements Event.
func (CallerLeft) Kind() Kind { return KindCallerLeft }

// Kind implements Event.
func (ReplyStarted) Kind() Kind { return KindReplyStarted }

// Kind implements Event.
func (BodyConsumed) Kind() Kind { return KindBodyConsumed }

// Kind implements Event.
func (AttemptEnded) Kind() Kind { return KindAttemptEnded }

// Kind implements Event.
func (AttemptSilent) Kind() Kind { return KindAttemptSilent }

// Kind implements Event.
func (FenceAnswered) Kind() Kind { return KindFenceAnswered }

// Kind implements Event.
func (TimerFired) Kind() Kind { return KindTimerFired }

// Kind implements Event.
func (ServersUpdated) Kind() Kind { return KindServersUpdated }

// Kind implements Event.
func (SetAdopted) Kind() Kind { return KindSetAdopted }
