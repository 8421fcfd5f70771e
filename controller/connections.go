package controller

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// boundedListener bounds the open connections of a listener. When a further one arrives, it
// closes the connection that has been idle longest: an operator's programs may keep any
// number of connections open, and must not keep other operators waiting. It waits only while
// requests of all connections are being handled.
type boundedListener struct {
	net.Listener
	limit int

	mu   sync.Mutex
	open map[*boundedConn]struct{}
	// changed is signalled when a connection is closed or becomes idle.
	changed *sync.Cond
	closed  bool
}

// boundedConn is a connection of a boundedListener. Its fields are guarded by the listener's
// lock.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	// lastActive is when bytes were read or written last.
	lastActive time.Time
	// handling counts the requests that are being handled, and awaiting those of them whose
	// handler waits for the body.
	handling, awaiting int
	// writing is set while a write waits for the operator to read.
	writing bool
}

func newBoundedListener(l net.Listener, limit int) *boundedListener {
	b := &boundedListener{Listener: l, limit: limit, open: map[*boundedConn]struct{}{}}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Accept implements net.Listener.
func (b *boundedListener) Accept() (net.Conn, error) {
	conn, err := b.Listener.Accept()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := &boundedConn{Conn: conn, listener: b, lastActive: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.open) >= b.limit && !b.closed {
		if idle := b.longestIdle(); idle != nil {
			delete(b.open, idle)
			_ = idle.Conn.Close()
			continue
		}
		b.changed.Wait()
	}
	if b.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	b.open[c] = struct{}{}
	return c, nil
}

// longestIdle returns the connection that has been idle longest; nil if none is idle.
func (b *boundedListener) longestIdle() *boundedConn {
	var out *boundedConn
	for c := range b.open {
		if c.idle() && (out == nil || c.lastActive.Before(out.lastActive)) {
			out = c
		}
	}
	return out
}

// Close implements net.Listener.
func (b *boundedListener) Close() error {
	b.mu.Lock()
	b.closed = true
	b.changed.Broadcast()
	b.mu.Unlock()
	return trace.Wrap(b.Listener.Close())
}

// idle reports whether the connection waits for its operator: for a request or the rest of
// one, or for room to write an answer.
func (c *boundedConn) idle() bool {
	return c.handling == c.awaiting || c.writing
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.note(n, func() {})
	return n, err
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.note(0, func() { c.writing = true })
	n, err := c.Conn.Write(p)
	c.note(n, func() { c.writing = false })
	return n, err
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.changed.Broadcast()
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// note records that n bytes were read or written, and changes the connection.
func (c *boundedConn) note(n int, change func()) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if n > 0 {
		c.lastActive = time.Now()
	}
	change()
	c.listener.changed.Broadcast()
}

// count adds to the requests that are being handled or whose body is awaited.
func (c *boundedConn) count(handling, awaiting int) {
	c.note(0, func() {
		c.handling += handling
		c.awaiting += awaiting
	})
}

// connectionKey is the key of a request's boundedConn in its context.
type connectionKey struct{}

// withConnection is the ConnContext of the server of a boundedListener.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = t.NetConn()
	}
	return context.WithValue(ctx, connectionKey{}, conn)
}

// markRequests returns a handler that marks the connections whose requests next handles.
func markRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*boundedConn); ok {
			c.count(1, 0)
			defer c.count(-1, 0)
			r.Body = &awaitedBody{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// awaitedBody is a body that tells its connection while a handler waits for it.
type awaitedBody struct {
	io.ReadCloser
	conn *boundedConn
}

// Read implements io.Reader.
func (b *awaitedBody) Read(p []byte) (int, error) {
	b.conn.count(0, 1)
	defer b.conn.count(0, -1)
	return b.ReadCloser.Read(p)
}
