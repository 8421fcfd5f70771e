package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
)

// streamingThreshold is the reply length above which a reply is streamed to the caller
// before its end is known.
const streamingThreshold = 64 << 10

// attempt is one attempt of a call at its sending node. It uses one connection
// at a time; a resumed attempt continues over a new one.
type attempt struct {
	exchange *exchange
	call     waxwingseam.Call
	number   waxwingseam.Attempt
	server   waxwingseam.Server
	known    *waxwingseam.KnownStatement
	patient  bool
	// reply buffers the part of the reply that the caller has not received yet.
	reply    *buffer
	ownReply buffer
	// delivered is how many bytes of the reply were written to the caller.
	delivered atomic.Int64

	// connectionMu is locked while the attempt uses a connection.
	connectionMu sync.Mutex
	// digest is the digest of the reply so far; connectionMu guards it.
	digest xxhash.Digest

	mu          sync.Mutex
	head        *replyHead
	incarnation waxwingseam.Incarnation
	channel     *channel
	// sent is set once the receiving node may have an opening of the attempt, and opened
	// once one was sent over channel.
	sent      bool
	opened    bool
	cancelled bool
	streaming bool
	ended     bool
	// cancelDelivery begins the delivery of the cancellation over fresh connections.
	cancelDelivery sync.Once
}

func newAttempt(x *exchange, e waxwingseam.Dispatch) *attempt {
	a := &attempt{
		exchange:    x,
		call:        e.Call,
		number:      e.Attempt,
		known:       e.Known,
		patient:     e.Patient,
		server:      e.Server,
		incarnation: e.Server.Incarnation,
	}
	a.reply = a.ownReply.init(&x.forwarder.gauge)
	a.reply.account = x.account
	a.reply.withheld = 1
	a.digest.Reset()
	return a
}

// run carries out the attempt over one connection, and reports how that ended.
func (a *attempt) run(resumed bool) {
	a.closeConnection()
	a.connectionMu.Lock()
	defer a.connectionMu.Unlock()
	if !resumed && a.exchange.body.start() > 0 {
		a.end(didNotRun(waxwingseam.ReasonBodyConsumed))
		return
	}
	result, err := a.runOverConnection(resumed)
	if err != nil {
		a.reportConnectionLost()
		return
	}
	a.end(result)
}

// closeConnection closes the connection in use, if there is one.
func (a *attempt) closeConnection() {
	a.mu.Lock()
	c := a.channel
	a.mu.Unlock()
	if c != nil {
		c.transport.closeTransport()
	}
}

// runOverConnection carries out the attempt over one connection until its
// result. It returns an error if the connection ends without a result.
func (a *attempt) runOverConnection(resumed bool) (waxwingseam.Result, error) {
	f := a.exchange.forwarder
	l := a.connect(resumed)
	if l == nil {
		return a.connectionFailed(resumed), nil
	}
	result, keep, err := a.exchangeFrames(l, resumed)
	if err != nil {
		a.clearSilentPeer()
		l.close()
		return waxwingseam.Result{}, err
	}
	if keep {
		f.links.put(a.server.Node, l, time.Now())
	} else {
		l.close()
	}
	return result, nil
}

// clearSilentPeer closes the idle connections to the node if the attempt's
// connection went silent, because the same fault may affect all of them.
func (a *attempt) clearSilentPeer() {
	a.mu.Lock()
	c := a.channel
	a.mu.Unlock()
	if c != nil && c.silent.Load() {
		a.exchange.forwarder.links.clear(a.server.Node)
		a.exchange.forwarder.peers.clear(a.server.Node)
	}
}

// connect returns a link to the node, which is new for a resumed attempt; nil if there
// is none.
func (a *attempt) connect(resumed bool) *link {
	f := a.exchange.forwarder
	connect := f.takeLink
	if resumed {
		connect = f.dialLink
	}
	l, err := connect(context.Background(), a.server.Node)
	if err != nil {
		return nil
	}
	return l
}

// connectionFailed returns the result of an attempt that got no connection.
// Nothing was written then, except over earlier connections of a resumed attempt.
func (a *attempt) connectionFailed(resumed bool) waxwingseam.Result {
	result := didNotRun(waxwingseam.ReasonConnectionFailed)
	if resumed {
		result.Outcome = waxwingseam.OutcomeMayHaveRun
	}
	return result
}

// exchangeFrames sends and receives frames over a link until the result. It also
// reports whether the link can carry another attempt.
func (a *attempt) exchangeFrames(l *link, resumed bool) (result waxwingseam.Result, keep bool, err error) {
	c := newChannel(l.stream, 0, &a.delivered, l)
	defer c.stop()
	a.setChannel(c)
	first := a.firstFrame(resumed)
	if err := a.open(c, first); err != nil {
		return result, false, err
	}
	stopBody := func() {}
	if !first.Whole {
		stopBody = a.sendBody(c)
	}
	result, keep, err = a.receiveReply(c, &l.received)
	l.received.reset()
	stopBody()
	if err == nil && keep && a.reply.length() > chunkSize {
		// Otherwise the receiving node would keep a long reply until the next attempt
		// over the link.
		err = c.send(frame{Kind: frameDelivered})
	}
	return result, keep, err
}

// firstFrame returns the opening frame. It includes the request body if that has
// ended and fits into one chunk.
func (a *attempt) firstFrame(resumed bool) frame {
	f := frame{
		Kind: frameOpen,
		Open: a.opening(resumed),
	}
	if data, ok := a.exchange.body.singleChunk(); ok {
		f.Whole = true
		f.Data = data
		f.Length, f.Digest = a.exchange.bodyLengthAndDigest()
	}
	return f
}

// sendBody sends the request body in a goroutine until the returned function is
// called.
func (a *attempt) sendBody(c *channel) (stop func()) {
	var halted atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		newPump(c, a.exchange.body, halted.Load).sendBody(a.exchange)
	}()
	return func() {
		halted.Store(true)
		a.exchange.body.wake()
		<-done
	}
}

// setChannel sets the attempt's channel.
func (a *attempt) setChannel(c *channel) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.channel = c
	a.opened = false
}

// open sends the opening, unless the attempt was cancelled. If it is cancelled meanwhile,
// the cancellation follows the opening.
func (a *attempt) open(c *channel, first frame) error {
	a.mu.Lock()
	if a.cancelled {
		a.mu.Unlock()
		c.transport.closeTransport()
		return errCallOver
	}
	a.sent = true
	a.mu.Unlock()
	if err := c.send(first); err != nil {
		return err
	}
	a.mu.Lock()
	a.opened = true
	cancelled := a.cancelled
	a.mu.Unlock()
	if cancelled {
		return c.send(frame{Kind: frameCancel})
	}
	return nil
}

func (a *attempt) opening(resumed bool) *opening {
	x := a.exchange
	o := newOpening(a.call, a.number, time.Now())
	o.Known = a.known
	o.Patient = a.patient
	o.Method = x.method
	o.Target = x.target
	o.Host = x.host
	o.Header = x.header
	o.Length = x.length
	if resumed {
		a.mu.Lock()
		defer a.mu.Unlock()
		o.Resumed = true
		o.Incarnation = a.incarnation
		o.Offset = a.reply.length()
	}
	return o
}

// end reports the end of the attempt.
func (a *attempt) end(result waxwingseam.Result) {
	if result.Completed() {
		a.reply.end()
	}
	a.mu.Lock()
	a.ended = true
	a.mu.Unlock()
	a.exchange.forwarder.endAttempt(a.call.ID, a.number, result)
}

// reportConnectionLost reports a lost connection. If the attempt was cancelled, it
// delivers the cancellation instead.
func (a *attempt) reportConnectionLost() {
	a.mu.Lock()
	cancelled := a.cancelled
	a.mu.Unlock()
	if cancelled {
		a.deliverCancellation()
		return
	}
	a.exchange.forwarder.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.AttemptSilent{
			Stamp:   s,
			ID:      a.call.ID,
			Attempt: a.number,
		}
	})
}
