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
	// taken returns how much of the other end's body was used up.
	taken func() int64
	// leave closes the transport under the stream.
	leave func()

	sending sync.Mutex
	heard   atomic.Int64
	spoke   atomic.Int64
	silent  atomic.Bool
	closed  atomic.Bool

	// life is this end's incarnation; 0 for a sender.
	life   waxwingseam.Incarnation
	origin time.Time

	mu    sync.Mutex
	timer *time.Timer
}

func newChannel(stream drpc.Stream, life waxwingseam.Incarnation, taken func() int64, leave func()) *channel {
	c := &channel{
		stream: stream,
		life:   life,
		taken:  taken,
		leave:  leave,
		origin: time.Now(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(heartbeatInterval, c.look)
	return c
}

// elapsed is the time since the channel began.
func (c *channel) elapsed() time.Duration {
	return time.Since(c.origin)
}

// look sends a sign of life when no other frame went out, and leaves the
// connection when the other end was silent for too long.
func (c *channel) look() {
	if c.closed.Load() {
		return
	}
	now := c.elapsed()
	silence := time.Duration(c.heard.Load()) + silenceLimit - now
	if silence <= 0 {
		c.silent.Store(true)
		c.leave()
		return
	}
	beat := time.Duration(c.spoke.Load()) + heartbeatInterval - now
	if beat <= 0 {
		beat = heartbeatInterval
		go func() { _ = c.send(frame{Kind: frameAlive}) }()
	}
	c.again(min(beat, silence))
}

func (c *channel) again(wait time.Duration) {
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
	f.Taken = c.taken()
	f.Incarnation = c.life
	c.spoke.Store(int64(c.elapsed()))
	return trace.Wrap(c.stream.MsgSend(&f, messenger.Encoding))
}

// receive waits for the next frame.
func (c *channel) receive() (frame, error) {
	var f frame
	err := c.stream.MsgRecv(&f, messenger.Encoding)
	if err != nil {
		return frame{}, trace.Wrap(err)
	}
	c.heard.Store(int64(c.elapsed()))
	return f, nil
}

// leaveOpen leaves the connection unless the channel was stopped before.
func (c *channel) leaveOpen() {
	if !c.closed.Load() {
		c.leave()
	}
}

// stop ends the timer.
func (c *channel) stop() {
	c.closed.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer.Stop()
}
