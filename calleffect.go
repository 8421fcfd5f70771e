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

// TimerID names one timer; arming it again replaces it.
type TimerID struct {
	Purpose TimerPurpose
	Call    CallID
}

// Dispatch sends an attempt to a backend server's node.
type Dispatch struct {
	Call    Call
	Attempt Attempt
	Server  Server
}

// Reply answers the caller: with an attempt's reply where Result is
// completed, with a problem of the system's own otherwise. Each call gets one
// reply, also one whose caller has left.
type Reply struct {
	ID      CallID
	Attempt Attempt
	Result  Result
}

// CancelAttempt tells a receiving node that an attempt is wanted no more.
type CancelAttempt struct {
	ID      CallID
	Attempt Attempt
}

// Fence asks a receiving node that a call shall not start any more.
type Fence struct {
	ID      CallID
	Attempt Attempt
	Server  Server
	Until   time.Time
}

// Resume asks a receiving node, over a fresh connection, for an attempt's
// answer.
type Resume struct {
	ID      CallID
	Attempt Attempt
	Server  Server
}

// ArmTimer asks for a TimerFired at a time.
type ArmTimer struct {
	Timer TimerID
	At    time.Time
}

// StopTimer takes back an armed timer.
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
