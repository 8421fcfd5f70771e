package assembler

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/pipeliner"
)

// TestExitsBeforeDrainLimit checks that a process whose shutdown hangs, as when
// another process keeps a stream open, exits before it would be killed.
func TestExitsBeforeDrainLimit(t *testing.T) {
	failed := errors.New("failed")
	for _, v := range []struct {
		name     string
		limit    time.Duration
		duration time.Duration
		want     time.Duration
		err      error
	}{
		{"in time", 6 * time.Second, time.Second, time.Second, failed},
		{"hangs", 6 * time.Second, time.Hour, 6*time.Second - exitMargin, errConnectionsOpen},
		{"no limit", 0, time.Hour, time.Hour, failed},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop, cancel := context.WithCancel(context.Background())
				started := time.Now()
				cancel()
				err := waitUntilLimit(stop, v.limit, func() error {
					time.Sleep(v.duration)
					return failed
				})
				qt.Assert(t, err, qt.Equals, v.err)
				qt.Assert(t, time.Since(started), qt.Equals, v.want)
				time.Sleep(v.duration)
			})
		})
	}
}

// pipeListener accepts one connection, the given one.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func listenOn(conn net.Conn) *pipeListener {
	l := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conns <- conn
	return l
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestStopAnswersReadRequests stops an HTTP server while it handles a request. The
// caller must receive the answer, unless the process is told to exit at once or the
// answer takes too long.
func TestStopAnswersReadRequests(t *testing.T) {
	newHTTPServer := func(h http.Handler) httpServer { return forwarder.NewServer(h) }
	newCallerServer := func(h http.Handler) httpServer { return pipeliner.New(pipeliner.Config{Handler: h}) }
	for _, v := range []struct {
		name      string
		newServer func(http.Handler) httpServer
		cause     error
		duration  time.Duration
		answered  bool
		maxWait   time.Duration
	}{
		{"stopped", newHTTPServer, errStopped, 100 * time.Millisecond, true, stopTimeout},
		{"stopped with a slow answer", newHTTPServer, errStopped, time.Hour, false, stopTimeout},
		{"killed", newHTTPServer, context.Canceled, 100 * time.Millisecond, false, 0},
		{"callers' server stopped", newCallerServer, errStopped, 100 * time.Millisecond, true, stopTimeout},
		{"callers' server stopped with a slow answer", newCallerServer, errStopped, time.Hour, false, stopTimeout},
		{"callers' server killed", newCallerServer, context.Canceled, 100 * time.Millisecond, false, 0},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(context.Background())
				group, ctx := errgroup.WithContext(ctx)
				caller, accepted := net.Pipe()
				var stopped time.Time
				serveListener(ctx, group, listenOn(accepted), v.newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					stopped = time.Now()
					cancel(v.cause)
					time.Sleep(v.duration)
					_, _ = io.WriteString(w, "answer")
				})))
				_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: fees\r\n\r\n")
				qt.Assert(t, err, qt.IsNil)
				reply, _ := io.ReadAll(caller)
				qt.Assert(t, strings.HasSuffix(string(reply), "answer"), qt.Equals, v.answered, qt.Commentf("%q", reply))
				qt.Assert(t, group.Wait(), qt.IsNil)
				qt.Assert(t, time.Since(stopped) <= v.maxWait, qt.IsTrue)
				// The handler and the idle goroutines of the server end before the test does.
				time.Sleep(v.duration + 2*time.Second)
			})
		})
	}
}

// TestDrainWaitsForCallsOnTheirWay drains a node to which other nodes still send calls.
// It must not leave as soon as none is in flight, as the next call would be lost on its
// way, and must not wait for ever either.
func TestDrainWaitsForCallsOnTheirWay(t *testing.T) {
	for _, v := range []struct {
		name string
		// interval is the time between two arrivals until the time last; busy is the
		// time for which a call is in flight.
		interval, last, busy time.Duration
		min, max             time.Duration
	}{
		{"nothing arrives", time.Hour, 0, 0, quietTime, quietTime + drainPollInterval},
		{"calls arrive for a while", 100 * time.Millisecond, 500 * time.Millisecond, 0, 500*time.Millisecond + quietTime, 500*time.Millisecond + quietTime + 2*drainPollInterval},
		{"a call is in flight", time.Hour, 0, 2 * time.Second, 2*time.Second + quietTime - drainPollInterval, 2*time.Second + quietTime + 2*drainPollInterval},
		{"calls arrive for ever", 100 * time.Millisecond, time.Hour, 0, maxQuietTime, maxQuietTime + drainPollInterval},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				idle := func() bool { return time.Since(started) >= v.busy }
				arrivals := func() uint64 { return uint64(min(time.Since(started), v.last) / v.interval) }
				qt.Assert(t, waitUntilQuiet(t.Context(), idle, arrivals), qt.IsNil)
				took := time.Since(started)
				qt.Assert(t, took >= v.min && took <= v.max, qt.IsTrue, qt.Commentf("%v", took))
			})
		})
	}
}
