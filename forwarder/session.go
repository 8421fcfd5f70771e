package forwarder

import (
	"errors"
	"io"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"
)

// session serves one stream from another node, which carries one attempt after
// another. The reader passes each attempt to the writer, which sends its reply.
// Both goroutines last as long as the stream.
type session struct {
	forwarder *Forwarder
	stream    drpc.Stream
	// current is the last attempt that was opened; nil before the first.
	current *inbound
	opened  chan *inbound
	// offset is the least time, by both nodes' clocks, from the sending of an opening to
	// its receipt: the difference of the clocks, and a short time on the way.
	offset time.Duration
}

// maxOpeningAge is the age from which on an opening may have its cancellation behind it,
// so that the sending node is asked whether the attempt is still wanted.
const maxOpeningAge = 250 * time.Millisecond

// late reports whether an opening was on its way, or waited in the input of this
// process, for long.
func (s *session) late(o *opening) bool {
	sent := o.sent()
	if sent.IsZero() {
		return false
	}
	took := time.Since(sent)
	s.offset = min(s.offset, took)
	return took-s.offset > maxOpeningAge
}

// confirmed notes what a confirmation, which is never old, tells of the clocks.
func (s *session) confirmed(o *opening) {
	if sent := o.sent(); !sent.IsZero() {
		s.offset = time.Since(sent)
	}
}

func newSession(f *Forwarder, stream drpc.Stream) *session {
	return &session{
		forwarder: f,
		stream:    stream,
		opened:    make(chan *inbound, 1),
	}
}

// serve serves the stream until it ends.
func (s *session) serve() error {
	written := make(chan struct{})
	go func() {
		defer close(written)
		s.write()
	}()
	err := s.read()
	if s.current != nil {
		s.current.disconnect()
	}
	close(s.opened)
	<-written
	return err
}

// read handles frames until the stream ends.
func (s *session) read() error {
	var f frame
	for {
		err := s.stream.MsgRecv(&f, frameEncoding)
		if errors.Is(err, io.EOF) {
			s.forgetDelivered()
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		if err := s.handleFrame(f); err != nil {
			return err
		}
		f.reset()
	}
}

func (s *session) handleFrame(f frame) error {
	switch {
	case f.Kind == frameOpen || s.current == nil:
		return s.open(f)
	case f.Kind == frameDelivered:
		s.forgetDelivered()
		return nil
	case f.Kind == frameConfirmed && f.Open != nil:
		s.confirmed(f.Open)
	}
	return s.current.handleFrame(f)
}

// open begins an attempt. The sending node opens it once it has the whole result of
// the previous one.
func (s *session) open(f frame) error {
	if err := f.checkOpen(); err != nil {
		return err
	}
	s.forgetDelivered()
	s.current = s.forwarder.acceptAttempt(s.stream, f)
	switch {
	case s.current.refuseWithoutMemory():
	case s.late(f.Open):
		s.current.askConfirmation()
	default:
		s.current.report()
	}
	select {
	case s.opened <- s.current:
		return nil
	default:
		s.current.close()
		return trace.BadParameter("opening: the previous attempt has no result yet")
	}
}

// forgetDelivered forgets the call of the last attempt, whose reply the sending node
// has received.
func (s *session) forgetDelivered() {
	if s.current != nil {
		s.current.forgetDelivered()
	}
}

// write sends the replies of the opened attempts. If one can't be sent, it closes
// the stream, which ends read.
func (s *session) write() {
	for in := range s.opened {
		err := in.serve()
		in.close()
		if err != nil {
			_ = s.stream.Close()
		}
	}
}
