package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
)

const (
	// heartbeatInterval is the longest time between two frames that an end sends.
	heartbeatInterval = 200 * time.Millisecond
	// silenceLimit is the longest silence of the other end that is tolerated.
	silenceLimit = 700 * time.Millisecond
)

// channel sends and receives the frames of one attempt over a drpc stream. It sends
// heartbeats, and closes the connection if the other end goes silent.
type channel struct {
	stream drpc.Stream
	// consumed is how many bytes of the other end's body were consumed.
	consumed  counter
	transport transport

	sendMu sync.Mutex
	// lastReceived and lastSent are times in nanoseconds since origin.
	lastReceived atomic.Int64
	lastSent     atomic.Int64
	silent       atomic.Bool
	stopped      atomic.Bool

	// incarnation is this end's incarnation; 0 for a sender.
	incarnation waxwingseam.Incarnation
	origin      time.Time

	mu    sync.Mutex
	timer *time.Timer
}

// counter is a number that only grows.
type counter interface {
	Load() int64
}

// transport is the connection of a stream.
type transport interface {
	closeTransport()
}

func newChannel(stream drpc.Stream, incarnation waxwingseam.Incarnation, consumed counter, t transport) *channel {
	return new(channel).init(stream, incarnation, consumed, t)
}

// init makes a zero channel usable, and returns it.
func (c *channel) init(stream drpc.Stream, incarnation waxwingseam.Incarnation, consumed counter, t transport) *channel {
	c.stream = stream
	c.incarnation = incarnation
	c.consumed = consumed
	c.transport = t
	c.origin = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(heartbeatInterval, c.checkLiveness)
	return c
}

// elapsed returns the time since the channel was created.
func (c *channel) elapsed() time.Duration {
	return time.Since(c.origin)
}

// checkLiveness sends a heartbeat if no other frame was sent lately, and closes
// the connection if the other end was silent for too long.
func (c *channel) checkLiveness() {
	if c.stopped.Load() {
		return
	}
	now := c.elapsed()
	untilSilent := time.Duration(c.lastReceived.Load()) + silenceLimit - now
	if untilSilent <= 0 {
		c.silent.Store(true)
		c.transport.closeTransport()
		return
	}
	untilHeartbeat := time.Duration(c.lastSent.Load()) + heartbeatInterval - now
	if untilHeartbeat <= 0 {
		untilHeartbeat = heartbeatInterval
		go c.sendHeartbeat()
	}
	c.resetTimer(min(untilHeartbeat, untilSilent))
}

func (c *channel) resetTimer(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped.Load() {
		c.timer.Reset(wait)
	}
}

// send sends one frame, along with the count of consumed bytes.
func (c *channel) send(f frame) error {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	return c.sendLocked(f)
}

// sendHeartbeat sends a heartbeat, unless another frame is being sent, which may be blocked
// while the other end has no memory for it.
func (c *channel) sendHeartbeat() {
	if !c.sendMu.TryLock() {
		return
	}
	defer c.sendMu.Unlock()
	_ = c.sendLocked(frame{Kind: frameHeartbeat})
}

// sendLast sends the last frame of the attempt; later ones are not sent.
func (c *channel) sendLast(f frame) error {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	err := c.sendLocked(f)
	c.stopped.Store(true)
	return err
}

// sendLocked sends one frame unless the channel was stopped: the stream may carry
// another attempt by then.
func (c *channel) sendLocked(f frame) error {
	if c.stopped.Load() {
		return errCallOver
	}
	f.Consumed = c.consumed.Load()
	f.Incarnation = c.incarnation
	c.lastSent.Store(int64(c.elapsed()))
	return trace.Wrap(c.stream.MsgSend(&f, frameEncoding))
}

// receive waits for the next frame. Its data is valid until the next call.
func (c *channel) receive(f *frame) error {
	f.reset()
	if err := c.stream.MsgRecv(f, frameEncoding); err != nil {
		return trace.Wrap(err)
	}
	c.noteReceived()
	return nil
}

// noteReceived records that a frame was received.
func (c *channel) noteReceived() {
	c.lastReceived.Store(int64(c.elapsed()))
}

// received returns when the last frame was received, since the channel was created.
func (c *channel) received() time.Duration {
	return time.Duration(c.lastReceived.Load())
}

// closeUnlessStopped closes the connection unless the channel was stopped.
func (c *channel) closeUnlessStopped() {
	if !c.stopped.Load() {
		c.transport.closeTransport()
	}
}

// stop ends the liveness checks and waits for a frame that is being sent.
func (c *channel) stop() {
	c.sendMu.Lock()
	c.stopped.Store(true)
	c.sendMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer.Stop()
}
