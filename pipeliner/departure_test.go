package pipeliner_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/pipeliner"
)

// leavingTimeout is how long a test waits for a leaving to be noticed.
const leavingTimeout = 5 * time.Second

// awaitLeaving returns a handler that reads a part of the body and then waits for the
// caller to leave. The first channel has a value for each request whose handler waits, the
// second one for each whose leaving was noticed or not.
func awaitLeaving(part int64) (handler http.HandlerFunc, waits chan struct{}, noticed chan bool) {
	waits, noticed = make(chan struct{}, 64), make(chan bool, 64)
	return func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, part)
		waits <- struct{}{}
		select {
		case <-r.Context().Done():
			noticed <- true
		case <-time.After(leavingTimeout):
			noticed <- false
		}
	}, waits, noticed
}

// TestLeavingBehindUnreadBodyIsUnnoticed guards against callers who leave while the
// handler has stopped reading their long body, and whose request goes on.
func TestLeavingBehindUnreadBodyIsUnnoticed(t *testing.T) {
	const length = 300_000
	for _, v := range []struct {
		name  string
		head  string
		reset bool
	}{
		{"closed, with a length", fmt.Sprintf("Content-Length: %d", length), false},
		{"reset, with a length", fmt.Sprintf("Content-Length: %d", length), true},
		{"closed, in chunks", "Transfer-Encoding: chunked", false},
		{"reset, in chunks", "Transfer-Encoding: chunked", true},
	} {
		t.Run(v.name, func(t *testing.T) {
			handler, waits, noticed := awaitLeaving(256 << 10)
			c := newTestServer(t, pipeliner.Config{Handler: handler}).dial()
			c.send("POST / HTTP/1.1\r\nHost: desk.example\r\n" + v.head + "\r\n\r\n")
			if strings.Contains(v.head, "chunked") {
				c.send(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", length, strings.Repeat("b", length)))
			} else {
				c.send(strings.Repeat("b", length))
			}
			<-waits
			if v.reset {
				qt.Assert(t, c.conn.(*net.TCPConn).SetLinger(0), qt.IsNil)
			}
			qt.Assert(t, c.conn.Close(), qt.IsNil)
			qt.Assert(t, <-noticed, qt.IsTrue)
		})
	}
}

// TestResetBehindUnreadBodyIsUnnoticed guards against callers who reset their connection
// while the handler has stopped reading a body that is longer than all buffers.
func TestResetBehindUnreadBodyIsUnnoticed(t *testing.T) {
	const length = 64 << 20
	handler, waits, noticed := awaitLeaving(256 << 10)
	c := newTestServer(t, pipeliner.Config{Handler: handler}).dial()
	c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n", length))
	c.send(strings.Repeat("b", 300_000))
	<-waits
	qt.Assert(t, c.conn.(*net.TCPConn).SetLinger(0), qt.IsNil)
	qt.Assert(t, c.conn.Close(), qt.IsNil)
	qt.Assert(t, <-noticed, qt.IsTrue)
}

// TestLeavingBehindReadAheadIsUnnoticed guards against callers who leave with more requests
// under way than are read ahead, and whose earlier requests go on.
func TestLeavingBehindReadAheadIsUnnoticed(t *testing.T) {
	handler, waits, noticed := awaitLeaving(0)
	c := newTestServer(t, pipeliner.Config{Handler: handler, MaxConcurrent: 4}).dial()
	one := get("/")
	c.send(strings.Repeat(one, 4+12<<10/len(one)))
	for range 4 {
		<-waits
	}
	qt.Assert(t, c.conn.Close(), qt.IsNil)
	for range 4 {
		qt.Assert(t, <-noticed, qt.IsTrue)
	}
}

// TestRequestOfCallerThatLeftIsHandled guards against a process that stood still and then
// takes the requests of callers who left meanwhile.
func TestRequestOfCallerThatLeftIsHandled(t *testing.T) {
	var handled, unserved atomic.Int64
	server := pipeliner.New(pipeliner.Config{
		Handler:    http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }),
		Repeatable: func(*http.Request) bool { return true },
		Unserved:   func(*http.Request) { unserved.Add(1) },
	})
	var lc net.ListenConfig
	listener, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	const callers = 20
	for n := range callers {
		var d net.Dialer
		conn, err := d.DialContext(t.Context(), "tcp", listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		_, err = io.WriteString(conn, strings.Repeat(get("/"), 1+n%3))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, conn.Close(), qt.IsNil)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	for deadline := time.Now().Add(leavingTimeout); handled.Load()+unserved.Load() < callers && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, server.Shutdown(t.Context()), qt.IsNil)
	<-done
	qt.Assert(t, handled.Load(), qt.Equals, int64(0))
	qt.Assert(t, unserved.Load() >= callers, qt.IsTrue)
}
