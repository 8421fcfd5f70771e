package forwarder

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

const (
	// backendIdleTimeout is how long a backend connection may be idle.
	backendIdleTimeout = time.Second
	// backendProbeInterval is the time between the TCP keepalive probes of a
	// silent backend connection; the kernel supports whole seconds only.
	backendProbeInterval = time.Second
	// maxHeaderBytes limits the size of the headers of a request or a reply.
	maxHeaderBytes = 64 << 10
	// maxRefused is how many calls may be refused over one connection before it is closed.
	maxRefused = 64
	// maxKeptHead limits the room for a head that a connection keeps.
	maxKeptHead = 4 << 10
)

// newBackendDialer returns the dialer for the backend server. Its keepalive
// probes detect connections that go silent during a run.
func newBackendDialer() BackendDialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     backendProbeInterval,
			Interval: backendProbeInterval,
			Count:    1,
		},
	}
}

// backendConns holds the connections to the backend server. Each carries one
// request at a time.
type backendConns struct {
	dialer  BackendDialer
	address string
	// slots has an element for each connection in use.
	slots chan struct{}

	mu sync.Mutex
	// idle are the unused connections; the one used last is last.
	idle  []*backendConn
	sweep *time.Timer
}

func newBackendConns(config Config) *backendConns {
	return &backendConns{
		dialer:  config.BackendDialer,
		address: config.Backend.String(),
		slots:   make(chan struct{}, config.Connections),
	}
}

// acquire waits until one more connection may be used. It returns false if done is
// closed first.
func (p *backendConns) acquire(done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	default:
	}
	select {
	case p.slots <- struct{}{}:
		return true
	default:
	}
	select {
	case p.slots <- struct{}{}:
		return true
	case <-done:
		return false
	}
}

// release ends the use that acquire began.
func (p *backendConns) release() {
	<-p.slots
}

// take returns the idle connection used last that is still open and has not carried a
// refusal of the call; nil without one.
func (p *backendConns) take(call waxwingseam.CallID) *backendConn {
	for {
		c := p.takeIdle(call)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < backendIdleTimeout && c.quiet() {
			c.reused = true
			return c
		}
		c.close()
	}
}

// takeIdle removes the idle connection used last that has not carried a refusal of the call.
func (p *backendConns) takeIdle(call waxwingseam.CallID) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !slices.Contains(c.refused, call) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// dial opens a connection.
func (p *backendConns) dial(ctx context.Context) (*backendConn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newBackendConn(conn), nil
}

// put returns a connection that carried a whole request and a whole reply.
func (p *backendConns) put(c *backendConn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
	if p.sweep == nil {
		p.sweep = time.AfterFunc(backendIdleTimeout, p.closeExpired)
	}
}

// closeExpired closes the connections that were idle for too long.
func (p *backendConns) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := 0
	for expired < len(p.idle) && time.Since(p.idle[expired].idleSince) >= backendIdleTimeout {
		p.idle[expired].close()
		expired++
	}
	p.idle = append(p.idle[:0], p.idle[expired:]...)
	clear(p.idle[len(p.idle) : len(p.idle)+expired])
	if len(p.idle) == 0 {
		p.sweep = nil
		return
	}
	p.sweep.Reset(time.Until(p.idle[0].idleSince.Add(backendIdleTimeout)))
}

// closeIdle closes all idle connections.
func (p *backendConns) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.close()
	}
	clear(p.idle)
	p.idle = p.idle[:0]
}

// backendConn is a connection to the backend server.
type backendConn struct {
	conn   net.Conn
	reader *bufio.Reader
	// readable is how many more bytes of a reply's head may be read.
	readable int64
	// request is room for the head of a request, and head for that of a reply.
	request, head []byte
	// peek reports whether there is something to read, without waiting.
	peek      func() bool
	idleSince time.Time
	reused    bool
	// refused lists the calls whose refusals the connection has carried. The server might
	// write such a refusal once more, and a further attempt of the call bears the same
	// identifier.
	refused []waxwingseam.CallID
	// writing guards writeErr, and is locked while something is written.
	writing sync.Mutex
	// writeErr is the error of the first write that failed; nil without one.
	writeErr error
	// suspected is set if the last check found the other end silent.
	suspected atomic.Bool
	// silent is set once the connection was closed because of silence.
	silent atomic.Bool
}

func newBackendConn(conn net.Conn) *backendConn {
	c := &backendConn{
		conn: conn,
		peek: newPeek(conn),
	}
	c.reader = bufio.NewReader(headLimiter{c})
	return c
}

func (c *backendConn) close() {
	_ = c.conn.Close()
}

// Write implements io.Writer.
func (c *backendConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// writeFailed reports whether a write to the connection has failed.
func (c *backendConn) writeFailed() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr != nil
}

// endError returns why the end of the connection that a read has found is not that of an orderly
// close; nil if it is. The kernel reports a reset or a timeout to one system call only: if that
// is a write, a read finds an end like that of an orderly close. Unless the state of the
// connection tells, endError waits for a write in progress, which may have got that error.
func (c *backendConn) endError() error {
	if closedByPeer(c.conn) {
		return nil
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || followsClose(c.conn, c.writeErr) {
		return nil
	}
	return trace.Wrap(c.writeErr)
}

// abort closes the connection of a request that was given up, so that it does not reach
// the backend server later.
func (c *backendConn) abort() {
	abort(c.conn)
}

// headLimiter reads from the connection as long as the reply's head is not too large.
type headLimiter struct {
	conn *backendConn
}

var errHeadTooLarge = trace.LimitExceeded("the head of the reply is too large")

// Read implements io.Reader.
func (l headLimiter) Read(p []byte) (int, error) {
	c := l.conn
	if c.readable <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.conn.Read(p[:min(int64(len(p)), c.readable)])
	c.readable -= int64(n)
	return n, err
}

// quiet reports whether the idle connection is open and has nothing to read. Any
// data would be of no request.
func (c *backendConn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.peek != nil {
		return !c.peek()
	}
	// With a deadline in the past, a read would not look for data.
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Microsecond))
	_, err := c.conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded) && c.conn.SetReadDeadline(time.Time{}) == nil
}

// closeIfSilent closes the connection if two checks in a row find that the
// other end acknowledges nothing. One check is not enough: data written just
// before it, after a pause, is not acknowledged yet.
func (c *backendConn) closeIfSilent() {
	suspected := unacknowledged(c.conn) >= silenceLimit-2*heartbeatInterval
	if suspected && c.suspected.Load() {
		c.silent.Store(true)
		c.abort()
	}
	c.suspected.Store(suspected)
}

// noteRefused records that the connection has carried the refusal of a call. It returns
// false if the connection must be closed, as it has carried too many.
func (c *backendConn) noteRefused(call waxwingseam.CallID) bool {
	c.refused = append(c.refused, call)
	return len(c.refused) < maxRefused
}

// keepRequest keeps the room of a request unless it is large.
func (c *backendConn) keepRequest(request []byte) {
	if cap(request) <= maxKeptHead {
		c.request = request[:0]
	}
}

// timedOut reports whether the kernel gave up the connection.
func timedOut(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT)
}
