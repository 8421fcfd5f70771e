package forwarder

import (
	"net/http"
	"time"

	"waxwingseam.example/waxwingseam"
)

// frameKind is the kind of a frame.
type frameKind uint8

const (
	// frameOpen begins an attempt, or resumes one over a new connection.
	frameOpen frameKind = iota + 1
	// frameHead carries the status and headers of the reply.
	frameHead
	// frameData carries a part of a body.
	frameData
	// frameEnd ends the request body.
	frameEnd
	// frameResult ends an attempt.
	frameResult
	// frameHeartbeat shows that its sender is alive.
	frameHeartbeat
	// frameCancel says that the sending node no longer wants the attempt.
	frameCancel
	// frameDelivered says that the sending node has the whole reply.
	frameDelivered
	// frameConfirmAsked asks whether an attempt that arrived late is still wanted.
	frameConfirmAsked
	// frameConfirmed says that the attempt is still wanted. Its opening has the
	// remaining time.
	frameConfirmed
)

// frame is one message of an attempt between two nodes.
type frame struct {
	Kind frameKind
	Open *opening
	Head *replyHead
	// Offset is the offset in the body of the first byte of Data.
	Offset int64
	Data   []byte
	// Consumed is how many bytes of the other direction's body were consumed.
	Consumed int64
	// Length and Digest are those of the whole request body.
	Length int64
	Digest uint64
	// Result is set in frameResult.
	Result *waxwingseam.Result
	// KeepsStream is set in frameResult if the stream can carry another attempt.
	KeepsStream bool
	// Whole is set in frameOpen if Data is the whole request body.
	Whole bool
	// Incarnation is the incarnation of the receiving node.
	Incarnation waxwingseam.Incarnation
}

// maxKeptData limits the room for data that a frame keeps.
const maxKeptData = 4 << 10

// reset empties the frame, but keeps the room for data unless it is large.
func (f *frame) reset() {
	data := f.Data[:0]
	if cap(data) > maxKeptData {
		data = nil
	}
	*f = frame{Data: data}
}

// opening is the header of an attempt.
type opening struct {
	Root           waxwingseam.RootID
	ID             waxwingseam.CallID
	Parent         waxwingseam.CallID
	Service        waxwingseam.ServiceName
	Class          waxwingseam.ClassName
	Account        waxwingseam.AccountName
	Rank           waxwingseam.Rank
	Depth          uint8
	Repeat         waxwingseam.Repeat
	TimeToDeadline time.Duration
	Allowance      waxwingseam.Allowance
	Key            string
	Revision       waxwingseam.Revision
	Attempt        waxwingseam.Attempt
	// Incarnation is the last known incarnation of the receiving node if the
	// attempt is resumed; otherwise 0.
	Incarnation waxwingseam.Incarnation
	Method      string
	Target      string
	Header      http.Header
	// Length is the declared length of the request body; -1 if unknown.
	Length int64
	// Offset is how many bytes of the reply the sending node has.
	Offset int64
	// Resumed is set if the attempt continues over a new connection.
	Resumed bool
	// Trace is the trace that the call belongs to.
	Trace waxwingseam.TraceContext
	// Deadline is the call's deadline on the sender's clock.
	Deadline time.Time
	// Relayed is set if another receiving node forwards the attempt.
	Relayed bool
	// RequestID is the caller's own identifier of the request.
	RequestID string
	// Repeated is set if a backend server may have been handed the call before.
	Repeated bool
	// RefusedPermille is that of the call; see waxwingseam.Call.
	RefusedPermille waxwingseam.Permille
	// Known is what the sender knows from answers of the backend server.
	Known *waxwingseam.KnownStatement
	// Patient is set if the call may wait for the backend server's rate limit.
	Patient bool
	// Host is the host in the caller's request.
	Host string
}

// replyHead is the status and the headers of a reply.
type replyHead struct {
	Status int
	Header http.Header
	// Length is the declared length of the reply body; -1 if unknown.
	Length int64
}

// maxSkew is how far the clocks of two hosts may differ. An attempt that the
// network delivers later than this after its deadline never starts.
const maxSkew = 30 * time.Second

// newOpening returns the header of an attempt. It includes the remaining time,
// so that the hosts' clocks need not agree closely.
func newOpening(call waxwingseam.Call, attempt waxwingseam.Attempt, now time.Time) *opening {
	return &opening{
		Root:            call.Root,
		ID:              call.ID,
		RequestID:       call.RequestID,
		Parent:          call.Parent,
		Service:         call.Service,
		Class:           call.Class,
		Account:         call.Account,
		Rank:            call.Rank,
		Depth:           call.Depth,
		RefusedPermille: call.RefusedPermille,
		Repeat:          call.Repeat,
		TimeToDeadline:  call.Deadline.Sub(now),
		Deadline:        call.Deadline,
		Allowance:       call.Allowance,
		Repeated:        call.Repeated,
		Key:             call.Key,
		Revision:        call.Revision,
		Attempt:         attempt,
		Trace:           call.Trace,
	}
}

// deadline returns the call's deadline on the local clock.
func (o *opening) deadline(now time.Time) time.Time {
	deadline := now.Add(o.TimeToDeadline)
	if latest := o.Deadline.Add(maxSkew); latest.Before(deadline) {
		return latest
	}
	return deadline
}

// sent returns when the opening was sent, on the sender's clock; zero if unknown.
func (o *opening) sent() time.Time {
	if o.Deadline.IsZero() {
		return time.Time{}
	}
	return o.Deadline.Add(-o.TimeToDeadline)
}

// call returns the call as the receiving node sees it.
func (o *opening) call(now time.Time) waxwingseam.Call {
	return waxwingseam.Call{
		Root:            o.Root,
		ID:              o.ID,
		RequestID:       o.RequestID,
		Parent:          o.Parent,
		Service:         o.Service,
		Class:           o.Class,
		Account:         o.Account,
		Rank:            o.Rank,
		Depth:           o.Depth,
		RefusedPermille: o.RefusedPermille,
		Repeat:          o.Repeat,
		Deadline:        o.deadline(now),
		Resumed:         o.Resumed,
		Allowance:       o.Allowance,
		Repeated:        o.Repeated,
		Key:             o.Key,
		Revision:        o.Revision,
		Trace:           o.Trace,
	}
}

// fenceRequest asks a receiving node to keep a call from starting.
type fenceRequest struct {
	ID waxwingseam.CallID `cbor:"1,keyasint"`
	// Duration is how long the fence must remain in force.
	Duration time.Duration `cbor:"2,keyasint"`
	// Cancel is set if the call's run is to be cancelled.
	Cancel bool `cbor:"3,keyasint,omitempty"`
}

// fenceReply is the answer to a fenceRequest.
type fenceReply struct {
	Started     bool                    `cbor:"1,keyasint"`
	Incarnation waxwingseam.Incarnation `cbor:"2,keyasint"`
}
