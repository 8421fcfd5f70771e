package waxwingseam

import "time"

// The kinds of effects at a call's sending node.
const (
	KindDispatch      Kind = "dispatch"
	KindReply         Kind = "reply"
	KindCancelAttempt Kind = "cancel-attempt"
	KindFence         Kind = "fence"
	KindResume        Kind = "resume"
	KindArmTimer      Kind = "arm-timer"
	KindStopTimer     Kind = "stop-timer"
)

// TimerPurpose names what a timer is for.
type TimerPurpose string

// TimerID identifies one timer; arming it again replaces it.
type TimerID struct {
	Purpose TimerPurpose
	Call    CallID
}

// Dispatch sends an attempt to a backend server's node.
type Dispatch struct {
	Call    Call
	Attempt Attempt
	Server  Server
	// Known is what the node knows from answers of the backend server; nil if it
	// knows nothing.
	Known *KnownStatement
	// Patient is set if the call may wait for the server's rate limit, as the node
	// knows no server that could take it sooner.
	Patient bool
}

// Reply answers the caller: with an attempt's reply if Result is completed,
// otherwise with a problem that the system reports itself. Each call gets one
// reply, even if its caller has left.
type Reply struct {
	ID      CallID
	Attempt Attempt
	Result  Result
	// Refusal is set for a call that was refused before its first attempt.
	Refusal *Refusal `cbor:",omitempty"`
	// Account is the client account of a root; empty without one and for other calls.
	Account AccountName `cbor:",omitempty"`
}

// CancelAttempt tells a receiving node that an attempt is no longer wanted.
type CancelAttempt struct {
	ID      CallID
	Attempt Attempt
}

// Fence asks a receiving node to keep a call from starting.
type Fence struct {
	ID      CallID
	Attempt Attempt
	Server  Server
	// Until is a time by which the call's deadline has passed on every host.
	Until time.Time
}

// Resume asks a receiving node, over a new connection, for the answer to an
// attempt.
type Resume struct {
	ID      CallID
	Attempt Attempt
	Server  Server
}

// ArmTimer requests a TimerFired at a given time.
type ArmTimer struct {
	Timer TimerID
	At    time.Time
}

// StopTimer cancels an armed timer.
type StopTimer struct {
	Timer TimerID
}

// Kind implements Effect.
func (Dispatch) Kind() Kind { return KindDispatch }

// Kind implements Effect.
func (Reply) Kind() Kind { return KindReply }

// Kind implements Effect.
func (CancelAttempt) Kind() Kind { return KindCancelAttempt }

// Kind implements Effect.
func (Fence) Kind() Kind { return KindFence }

// Kind implements Effect.
func (Resume) Kind() Kind { return KindResume }

// Kind implements Effect.
func (ArmTimer) Kind() Kind { return KindArmTimer }

// Kind implements Effect.
func (StopTimer) Kind() Kind { return KindStopTimer }
