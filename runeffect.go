package waxwingseam

// The kinds of effects at a call's receiving node.
const (
	KindRun           Kind = "run"
	KindCancelRun     Kind = "cancel-run"
	KindAnswerAttempt Kind = "answer-attempt"
	KindJoinRun       Kind = "join-run"
	KindAnswerFence   Kind = "answer-fence"
	KindForgetRun     Kind = "forget-run"
	KindAnnounce      Kind = "announce"
)

// Run hands a call to the backend server.
type Run struct {
	Call    Call
	Attempt Attempt
	// Instance identifies the backend server's incarnation that must run the
	// call; empty for any.
	Instance string
	// Backend is the incarnation of the backend server as the node knows it.
	Backend BackendIncarnation
	// HandOver numbers the runs in the order of their hand-over to the backend
	// server, starting at 1 with each process of the node.
	HandOver uint64
}

// CancelRun cancels a run at the backend server.
type CancelRun struct {
	ID CallID
}

// AnswerAttempt answers the sender of an attempt. If Result is completed, it
// ends the backend server's reply, which has already been streamed; otherwise
// it is the whole answer.
type AnswerAttempt struct {
	ID      CallID
	Attempt Attempt
	Result  Result
}

// JoinRun answers an attempt with the reply of a run that continues or has
// ended.
type JoinRun struct {
	ID      CallID
	Attempt Attempt
	// Owner is the call whose run gives the reply; it differs from ID if a
	// caller's key joins two calls.
	Owner CallID
}

// AnswerFence answers a fence.
type AnswerFence struct {
	ID          CallID
	Started     bool
	Incarnation Incarnation
}

// ForgetRun drops the kept reply of a run.
type ForgetRun struct {
	ID CallID
}

// Announce tells control and the peers that the node's own state changed.
type Announce struct {
	Self Server
}

// Kind implements Effect.
func (Run) Kind() Kind { return KindRun }

// Kind implements Effect.
func (CancelRun) Kind() Kind { return KindCancelRun }

// Kind implements Effect.
func (AnswerAttempt) Kind() Kind { return KindAnswerAttempt }

// Kind implements Effect.
func (JoinRun) Kind() Kind { return KindJoinRun }

// Kind implements Effect.
func (AnswerFence) Kind() Kind { return KindAnswerFence }

// Kind implements Effect.
func (ForgetRun) Kind() Kind { return KindForgetRun }

// Kind implements Effect.
func (Announce) Kind() Kind { return KindAnnounce }
