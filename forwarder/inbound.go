package forwarder

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
)

// inbound is one attempt at its receiving node, over one connection.
type inbound struct {
	forwarder *Forwarder
	opening   *opening
	// host keeps the call that the attempt belongs to.
	host    *hosted
	channel *channel

	// followed is closed once source is set, answered once result is.
	followed chan struct{}
	answered chan struct{}
	gone     chan struct{}
	left     atomic.Bool

	mu     sync.Mutex
	source *hosted
	result *waxwingseam.Result
}

// attemptKey identifies an attempt at its receiving node.
type attemptKey struct {
	id      waxwingseam.CallID
	attempt waxwingseam.Attempt
}

func (in *inbound) key() attemptKey {
	return attemptKey{in.opening.ID, in.opening.Attempt}
}

// inbound returns the present connection of an attempt; nil without one.
func (f *Forwarder) inbound(key attemptKey) *inbound {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inbounds[key]
}

// admit enters an attempt, in place of the same one over an older connection,
// and steps its arrival.
func (f *Forwarder) admit(stream drpc.Stream, first frame) *inbound {
	o := first.Open
	in := &inbound{
		forwarder: f,
		opening:   o,
		followed:  make(chan struct{}),
		answered:  make(chan struct{}),
		gone:      make(chan struct{}),
	}
	in.host = f.hostOf(o)
	if first.Whole {
		in.host.takeWhole(first)
	}
	in.channel = newChannel(stream, waxwingseam.Incarnation(f.incarnation.Load()), in.host.taken.Load, in.leave)
	in.host.attach(in)
	f.mu.Lock()
	f.inbounds[in.key()] = in
	f.mu.Unlock()
	if f.config.Arbitrated && o.Key != "" && o.Repeat == waxwingseam.RepeatNever {
		in.arriveWithKey()
	} else {
		in.arrive()
	}
	return in
}

// arrive steps the attempt's arrival.
func (in *inbound) arrive() {
	o := in.opening
	in.forwarder.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.AttemptArrived{
			Stamp:       s,
			Call:        o.call(s.Now),
			Attempt:     o.Attempt,
			Incarnation: o.Incarnation,
		}
	})
}

// leave ends the attempt's connection; the run goes on.
func (in *inbound) leave() {
	if in.left.CompareAndSwap(false, true) {
		close(in.gone)
		in.wake()
	}
}

// wake makes the pump of the reply look at its stop condition.
func (in *inbound) wake() {
	in.mu.Lock()
	source := in.source
	in.mu.Unlock()
	if source != nil {
		source.reply.wake()
	}
}

// close forgets the connection.
func (in *inbound) close() {
	in.leave()
	in.channel.stop()
	f := in.forwarder
	f.mu.Lock()
	if f.inbounds[in.key()] == in {
		delete(f.inbounds, in.key())
	}
	f.mu.Unlock()
	in.host.detach(in)
	in.mu.Lock()
	source := in.source
	in.mu.Unlock()
	if source != nil {
		source.addFollower(-1)
	}
}

// follow gives the attempt the reply of a run.
func (in *inbound) follow(source *hosted) {
	source.addFollower(1)
	in.mu.Lock()
	first := in.source == nil
	if first {
		in.source = source
		close(in.followed)
	}
	in.mu.Unlock()
	if !first {
		source.addFollower(-1)
	}
}

// answer gives the attempt its result.
func (in *inbound) answer(result waxwingseam.Result) {
	in.mu.Lock()
	if in.result == nil {
		in.result = &result
		close(in.answered)
	}
	in.mu.Unlock()
	in.wake()
}

// refuse answers the attempt in place of a reply that can't be given whole.
func (in *inbound) refuse(result waxwingseam.Result) {
	in.answer(result)
	in.mu.Lock()
	in.result = &result
	in.mu.Unlock()
}

// refused reports whether the attempt has a result without a whole reply.
func (in *inbound) refused() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.result != nil && !in.result.Completed()
}

// serve sends the reply and the result, while it takes frames in.
func (in *inbound) serve() error {
	go in.listen()
	select {
	case <-in.followed:
	case <-in.answered:
	case <-in.gone:
		return errLeft
	}
	last := frame{Kind: frameResult}
	if err := in.sendReply(&last); err != nil {
		return err
	}
	select {
	case <-in.answered:
	case <-in.gone:
		return errLeft
	}
	last.Result = in.result
	return in.channel.send(last)
}

// halted reports whether the reply is wanted no more.
func (in *inbound) halted() bool {
	return in.left.Load() || in.refused()
}

// sendReply sends the followed run's reply, as far as it comes. A short one
// goes into the last frame.
func (in *inbound) sendReply(last *frame) error {
	in.mu.Lock()
	source := in.source
	in.mu.Unlock()
	if source == nil {
		return nil
	}
	source.reply.waitSmall(in.halted)
	if in.halted() || !source.begun() {
		return nil
	}
	if data, ok := source.reply.small(); ok && in.opening.Offset <= int64(len(data)) {
		last.Head = source.head
		last.Offset = in.opening.Offset
		last.Data = data[in.opening.Offset:]
		return nil
	}
	if err := in.channel.send(frame{Kind: frameHead, Head: source.head}); err != nil {
		return err
	}
	return in.sendReplyBody(source)
}

func (in *inbound) sendReplyBody(source *hosted) error {
	p := newPump(in.channel, source.reply, in.halted)
	err := p.send(in.opening.Offset)
	switch {
	case errors.Is(err, errTrimmed):
		in.refuse(unkept())
	case source.reply.failure() == nil:
		return err
	}
	return nil
}

// listen takes frames in until the connection ends.
func (in *inbound) listen() {
	defer in.leave()
	for {
		f, err := in.channel.receive()
		if errors.Is(err, io.EOF) {
			in.delivered()
		}
		if err != nil {
			return
		}
		if err := in.take(f); err != nil {
			return
		}
	}
}

// delivered lets a reply go that its sender has whole, unless a caller may
// ask for it by key.
func (in *inbound) delivered() {
	in.mu.Lock()
	whole := in.result != nil && in.result.Completed() && in.source == in.host
	in.mu.Unlock()
	if whole && in.opening.Key == "" {
		in.host.forget()
	}
}

func (in *inbound) take(f frame) error {
	in.mu.Lock()
	source := in.source
	in.mu.Unlock()
	if source != nil {
		source.reply.release(f.Taken)
	}
	switch f.Kind {
	case frameData:
		return in.host.takeData(f)
	case frameEnd:
		in.host.takeEnd(f)
	case frameCancel:
		in.cancelled()
	}
	return nil
}

// cancelled steps that the attempt is wanted no more.
func (in *inbound) cancelled() {
	if in.host.relayed() {
		in.host.stop()
	}
	in.forwarder.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.AttemptCancelled{
			Stamp:   s,
			ID:      in.opening.ID,
			Attempt: in.opening.Attempt,
		}
	})
	in.answer(waxwingseam.Result{
		Outcome: waxwingseam.OutcomeMayHaveRun,
		Reason:  waxwingseam.ReasonCancelled,
		Reached: true,
	})
}
