package forwarder

import (
	"errors"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
)

// newInbound returns an attempt of a call, over a stream.
func newInbound(stream drpc.Stream) *inbound {
	f := New(Config{Step: func(func(waxwingseam.Stamp) waxwingseam.Event) {}})
	o := &opening{ID: waxwingseam.NewCallID(1, 2), Attempt: 1, Method: "POST", Target: "/", Length: -1}
	in := &inbound{forwarder: f, opening: o, call: f.hostedCallFor(o)}
	in.changed.L = &in.mu
	in.channel = newChannel(stream, 1, new(atomic.Int64), in)
	return in
}

// sentMessages counts the messages that are sent over a stream.
type sentMessages struct {
	drpc.Stream
	count int
}

func (s *sentMessages) MsgSend(drpc.Message, drpc.Encoding) error {
	s.count++
	return nil
}

// TestCompletedResultWithoutReply guards against an attempt that is disconnected before its
// reply was sent, and that sends a completed result all the same.
func TestCompletedResultWithoutReply(t *testing.T) {
	stream := &sentMessages{}
	in := newInbound(stream)
	defer in.channel.stop()
	in.follow(in.call)
	in.call.setHead(replyHead{Status: 200, Length: -1})
	_, err := in.call.reply.Write(make([]byte, 2*chunkSize))
	qt.Assert(t, err, qt.IsNil)
	in.call.reply.end()
	in.answer(waxwingseam.Result{Outcome: waxwingseam.OutcomeCompleted, Status: 200})
	in.disconnect()
	qt.Assert(t, errors.Is(in.serve(), errCallOver), qt.IsTrue)
	qt.Assert(t, stream.count, qt.Equals, 0)
}

// TestRestOfBodyBreaksConnection guards against parts of a request body that arrive after its
// run has ended, and that are taken for a violation of the protocol.
func TestRestOfBodyBreaksConnection(t *testing.T) {
	in := newInbound(&sentMessages{})
	defer in.channel.stop()
	part := make([]byte, 10)
	qt.Assert(t, in.handleFrame(frame{Kind: frameData, Data: part}), qt.IsNil)
	in.call.finish()
	for n := 1; n < 4; n++ {
		qt.Assert(t, in.handleFrame(frame{Kind: frameData, Offset: int64(n * len(part)), Data: part}), qt.IsNil)
	}
}
