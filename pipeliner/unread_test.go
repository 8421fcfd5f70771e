package pipeliner_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/pipeliner"
)

// TestRestOfBodyIsTakenAsRequest guards against a handler that gives up a body before its
// end and answers later: what arrives of the body meanwhile must not be handled as a
// request, and the deadline that ended the reading must not keep the connection busy.
func TestRestOfBodyIsTakenAsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var handled atomic.Int64
		answer := make(chan struct{})
		server := pipeliner.New(pipeliner.Config{
			Repeatable: func(*http.Request) bool { return true },
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if handled.Add(1) > 1 {
					return
				}
				_ = http.NewResponseController(w).SetReadDeadline(time.Now())
				_, err := io.Copy(io.Discard, r.Body)
				qt.Check(t, err, qt.IsNotNil)
				<-answer
			}),
		})
		caller, accepted := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve(&oneConn{conn: accepted, ended: make(chan struct{})})
		}()
		body := get("/smuggled")
		_, err := fmt.Fprintf(caller, "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n", len(body))
		qt.Assert(t, err, qt.IsNil)
		synctest.Wait()
		_, err = io.WriteString(caller, body)
		qt.Assert(t, err, qt.IsNil)
		synctest.Wait()
		qt.Check(t, handled.Load(), qt.Equals, int64(1))
		close(answer)
		got, _ := io.ReadAll(caller)
		qt.Check(t, string(got), qt.Contains, "Connection: close")
		qt.Check(t, handled.Load(), qt.Equals, int64(1))
		qt.Assert(t, server.Shutdown(t.Context()), qt.IsNil)
		<-done
		// The idle goroutines of the server end before the test does.
		time.Sleep(time.Minute)
	})
}

// TestEmptyAnswerToLeavingCaller guards against a handler that returns without an answer,
// as its caller has left, and whose return is sent as an empty success to a caller who has
// closed the connection for writing only.
func TestEmptyAnswerToLeavingCaller(t *testing.T) {
	s := newTestServer(t, pipeliner.Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	})})
	c := s.dial()
	c.send(get("/"))
	qt.Assert(t, c.conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	got, _ := io.ReadAll(c.reader)
	qt.Assert(t, string(got), qt.Equals, "")
}
