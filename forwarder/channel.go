package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
)

const (
	// heartbeatInterval is the longest time between two frames of one end.
	heartbeatInterval = 200 * time.Millisecond
	// silenceLimit is how long an end may be silent until it is left.
	silenceLimit = 700 * time.Millisecond
)

// channel carries frames over one drpc stream, shows the other end that this
// one lives, and watches that the other does.
type channel struct {
	stream drpc.Stream
	// consumed returns how much of the other end's body was used up.
	consumed func() int64
	// closeTransport closes the transport under the stream.
	closeTransport func()

	sending      sync.Mutex
	lastReceived atomic.Int64
	lastSent     atomic.Int64
	silent       atomic.Bool
	closed       atomic.Bool

	// incarnation is this end's incarnation; 0 for a sender.
	incarnation waxwingseam.Incarnation
	origin      time.Time

	mu    sync.Mutex
	timer *time.Timer
}

func newChannel(stream drpc.Stream, incarnation waxwingseam.Incarnation, consumed func() int64, closeTransport func()) *channel {
	c := &channel{
		stream:         stream,
		incarnation:    incarnation,
		consumed:       consumed,
		closeTransport: closeTransport,
		origin:         time.Now(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(heartbeatInterval, c.checkLiveness)
	return c
}

// elapsed is the time since the channel began.
func (c *channel) elapsed() time.Duration {
	return time.Since(c.origin)
}

// checkLiveness sends a sign of life when no other frame went out, and leaves the
// connection when the other end was silent for too long.
func (c *channel) checkLiveness() {
	if c.closed.Load() {
		return
	}
	now := c.elapsed()
	untilSilent := time.Duration(c.lastReceived.Load()) + silenceLimit - now
	if untilSilent <= 0 {
		c.silent.Store(true)
		c.closeTransport()
		return
	}
	untilHeartbeat := time.Duration(c.lastSent.Load()) + heartbeatInterval - now
	if untilHeartbeat <= 0 {
		untilHeartbeat = heartbeatInterval
		go func() { _ = c.send(frame{Kind: frameHeartbeat}) }()
	}
	c.resetTimer(min(untilHeartbeat, untilSilent))
}

func (c *channel) resetTimer(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed.Load() {
		c.timer.Reset(wait)
	}
}

// send sends one frame, with what was used up of the other end's body.
func (c *channel) send(f frame) error {
	c.sending.Lock()
	defer c.sending.Unlock()
	f.Consumed = c.consumed()
	f.Incarnation = c.incarnation
	c.lastSent.Store(int64(c.elapsed()))
	return trace.Wrap(c.stream.MsgSend(&f, messenger.Encoding))
}

// receive waits for the next frame.
func (c *channel) receive() (frame, error) {
	var f frame
	err := c.stream.MsgRecv(&f, messenger.Encoding)
	if err != nil {
		return frame{}, trace.Wrap(err)
	}
	c.lastReceived.Store(int64(c.elapsed()))
	return f, nil
}

// closeUnlessStopped leaves the connection unless the channel was stopped before.
func (c *channel) closeUnlessStopped() {
	if !c.closed.Load() {
		c.closeTransport()
	}
}

// stop ends the timer.
func (c *channel) stop() {
	c.closed.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer.Stop()
}
