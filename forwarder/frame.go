package forwarder

import (
	"net/http"
	"time"

	"waxwingseam.example/waxwingseam"
)

// frameKind says what a frame carries.
type frameKind uint8

const (
	// frameOpen begins an attempt, or resumes one over a fresh connection.
	frameOpen frameKind = iota + 1
	// frameHead is the beginning of the reply.
	frameHead
	// frameData is a part of a body.
	frameData
	// frameEnd says that the request body is whole.
	frameEnd
	// frameResult ends an attempt.
	frameResult
	// frameHeartbeat shows that the sending end lives.
	frameHeartbeat
	// frameCancel says that the sender wants the attempt no more.
	frameCancel
)

// frame is one message of an attempt between two nodes.
type frame struct {
	Kind frameKind  `cbor:"1,keyasint"`
	Open *opening   `cbor:"2,keyasint,omitempty"`
	Head *replyHead `cbor:"3,keyasint,omitempty"`
	// Offset is the place in the body of Data's first byte.
	Offset int64  `cbor:"4,keyasint,omitempty"`
	Data   []byte `cbor:"5,keyasint,omitempty"`
	// Consumed is how many bytes of the other direction's body were used up.
	Consumed int64 `cbor:"6,keyasint,omitempty"`
	// Length and Digest are those of the whole request body, in frameEnd.
	Length int64  `cbor:"7,keyasint,omitempty"`
	Digest uint64 `cbor:"8,keyasint,omitempty"`
	// Result is set in frameResult.
	Result *waxwingseam.Result `cbor:"9,keyasint,omitempty"`
	// Whole is set where Data is the whole request body, in frameOpen.
	Whole bool `cbor:"11,keyasint,omitempty"`
	// Incarnation is the receiving node's life.
	Incarnation waxwingseam.Incarnation `cbor:"10,keyasint,omitempty"`
}

// opening is the header of an attempt.
type opening struct {
	Root           waxwingseam.RootID      `cbor:"1,keyasint"`
	ID             waxwingseam.CallID      `cbor:"2,keyasint"`
	Parent         waxwingseam.CallID      `cbor:"3,keyasint,omitzero"`
	Service        waxwingseam.ServiceName `cbor:"4,keyasint"`
	Class          waxwingseam.ClassName   `cbor:"5,keyasint"`
	Rank           waxwingseam.Rank        `cbor:"6,keyasint"`
	Depth          uint8                   `cbor:"7,keyasint"`
	Repeat         waxwingseam.Repeat      `cbor:"8,keyasint"`
	TimeToDeadline time.Duration           `cbor:"9,keyasint"`
	Retries        waxwingseam.Allowance   `cbor:"10,keyasint"`
	Key            string                  `cbor:"11,keyasint,omitempty"`
	Revision       waxwingseam.Revision    `cbor:"12,keyasint"`
	Attempt        waxwingseam.Attempt     `cbor:"13,keyasint"`
	// Incarnation is the life that the attempt began with; 0 for a new one.
	Incarnation waxwingseam.Incarnation `cbor:"14,keyasint,omitempty"`
	Method      string                  `cbor:"15,keyasint"`
	Target      string                  `cbor:"16,keyasint"`
	Header      http.Header             `cbor:"17,keyasint"`
	// Length is the request body's as declared; -1 while unknown.
	Length int64 `cbor:"18,keyasint"`
	// Offset is how much of the reply the sender has.
	Offset int64 `cbor:"19,keyasint,omitempty"`
	// Resumed is set when the attempt goes on over a fresh connection.
	Resumed bool `cbor:"20,keyasint,omitempty"`
	// Trace is the trace that the call belongs to.
	Trace waxwingseam.TraceContext `cbor:"21,keyasint,omitzero"`
	// Deadline is that of the call on the sender's clock.
	Deadline time.Time `cbor:"22,keyasint"`
	// Relayed is set when another node passes the attempt on.
	Relayed bool `cbor:"24,keyasint,omitempty"`
	// RequestID is the caller's own identifier of the request.
	RequestID string `cbor:"25,keyasint,omitempty"`
	// Repeated is set when a backend server may have been handed the call before.
	Repeated bool `cbor:"26,keyasint,omitempty"`
	// Host is the host that the caller named.
	Host string `cbor:"23,keyasint,omitempty"`
}

// replyHead is the beginning of a reply.
type replyHead struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	// Length is the reply body's as declared; -1 while unknown.
	Length int64 `cbor:"3,keyasint"`
}

// maxSkew is how far the clocks of two hosts may differ. What the network
// holds back for longer is taken for late and never starts.
const maxSkew = 30 * time.Second

// newOpening returns the header of an attempt. The deadline travels as the
// time that is left, so that the hosts' clocks need not agree closely.
func newOpening(call waxwingseam.Call, attempt waxwingseam.Attempt, now time.Time) *opening {
	return &opening{
		Root:           call.Root,
		ID:             call.ID,
		RequestID:      call.RequestID,
		Parent:         call.Parent,
		Service:        call.Service,
		Class:          call.Class,
		Rank:           call.Rank,
		Depth:          call.Depth,
		Repeat:         call.Repeat,
		TimeToDeadline: call.Deadline.Sub(now),
		Deadline:       call.Deadline,
		Retries:        call.Allowance,
		Repeated:       call.Repeated,
		Key:            call.Key,
		Revision:       call.Revision,
		Attempt:        attempt,
		Trace:          call.Trace,
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

// call returns the call as the receiving node sees it.
func (o *opening) call(now time.Time) waxwingseam.Call {
	return waxwingseam.Call{
		Root:      o.Root,
		ID:        o.ID,
		RequestID: o.RequestID,
		Parent:    o.Parent,
		Service:   o.Service,
		Class:     o.Class,
		Rank:      o.Rank,
		Depth:     o.Depth,
		Repeat:    o.Repeat,
		Deadline:  o.deadline(now),
		Resumed:   o.Resumed,
		Allowance: o.Retries,
		Repeated:  o.Repeated,
		Key:       o.Key,
		Revision:  o.Revision,
		Trace:     o.Trace,
	}
}

// fenceRequest asks that a call shall not start any more.
type fenceRequest struct {
	ID waxwingseam.CallID `cbor:"1,keyasint"`
	// Duration is how long the fence must stand.
	Duration time.Duration `cbor:"2,keyasint"`
}

// fenceReply is the answer to a fenceQuestion.
type fenceReply struct {
	Started     bool                    `cbor:"1,keyasint"`
	Incarnation waxwingseam.Incarnation `cbor:"2,keyasint"`
}
