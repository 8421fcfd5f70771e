package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/charger"
	"waxwingseam.example/waxwingseam/parser"
)

const (
	readBufferSize = 4 << 10
	// lingerTimeout bounds how long a connection that was closed for writing waits for
	// the caller to close it. An earlier close would discard an answer that the caller
	// has not read yet, if it has sent further requests.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes and maxRefusedBytes bound what is read meanwhile, behind an answer and
	// behind the refusal of a malformed request. Without a bound, clients make a node read
	// as fast as they send.
	maxLingerBytes  = 128 << 10
	maxRefusedBytes = 32 << 10
	// leftWriteTimeout bounds a write that was blocked when the caller left.
	leftWriteTimeout = time.Second
	// arrivalTimeout bounds the last look for a request before an idle connection closes.
	arrivalTimeout = 5 * time.Millisecond
	// departureInterval is the time between two checks whether the caller has left,
	// while nothing is read from its connection.
	departureInterval = 100 * time.Millisecond
)

var (
	errHeadTooLarge = trace.LimitExceeded("the request's header is too long")
	errHTTP2        = trace.NotImplemented("the connection uses HTTP/2")
	// errSealed means that the caller was told that the connection closes.
	errSealed = trace.ConnectionProblem(nil, "the connection is closing")
	errLeft   = trace.ConnectionProblem(nil, "the caller has left")
)

// aLongTimeAgo is a deadline that interrupts a blocked read.
var aLongTimeAgo = time.Unix(1, 0)

// receivingConn notes when bytes were last received, and counts them.
type receivingConn struct {
	net.Conn
	received time.Time
	count    atomic.Int64
	// writes is odd while a write is under way, and written counts the bytes written.
	writes  atomic.Uint64
	written atomic.Int64
}

// Read implements net.Conn.
func (c *receivingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received = time.Now()
		c.count.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn. Only one write is under way at a time.
func (c *receivingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	c.writes.Add(1)
	c.written.Add(int64(n))
	return n, err
}

// connection is one connection of a caller. Its own goroutine reads the requests; others
// handle them.
type connection struct {
	server *Server
	conn   *receivingConn
	reader *bufio.Reader
	// smaller are the readers beneath the reader; see enlarge.
	smaller []*bufio.Reader
	remote  string
	// address is the caller's address; invalid if unknown.
	address netip.Addr
	// ctx ends when the caller leaves.
	ctx    context.Context
	cancel context.CancelFunc
	// departed reports whether the caller has left, without reading; nil if unknown.
	departed func() bool
	// handlers counts the requests that are being handled.
	handlers sync.WaitGroup
	// writer is used by the response whose turn it is.
	writer *bufio.Writer

	mu sync.Mutex
	// active counts the requests whose answers are not written completely.
	active int
	// last is the response to the last request that was handled.
	last *response
	// closing is set once no request may follow those being handled.
	closing bool
	// sealed is set once an answer says that the connection closes.
	sealed bool
	// watching is set while the reading goroutine may be blocked in watch.
	watching bool
	// woken wakes a watch that can't read ahead.
	woken chan struct{}
	// permits is how many requests may be handled that were sent before the answers to
	// earlier ones; queued is set while the connection waits for a permit.
	permits int
	queued  bool

	// refused is set once a request was refused before it was handled.
	refused bool

	account *charger.Account
	// acknowledged returns how many bytes the caller has acknowledged; nil if unknown.
	acknowledged func() int64
	// phase is what the reading goroutine does, and cause is why it is to give up.
	phase atomic.Int32
	// reading is set while a body is read from the connection.
	reading atomic.Bool
	cause   atomic.Pointer[refusal]
	// lastMoved is when the caller was last seen to make progress, in nanoseconds since 1970.
	lastMoved atomic.Int64
	// progress is used by the server's supervision only.
	progress progress
}

func newConnection(s *Server, conn net.Conn) *connection {
	c := &connection{
		server: s,
		conn:   &receivingConn{Conn: conn},
		remote: conn.RemoteAddr().String(),
		woken:  make(chan struct{}, 1),

		departed:     newDeparture(conn),
		acknowledged: newAcknowledged(conn),
	}
	c.reader = bufio.NewReaderSize(c.conn, readBufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		c.address = a.AddrPort().Addr()
	}
	c.lastMoved.Store(time.Now().UnixNano())
	c.account = s.config.Budget.Open(c, connectionCost)
	return c
}

// serve reads and starts requests until the connection ends.
func (c *connection) serve() {
	defer c.server.remove(c)
	defer c.release()
	defer c.cancel()
	err := c.serveRequests()
	if cause := c.cause.Load(); cause != nil && (errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errLeft)) {
		err = cause
	}
	switch {
	case err == nil, errors.Is(err, errSealed), errors.Is(err, os.ErrDeadlineExceeded):
		c.countUnserved()
		c.shutDown()
		err = c.watch(func() bool { return c.active == 0 })
	case errors.Is(err, errHTTP2):
		c.server.http2.take(c.conn, c.reader, func(err error) {
			c.server.config.Logger.Error("serving HTTP/2 failed", "error", err)
		})
		return
	case trace.IsBadParameter(err), trace.IsLimitExceeded(err), c.isRefusal(err):
		err = c.refuse(err)
	}
	if err != nil {
		// The caller has left, or its connection failed.
		c.cancel()
		_ = c.conn.SetWriteDeadline(time.Now().Add(leftWriteTimeout))
	}
	c.handlers.Wait()
	if err == nil && c.isSealed() {
		c.linger()
	}
	_ = c.conn.Close()
}

// isRefusal reports whether an error is the cause for which the connection is refused.
func (c *connection) isRefusal(err error) bool {
	var r *refusal
	return errors.As(err, &r)
}

// countUnserved reports the further requests whose heads were received.
func (c *connection) countUnserved() {
	for c.isSealed() {
		data, err := c.reader.Peek(c.reader.Buffered())
		n := headLength(data, 0)
		if err != nil || n == 0 {
			return
		}
		r, err := parseHead(c.reader, data[:n])
		if err != nil {
			return
		}
		c.server.config.Unserved(r)
		if r.ContentLength != 0 {
			return
		}
	}
}

// serveRequests reads and starts requests until no further one is accepted. It returns
// nil or errSealed if the connection is to be closed after the last answer, a bad
// parameter for a malformed request, and another error if the caller has left.
func (c *connection) serveRequests() error {
	for {
		r, err := c.readRequest()
		if err != nil {
			return err
		}
		w := newResponse(c, r)
		if err := c.prepare(w); err != nil {
			w.giveUp()
			c.server.config.Unserved(r)
			return err
		}
		if w.body != nil {
			if !c.awaitBody(w.body) {
				return errLeft
			}
			if !w.body.whole() {
				// What follows in the buffer belongs to the body.
				c.discardBuffer()
				return nil
			}
		}
		if r.Close || !r.ProtoAtLeast(1, 1) {
			return nil
		}
	}
}

// prepare starts a request once it may be handled and its body is there.
func (c *connection) prepare(w *response) error {
	if err := c.watch(func() bool { return c.mayStart(w) }); err != nil {
		return err
	}
	if c.hasLeft() {
		return errLeft
	}
	if c.isSealed() {
		return errSealed
	}
	if err := c.hold(w); err != nil {
		return err
	}
	w.cost += handlingCost
	c.account.Add(handlingCost)
	if !c.start(w) {
		return errSealed
	}
	return nil
}

// hasLeft reports whether the caller is known to have left, although what it sent before
// was not read yet.
func (c *connection) hasLeft() bool {
	return c.departed != nil && c.departed()
}

// await waits for a channel while nothing is read ahead. It returns false if the caller
// leaves before.
func (c *connection) await(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
	}
	ticker := time.NewTicker(departureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return true
		case <-ticker.C:
			if c.hasLeft() {
				return false
			}
		}
	}
}

// awaitBody waits until a body is over, while its request is handled.
func (c *connection) awaitBody(b *requestBody) bool {
	c.phase.Store(phaseStream)
	defer c.phase.Store(phaseIdle)
	return c.await(b.over)
}

// readRequest reads the next request's head.
func (c *connection) readRequest() (*http.Request, error) {
	c.shrink()
	err := c.watch(func() bool { return c.reader.Buffered() > 0 || c.sealed || c.closing && c.active == 0 })
	if err != nil {
		return nil, err
	}
	if c.isSealed() || c.reader.Buffered() == 0 && !c.hasArrived() {
		return nil, errSealed
	}
	limits := c.server.limits()
	c.phase.Store(phaseHead)
	defer c.phase.Store(phaseIdle)
	head, err := c.peekHead(limits)
	if err != nil {
		return nil, err
	}
	if len(head) > limits.HeaderBytes || parser.CountFields(head) > limits.Fields {
		return nil, errHeadTooLarge
	}
	if c.server.http2 != nil && c.last == nil && bytes.HasPrefix(head, []byte(preface)) {
		return nil, errHTTP2
	}
	return parseHead(c.reader, head)
}

// hasArrived reports whether a request has arrived that was not read when the wait for it was
// interrupted. A close would drop it without an answer.
func (c *connection) hasArrived() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(arrivalTimeout))
	_, err := c.reader.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	return err == nil
}

// peekHead waits until the next request's head is buffered completely, and returns it.
func (c *connection) peekHead(limits Limits) ([]byte, error) {
	searched := 0
	limited := false
	for {
		data, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if n := headLength(data, searched); n > 0 {
			return data[:n], nil
		}
		searched = len(data)
		if searched > limits.HeaderBytes {
			return nil, errHeadTooLarge
		}
		if searched == c.reader.Size() {
			if !c.enlarge(limits.HeaderBytes + 1) {
				return nil, errLeft
			}
			searched = 0
		}
		if !limited {
			limited = true
			_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
			defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
		}
		if _, err := c.reader.Peek(searched + 1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.cause.CompareAndSwap(nil, refusedSlowHead)
			}
			return nil, trace.Wrap(err)
		}
	}
}

// watch waits until done returns true. It is called with the lock held, first at once
// and then whenever an answer was written or bytes were received. Watch returns an
// error if the caller leaves. The caller's further requests are read ahead as far as
// the buffer has room; beyond that, its leaving is noticed within departureInterval.
func (c *connection) watch(done func() bool) error {
	for {
		c.mu.Lock()
		if done() {
			c.mu.Unlock()
			return nil
		}
		c.watching = true
		full := c.reader.Buffered() == c.reader.Size()
		c.mu.Unlock()
		var err error
		if full {
			if !c.await(c.woken) {
				err = errLeft
			}
			select {
			case c.woken <- struct{}{}:
			default:
			}
		} else {
			_, err = c.reader.Peek(c.reader.Buffered() + 1)
		}
		interrupted := errors.Is(err, os.ErrDeadlineExceeded)
		c.stopWatching(interrupted)
		if err != nil && !interrupted {
			return trace.Wrap(err)
		}
	}
}

// stopWatching removes the deadline that wake may have set, or a handler that has given
// up its request's body.
func (c *connection) stopWatching(interrupted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watching = false
	select {
	case <-c.woken:
		interrupted = true
	default:
	}
	if interrupted {
		_ = c.conn.SetReadDeadline(time.Time{})
	}
}

// wake makes a blocked watch check its condition. The lock is held.
func (c *connection) wake() {
	if !c.watching {
		return
	}
	select {
	case c.woken <- struct{}{}:
		_ = c.conn.SetReadDeadline(aLongTimeAgo)
	default:
	}
}

// mayStart reports whether a request can be handled now, or never. The lock is held.
func (c *connection) mayStart(w *response) bool {
	switch {
	case c.sealed || c.active == 0 && !w.behind:
		return true
	case c.closing && c.active > 0 || c.active >= c.server.config.MaxConcurrent:
		return false
	case c.active > 0 && !w.mayStartEarly():
		return false
	}
	return c.hasPermit() && (c.active == 0 || w.takeEarly())
}

// start handles a request. It returns false if the connection is closing.
func (c *connection) start(w *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	// The request became whole before it was refused.
	c.cause.Store(nil)
	if c.active > 0 {
		w.turn = c.last.written()
	}
	c.last = w
	c.active++
	if w.behind {
		w.permitted = true
		c.permits--
	}
	c.handlers.Add(1)
	c.server.handlers.Do(w.serve)
	return true
}

// answered notes that a response was written completely or given up.
func (c *connection) answered(w *response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	w.over = true
	if w.next != nil {
		close(w.next)
	}
	c.wake()
}

// seal reports whether a response is to tell the caller that the connection closes. It
// must not while later requests are being handled: the caller would take them as
// unread. The last of these tells it then.
func (c *connection) seal(w *response, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || wanted
	c.sealed = c.sealed || c.closing && c.last == w
	return c.sealed
}

// isSealed reports whether an answer says that the connection closes.
func (c *connection) isSealed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sealed
}

// sealNow seals the connection for an answer without a request that was handled. It
// returns false if it was sealed already.
func (c *connection) sealNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.sealed
	c.sealed = true
	return first
}

// discardBuffer drops the bytes that were read ahead.
func (c *connection) discardBuffer() {
	_, _ = c.reader.Discard(c.reader.Buffered())
}

// shutDown makes the connection close after the requests that were read are answered.
func (c *connection) shutDown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.wake()
}

// setReset sets whether the close of the connection is a reset, also that by the kernel at the
// end of the process. While an answer that ends with the connection is being written, it is, so
// that the answer does not look complete.
func (c *connection) setReset(reset bool) {
	const orderly = -1
	seconds := orderly
	if reset {
		seconds = 0
	}
	if t, ok := c.conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(seconds)
	}
}

// abort closes the connection at once. Answers in progress never look complete.
func (c *connection) abort() {
	c.cancel()
	_ = c.conn.Close()
}

// refuse answers a malformed request once the earlier ones are answered.
func (c *connection) refuse(cause error) error {
	if err := c.watch(func() bool { return c.active == 0 }); err != nil {
		return err
	}
	if !c.sealNow() {
		return nil
	}
	r := refusalFor(cause)
	c.refused = true
	c.server.noteRefused(c, r)
	_ = c.conn.SetWriteDeadline(time.Now().Add(leftWriteTimeout))
	_, err := io.WriteString(c.conn, "HTTP/1.1 "+r.status()+"\r\n"+r.fields+"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"+r.status())
	return trace.Wrap(err)
}

// linger closes the connection for writing and waits until the caller closes it too.
func (c *connection) linger() {
	half, ok := c.conn.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	chunk := chunks.Get().(*[]byte)
	defer chunks.Put(chunk)
	limit := int64(maxLingerBytes)
	if c.refused {
		limit = maxRefusedBytes
	}
	_, _ = io.CopyBuffer(io.Discard, io.LimitReader(c.conn, limit), *chunk)
}
