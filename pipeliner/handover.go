package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/charger"
)

const (
	// maxHTTP2Connections limits the open HTTP/2 connections. Each carries several requests.
	maxHTTP2Connections = 64
	// http2Cost is the estimated memory of an HTTP/2 connection in bytes: its buffers for
	// frames and header compression, and its goroutines.
	http2Cost = 128 << 10
)

// preface is the beginning of an HTTP/2 connection (RFC 9113, section 3.4).
const preface = "PRI * HTTP/2.0\r\n\r\n"

// handOver passes accepted connections to another server. It is that server's listener.
type handOver struct {
	server *http.Server
	budget *charger.Budget
	open   atomic.Int64
	once   sync.Once
	conns  chan net.Conn
	closed chan struct{}
	close  func()
}

func newHandOver(server *http.Server, budget *charger.Budget) *handOver {
	h := &handOver{
		server: server,
		budget: budget,
		conns:  make(chan net.Conn),
		closed: make(chan struct{}),
	}
	h.close = sync.OnceFunc(func() { close(h.closed) })
	return h
}

// take makes the other server serve a connection of which some bytes were read already.
func (h *handOver) take(conn *receivingConn, read *bufio.Reader, failed func(error)) {
	h.once.Do(func() {
		go func() {
			h.countActive()
			if err := h.server.Serve(h); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed(err)
			}
			h.close()
		}()
	})
	if h.open.Add(1) > maxHTTP2Connections {
		h.open.Add(-1)
		_ = conn.Close()
		return
	}
	c := &replayedConn{receivingConn: conn, read: read, hand: h}
	c.account = h.budget.Open(c, http2Cost)
	select {
	case h.conns <- c:
	case <-h.closed:
		_ = c.Close()
	}
}

type replayedKey struct{}

// countActive makes the server count the requests of each connection that are handled.
func (h *handOver) countActive() {
	next := h.server.Handler
	h.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, replayedKey{}, conn)
	}
	h.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(replayedKey{}).(*replayedConn); ok {
			c.active.Add(1)
			c.account.Add(handlingCost)
			defer c.account.Add(-handlingCost)
			defer c.active.Add(-1)
		}
		next.ServeHTTP(w, r)
	})
}

// Accept implements net.Listener.
func (h *handOver) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handOver) Close() error {
	h.close()
	return nil
}

// Addr implements net.Listener.
func (h *handOver) Addr() net.Addr {
	return &net.TCPAddr{}
}

// replayedConn is a connection that is passed on. It reads through a buffer that was filled
// from the connection before.
type replayedConn struct {
	*receivingConn
	read    *bufio.Reader
	hand    *handOver
	account *charger.Account
	// active counts the requests that are being handled.
	active atomic.Int64
	once   sync.Once
}

// Read implements net.Conn.
func (c *replayedConn) Read(p []byte) (int, error) {
	return c.read.Read(p)
}

// Close implements net.Conn.
func (c *replayedConn) Close() error {
	c.once.Do(func() {
		c.hand.open.Add(-1)
		c.account.Close(http2Cost)
	})
	return trace.Wrap(c.receivingConn.Close())
}

// State implements charger.Peer.
func (c *replayedConn) State() charger.State {
	active := c.active.Load() > 0
	return charger.State{
		Moved: c.count.Load() + c.written.Load(),
		Waits: active && c.writes.Load()%2 == 0,
		Idle:  !active,
	}
}

// Evict implements charger.Peer.
func (c *replayedConn) Evict() {
	_ = c.Close()
}
