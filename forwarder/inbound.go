package forwarder

import (
	"errors"
	"math/bits"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
)

// inbound is one attempt at its receiving node, over one connection.
type inbound struct {
	forwarder *Forwarder
	opening   *opening
	// call is the call that the attempt belongs to.
	call       *hostedCall
	channel    *channel
	ownChannel channel
	// received is when the opening frame was received.
	received time.Time
	// cost is what the attempt is charged with, besides its bodies.
	cost int64

	disconnected atomic.Bool
	// unconfirmed is set while the sending node is asked whether the attempt, which
	// arrived late, is still wanted. The attempt is not reported before.
	unconfirmed atomic.Bool
	// postponed is set while the attempt of a watched request waits for the part of its
	// body by which the request is recognized. The attempt is not reported before.
	postponed atomic.Bool

	mu sync.Mutex
	// changed says that source or result was set or the attempt disconnected.
	changed sync.Cond
	source  *hostedCall
	result  *waxwingseam.Result
}

// attemptKey identifies an attempt at its receiving node.
type attemptKey struct {
	id      waxwingseam.CallID
	attempt waxwingseam.Attempt
}

func (in *inbound) key() attemptKey {
	return attemptKey{in.opening.ID, in.opening.Attempt}
}

// inbound returns the current connection of an attempt; nil without one.
func (f *Forwarder) inbound(key attemptKey) *inbound {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inbounds[key]
}

// acceptAttempt registers an attempt, in place of the same attempt over an older
// connection.
func (f *Forwarder) acceptAttempt(stream drpc.Stream, first frame) *inbound {
	o := first.Open
	f.arrivals.Add(1)
	in := &inbound{
		forwarder: f,
		opening:   o,
		received:  time.Now(),
	}
	in.changed.L = &in.mu
	in.cost = openingCost(o)
	f.charge(in.cost)
	in.call = f.hostedCallFor(o)
	if first.Whole {
		in.call.addWhole(first)
	}
	in.channel = in.ownChannel.init(stream, waxwingseam.Incarnation(f.incarnation.Load()), &in.call.consumed, in)
	in.call.attach(in)
	f.mu.Lock()
	f.inbounds[in.key()] = in
	f.mu.Unlock()
	return in
}

// report reports the attempt's arrival, unless it has to be postponed.
func (in *inbound) report() {
	if in.postpone() {
		return
	}
	o := in.opening
	if in.forwarder.config.Arbitrated && o.Key != "" && o.Repeat == waxwingseam.RepeatNever {
		in.reportKeyedArrival()
	} else {
		in.reportArrival()
	}
}

// askConfirmation asks the sending node whether the attempt is still wanted.
func (in *inbound) askConfirmation() {
	in.unconfirmed.Store(true)
	in.forwarder.config.Logger.Debug("an attempt arrived late",
		"call", in.opening.ID.String(), "request-id", in.opening.RequestID, "age", time.Since(in.opening.sent()))
	go func() { _ = in.channel.send(frame{Kind: frameConfirmAsked}) }()
}

// confirmed reports the arrival of an attempt that is still wanted.
func (in *inbound) confirmed(o *opening) {
	if o == nil || !in.unconfirmed.CompareAndSwap(true, false) {
		return
	}
	in.opening.TimeToDeadline, in.opening.Deadline = o.TimeToDeadline, o.Deadline
	in.received = time.Now()
	in.report()
}

// reportArrival reports the attempt's arrival.
func (in *inbound) reportArrival() {
	o := in.opening
	fingerprint := in.call.watchedFingerprint()
	in.forwarder.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.AttemptArrived{
			Stamp:       s,
			Call:        o.call(s.Now),
			Attempt:     o.Attempt,
			Incarnation: o.Incarnation,
			Known:       o.Known,
			Patient:     o.Patient,
			Received:    in.received,
			Sent:        o.sent(),
			Fingerprint: fingerprint,
			PathDigest:  pathDigest(o.Target),
			BodySize:    bodySize(o.Length),
		}
	})
}

// bodySize returns the number of bits in a declared length; 64 if it is not declared.
func bodySize(length int64) uint8 {
	return uint8(bits.Len64(uint64(length)))
}

// pathDigest returns a digest of the path of a request target, without the query.
func pathDigest(target string) uint64 {
	path, _, _ := strings.Cut(target, "?")
	return xxhash.Sum64String(path)
}

// disconnect ends the attempt's connection; the run continues.
func (in *inbound) disconnect() {
	if in.disconnected.CompareAndSwap(false, true) {
		in.wake()
	}
}

// closeTransport implements transport: a silent connection ends only this attempt.
func (in *inbound) closeTransport() {
	in.disconnect()
}

// wake makes serve and the pump of the reply check their conditions.
func (in *inbound) wake() {
	in.mu.Lock()
	in.changed.Broadcast()
	source := in.source
	in.mu.Unlock()
	if source != nil {
		source.reply.wake()
	}
}

// close disconnects the attempt and removes its connection.
func (in *inbound) close() {
	in.disconnect()
	in.channel.stop()
	f := in.forwarder
	f.charge(-in.cost)
	f.mu.Lock()
	if f.inbounds[in.key()] == in {
		delete(f.inbounds, in.key())
	}
	f.mu.Unlock()
	in.call.detach(in)
	if in.unconfirmed.Load() || in.postponed.Load() {
		in.call.forgetUnstarted()
	}
	in.mu.Lock()
	source := in.source
	in.mu.Unlock()
	if source != nil {
		source.addFollowers(-1)
	}
}

// follow makes the attempt send the reply of a run; the first run is kept.
func (in *inbound) follow(source *hostedCall) {
	source.addFollowers(1)
	in.mu.Lock()
	first := in.source == nil
	if first {
		in.source = source
		in.changed.Broadcast()
	}
	in.mu.Unlock()
	if !first {
		source.addFollowers(-1)
	}
}

// answer sets the attempt's result, unless it has one.
func (in *inbound) answer(result waxwingseam.Result) {
	in.mu.Lock()
	if in.result == nil {
		in.result = &result
	}
	in.mu.Unlock()
	in.wake()
}

// replaceResult replaces the result of an attempt whose reply can't be sent
// completely.
func (in *inbound) replaceResult(result waxwingseam.Result) {
	in.answer(result)
	in.mu.Lock()
	in.result = &result
	in.mu.Unlock()
}

// endedWithoutReply reports whether the attempt has a result without a reply.
func (in *inbound) endedWithoutReply() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.result != nil && !in.result.Completed()
}

// serve sends the reply and the result.
func (in *inbound) serve() error {
	if !in.wait(func() bool { return in.source != nil || in.result != nil }) {
		return errCallOver
	}
	last := frame{Kind: frameResult}
	if err := in.sendReply(&last); err != nil {
		return err
	}
	if in.disconnected.Load() {
		// The reply may not have been sent completely.
		return errCallOver
	}
	if !in.wait(func() bool { return in.result != nil }) {
		return errCallOver
	}
	in.mu.Lock()
	last.Result = in.result
	in.mu.Unlock()
	last.KeepsStream = true
	return in.channel.sendLast(last)
}

// wait waits for a condition on source and result. It returns false if the attempt was
// disconnected before.
func (in *inbound) wait(condition func() bool) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for !condition() {
		if in.disconnected.Load() {
			return false
		}
		in.changed.Wait()
	}
	return true
}

// halted reports whether the reply is no longer wanted.
func (in *inbound) halted() bool {
	return in.disconnected.Load() || in.endedWithoutReply()
}

// sendReply sends the reply of the followed run until it ends or fails. A reply
// that fits into one chunk goes into the last frame instead.
func (in *inbound) sendReply(last *frame) error {
	in.mu.Lock()
	source := in.source
	in.mu.Unlock()
	if source == nil {
		return nil
	}
	source.reply.waitSingleChunk(in.halted)
	if in.halted() || !source.hasHead() {
		return nil
	}
	if data, ok := source.reply.singleChunk(); ok && in.opening.Offset <= int64(len(data)) {
		last.Head = source.head.Load()
		last.Offset = in.opening.Offset
		last.Data = data[in.opening.Offset:]
		return nil
	}
	if err := in.channel.send(frame{Kind: frameHead, Head: source.head.Load()}); err != nil {
		return err
	}
	return in.sendReplyBody(source)
}

func (in *inbound) sendReplyBody(source *hostedCall) error {
	p := newPump(in.channel, source.reply, in.halted)
	err := p.send(in.opening.Offset)
	switch {
	case errors.Is(err, errTrimmed):
		in.replaceResult(replyNotKept())
	case source.reply.failure() == nil:
		return err
	}
	return nil
}

// forgetDelivered forgets a call whose sender has the whole reply, unless a
// caller may ask for the reply again by key.
func (in *inbound) forgetDelivered() {
	in.mu.Lock()
	whole := in.result != nil && in.result.Completed() && in.source == in.call
	in.mu.Unlock()
	if whole && in.opening.Key == "" {
		in.call.forget()
	}
}

// handleFrame handles a frame after the opening. Frames that cross the result are
// ignored.
func (in *inbound) handleFrame(f frame) error {
	if in.disconnected.Load() {
		return nil
	}
	in.channel.noteReceived()
	in.mu.Lock()
	source := in.source
	in.mu.Unlock()
	if source != nil {
		source.reply.release(f.Consumed)
	}
	switch f.Kind {
	case frameData:
		if err := in.call.addData(f); err != nil {
			return err
		}
		in.reportPostponed()
	case frameEnd:
		in.call.endBody(f)
		in.reportPostponed()
	case frameCancel:
		in.cancel()
	case frameConfirmed:
		in.confirmed(f.Open)
	}
	return nil
}

// cancel stops the relaying, and reports and answers the cancelled attempt.
func (in *inbound) cancel() {
	in.unconfirmed.Store(false)
	in.postponed.Store(false)
	in.forwarder.stopRelay(in.opening.ID)
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
	in.call.forgetUnstarted()
}
