package forwarder

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// relayTries limits the connections over which a call is relayed, one after
// another.
const relayTries = 3

// relay forwards the attempt to the server that holds its key; the reply is
// returned through this node.
func (in *inbound) relay(holder waxwingseam.Server) {
	h := in.call
	ctx, cancel := context.WithDeadline(context.Background(), in.opening.deadline(time.Now()))
	h.mu.Lock()
	alreadyRunning := h.running
	h.running = true
	h.relaying = true
	h.cancel = cancel
	h.mu.Unlock()
	in.follow(h)
	if alreadyRunning {
		cancel()
		return
	}
	go func() {
		defer cancel()
		h.relay(ctx, in, holder)
	}()
}

// relay relays the call until its result, and answers the connected attempts.
func (h *hostedCall) relay(ctx context.Context, in *inbound, holder waxwingseam.Server) {
	result := waxwingseam.Result{
		Outcome: waxwingseam.OutcomeMayHaveRun,
		Reason:  waxwingseam.ReasonConnectionFailed,
	}
	for range relayTries {
		got, err := h.relayOnce(ctx, in, holder)
		if err == nil {
			result = got
			break
		}
		if ctx.Err() != nil {
			result.Reason = waxwingseam.ReasonCancelled
			break
		}
	}
	if result.Completed() {
		h.reply.end()
	} else {
		h.reply.fail(errCallOver)
	}
	h.finish()
	result.Reached = true
	for _, number := range h.attempts() {
		if in := h.forwarder.inbound(attemptKey{h.opening.ID, number}); in != nil {
			in.answer(result)
		}
	}
	h.forget()
}

// attempts returns the attempts that are connected.
func (h *hostedCall) attempts() []waxwingseam.Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]waxwingseam.Attempt, 0, len(h.inbounds))
	for _, in := range h.inbounds {
		out = append(out, in.opening.Attempt)
	}
	return out
}

// relayOnce relays the call over one connection.
func (h *hostedCall) relayOnce(ctx context.Context, in *inbound, holder waxwingseam.Server) (waxwingseam.Result, error) {
	f := h.forwarder
	conn, err := f.dial(ctx, holder.Node)
	if err != nil {
		return waxwingseam.Result{}, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := conn.NewStream(ctx, methodCall, frameEncoding)
	if err != nil {
		return waxwingseam.Result{}, trace.Wrap(err)
	}
	c := newChannel(stream, 0, releasedOffset{h.reply}, &link{conn: conn, stream: stream})
	defer c.stop()
	if err := c.send(frame{Kind: frameOpen, Open: in.relayedOpening(h.reply.length())}); err != nil {
		return waxwingseam.Result{}, err
	}
	ended := make(chan struct{})
	defer close(ended)
	stop := context.AfterFunc(ctx, func() { _ = c.send(frame{Kind: frameCancel}) })
	defer stop()
	go h.relayBody(c, ended)
	return h.relayReply(ctx, c, in)
}

// relayedOpening returns the opening for the server that holds the key.
func (in *inbound) relayedOpening(offset int64) *opening {
	now := time.Now()
	o := *in.opening
	o.Relayed = true
	o.Incarnation = 0
	o.Known = nil
	o.Offset = offset
	o.TimeToDeadline -= now.Sub(in.received)
	o.Deadline = now.Add(o.TimeToDeadline)
	return &o
}

// relayBody forwards the request body until the connection ends.
func (h *hostedCall) relayBody(c *channel, ended <-chan struct{}) {
	halted := func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	}
	if err := newPump(c, h.body, halted).send(h.body.start()); err != nil || halted() {
		return
	}
	h.mu.Lock()
	f := frame{
		Kind:   frameEnd,
		Length: h.body.length(),
		Digest: h.digest.Sum64(),
	}
	h.mu.Unlock()
	_ = c.send(f)
}

// relayReply receives the reply until the result. The sender checks its digest.
func (h *hostedCall) relayReply(ctx context.Context, c *channel, in *inbound) (waxwingseam.Result, error) {
	var f frame
	for {
		if err := c.receive(&f); err != nil {
			return waxwingseam.Result{}, err
		}
		if f.Kind == frameConfirmAsked && ctx.Err() == nil {
			go func() { _ = c.send(frame{Kind: frameConfirmed, Open: in.relayedOpening(0)}) }()
		}
		h.consumed.Store(max(h.consumed.Load(), f.Consumed))
		h.body.release(f.Consumed)
		h.relayHead(f.Head)
		if err := h.relayData(f); err != nil {
			return waxwingseam.Result{}, err
		}
		if f.Kind == frameResult && f.Result != nil {
			return *f.Result, nil
		}
	}
}

func (h *hostedCall) relayData(f frame) error {
	if len(f.Data) == 0 {
		return nil
	}
	data, err := dataFrom(f, h.reply.length())
	if err != nil {
		return err
	}
	return h.reply.add(data)
}

func (h *hostedCall) relayHead(head *replyHead) {
	if head != nil {
		h.head.CompareAndSwap(nil, head)
	}
}
