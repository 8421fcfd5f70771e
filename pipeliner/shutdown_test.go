package pipeliner_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/pipeliner"
)

// crossingConn is a connection on which a request arrives at the moment at which the server
// stops to wait for one. Like a socket, it returns no bytes while its read deadline has
// passed.
type crossingConn struct {
	request string
	out     io.WriteCloser
	// waiting is closed once the server waits for a request.
	waiting chan struct{}
	once    sync.Once

	mu       sync.Mutex
	changed  sync.Cond
	deadline time.Time
	arrived  bool
	read     int
	closed   bool
}

func (c *crossingConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			return 0, os.ErrDeadlineExceeded
		case c.arrived && c.read < len(c.request):
			n := copy(p, c.request[c.read:])
			c.read += n
			return n, nil
		}
		c.once.Do(func() { close(c.waiting) })
		c.changed.Wait()
	}
}

func (c *crossingConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if !t.IsZero() {
		c.arrived = true
		time.AfterFunc(max(time.Until(t), 0), c.changed.Broadcast)
	}
	c.changed.Broadcast()
	return nil
}

func (c *crossingConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
	return c.out.Close()
}

func (c *crossingConn) Write(p []byte) (int, error)      { return c.out.Write(p) }
func (c *crossingConn) SetWriteDeadline(time.Time) error { return nil }
func (c *crossingConn) SetDeadline(time.Time) error      { return nil }
func (c *crossingConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *crossingConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// TestRequestThatArrivedBeforeShutdownIsDropped shuts a server down while a request has
// arrived on an idle connection and was not read yet. The request must be answered.
func TestRequestThatArrivedBeforeShutdownIsDropped(t *testing.T) {
	server := pipeliner.New(pipeliner.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})})
	in, out := io.Pipe()
	conn := &crossingConn{request: get("/lots"), out: out, waiting: make(chan struct{})}
	conn.changed.L = &conn.mu
	listener := &oneConn{conn: conn, ended: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	<-conn.waiting
	answered := make(chan string, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(in), nil)
		if err != nil {
			answered <- err.Error()
			return
		}
		defer func() { _ = response.Body.Close() }()
		answered <- response.Status
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	qt.Assert(t, server.Shutdown(ctx), qt.IsNil)
	<-done
	status := <-answered
	qt.Assert(t, strings.HasPrefix(status, "503"), qt.IsTrue, qt.Commentf("%s", status))
}
