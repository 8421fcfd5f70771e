package forwarder

import (
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// receiveReply receives and handles frames until the result; f is room for them. It also
// reports whether the stream can carry another attempt.
func (a *attempt) receiveReply(c *channel, f *frame) (result waxwingseam.Result, keep bool, err error) {
	for {
		release := a.awaitMemory(c)
		err := c.receive(f)
		if err == nil {
			a.exchange.body.release(f.Consumed)
			err = a.handleFrame(*f)
		}
		release()
		if err != nil {
			return waxwingseam.Result{}, false, err
		}
		if f.Kind == frameResult && f.Result != nil {
			return a.verify(*f.Result), f.KeepsStream, nil
		}
	}
}

// handleFrame handles one frame of the reply.
func (a *attempt) handleFrame(f frame) error {
	a.mu.Lock()
	if f.Incarnation != 0 {
		a.incarnation = f.Incarnation
	}
	if f.Head != nil && a.head == nil {
		a.head = f.Head
	}
	cancelled := a.cancelled
	c := a.channel
	a.mu.Unlock()
	if f.Kind == frameConfirmAsked && !cancelled {
		go func() { _ = c.send(frame{Kind: frameConfirmed, Open: newOpening(a.call, a.number, time.Now())}) }()
		return nil
	}
	if len(f.Data) == 0 || cancelled {
		return nil
	}
	data, err := dataFrom(f, a.reply.length())
	if err != nil {
		return err
	}
	_, _ = a.digest.Write(data)
	if err := a.reply.add(data); err != nil {
		return err
	}
	if a.reply.length() > streamingThreshold {
		a.startStreaming()
	}
	return nil
}

// dataFrom returns the part of a frame's data from an offset on. It returns an
// error if the data starts after the offset.
func dataFrom(f frame, offset int64) ([]byte, error) {
	skip := offset - f.Offset
	if skip < 0 {
		return nil, trace.BadParameter("a part of the body is missing before offset %d", f.Offset)
	}
	return f.Data[min(skip, int64(len(f.Data))):], nil
}

// verify checks a completed reply against its length and digest.
func (a *attempt) verify(result waxwingseam.Result) waxwingseam.Result {
	if !result.Completed() {
		return result
	}
	a.mu.Lock()
	whole := a.head != nil
	a.mu.Unlock()
	if whole && result.Length == a.reply.length() && result.Digest == a.digest.Sum64() {
		return result
	}
	result.Outcome = waxwingseam.OutcomeMayHaveRun
	result.Reason = waxwingseam.ReasonDigestMismatch
	return result
}

// startStreaming makes the reply stream to the caller before its end is known.
func (a *attempt) startStreaming() {
	a.mu.Lock()
	first := !a.streaming
	a.streaming = true
	a.mu.Unlock()
	if !first {
		return
	}
	f := a.exchange.forwarder
	f.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.ReplyStarted{
			Stamp:   s,
			ID:      a.call.ID,
			Attempt: a.number,
		}
	})
	select {
	case a.exchange.started <- a:
	default:
	}
}

// replyHead returns the reply's status and headers; nil before they are known.
func (a *attempt) replyHead() *replyHead {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head
}

// acknowledge tells the receiving node how much of the reply was delivered.
func (a *attempt) acknowledge() {
	a.mu.Lock()
	c := a.channel
	a.mu.Unlock()
	if c != nil {
		_ = c.send(frame{Kind: frameHeartbeat})
	}
}
