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

	"waxwingseam.example/waxwingseam/charger"
	"waxwingseam.example/waxwingseam/pipeliner"
)

// status reads the status of an answer, within some seconds.
func status(t *testing.T, conn net.Conn) string {
	t.Helper()
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	data := make([]byte, len("HTTP/1.1 200"))
	_, err := io.ReadFull(conn, data)
	qt.Assert(t, err, qt.IsNil)
	return string(data[len("HTTP/1.1 "):])
}

// strictLimits are limits that are reached soon.
func strictLimits() pipeliner.Limits {
	return pipeliner.Limits{
		HeaderBytes: 16 << 10, Fields: 100, BodyBytes: 64 << 20,
		HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Second, Grace: 500 * time.Millisecond,
	}
}

// TestIncompleteRequestIsHandled guards against requests that take capacity before they are
// whole, and against untruthful refusals of them.
func TestIncompleteRequestIsHandled(t *testing.T) {
	for _, v := range []struct {
		name, text, status string
	}{
		{"body without its end", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("b", 99_999), "408"},
		{"chunks without an end", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "408"},
		{"malformed chunk", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nabc\r\n", "400"},
		{"head without an end", "GET / HTTP/1.1\r\nHost: a\r\nX: y", "408"},
		{"many fields", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("x:\r\n", 3000) + "\r\n", "431"},
		{"long head", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 20<<10), "431"},
	} {
		t.Run(v.name, func(t *testing.T) {
			var handled atomic.Int64
			budget := charger.New(0)
			c := newTestServer(t, pipeliner.Config{
				Handler:   http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }),
				Limits:    strictLimits,
				HoldsBody: func(*http.Request) bool { return true },
				Budget:    budget,
			}).dial()
			c.send(v.text)
			qt.Assert(t, status(t, c.conn), qt.Equals, v.status)
			qt.Assert(t, handled.Load(), qt.Equals, int64(0))
			qt.Assert(t, c.conn.Close(), qt.IsNil)
			for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				if held, _ := budget.Held(); held == 0 {
					break
				}
			}
			held, _ := budget.Held()
			qt.Assert(t, held, qt.Equals, int64(0))
		})
	}
}

// TestLegalRequestIsRefused guards against limits that refuse the largest legal request, or a
// slow one.
func TestLegalRequestIsRefused(t *testing.T) {
	const length = 64 << 20
	var read atomic.Int64
	c := newTestServer(t, pipeliner.Config{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			n, err := io.Copy(io.Discard, r.Body)
			if err == nil {
				read.Store(n)
			}
		}),
		Limits:    strictLimits,
		HoldsBody: func(*http.Request) bool { return true },
		Budget:    charger.New(charger.Bound(184 << 20)),
	}).dial()
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\nX: ", length)
	c.send(head + strings.Repeat("y", 16<<10-len(head)-4) + "\r\n\r\n")
	piece := strings.Repeat("b", 1<<20)
	for range length / len(piece) {
		c.send(piece)
	}
	qt.Assert(t, status(t, c.conn), qt.Equals, "200")
	qt.Assert(t, read.Load(), qt.Equals, int64(length))

	slow := newTestServer(t, pipeliner.Config{
		Handler:   http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }),
		Limits:    strictLimits,
		HoldsBody: func(*http.Request) bool { return true },
	}).dial()
	slow.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n")
	for range 20 {
		// Twice the least rate.
		slow.send(strings.Repeat("b", 200))
		time.Sleep(100 * time.Millisecond)
	}
	qt.Assert(t, status(t, slow.conn), qt.Equals, "200")
}

// TestUnreadAnswerHoldsConnection guards against callers that never read their answer and
// keep it in memory.
func TestUnreadAnswerHoldsConnection(t *testing.T) {
	failed := make(chan error, 1)
	refused := make(chan string, 1)
	c := newTestServer(t, pipeliner.Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			piece := make([]byte, 64<<10)
			for {
				if _, err := w.Write(piece); err != nil {
					failed <- err
					return
				}
			}
		}),
		Limits:  strictLimits,
		Refused: func(reason string) { refused <- reason },
	}).dial()
	c.send(get("/"))
	select {
	case err := <-failed:
		qt.Assert(t, err, qt.IsNotNil)
	case <-time.After(20 * time.Second):
		t.Fatal("the answer is still being written")
	}
	qt.Assert(t, <-refused, qt.Equals, "slow-reply")
}

// TestRequestsWithoutReadingTakeAllCapacity guards against callers that send many requests
// without reading, and have more of them handled than callers who wait for each answer.
func TestRequestsWithoutReadingTakeAllCapacity(t *testing.T) {
	var active, most atomic.Int64
	server := newTestServer(t, pipeliner.Config{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			n := active.Add(1)
			for seen := most.Load(); n > seen && !most.CompareAndSwap(seen, n); {
				seen = most.Load()
			}
			time.Sleep(10 * time.Millisecond)
			active.Add(-1)
		}),
		Repeatable: func(*http.Request) bool { return true },
	})
	const callers, requests = 40, 20
	for range callers {
		c := server.dial()
		c.send(strings.Repeat(get("/"), requests))
		defer func() {
			for range requests {
				qt.Check(t, status(t, c.conn), qt.Equals, "200")
				for end := ""; !strings.HasSuffix(end, "\r\n\r\n"); {
					one := make([]byte, 1)
					_, err := io.ReadFull(c.conn, one)
					qt.Assert(t, err, qt.IsNil)
					end += string(one)
				}
			}
			// The first requests of all callers, and 16 of the others.
			qt.Check(t, most.Load() <= callers+16, qt.IsTrue, qt.Commentf("%d at once", most.Load()))
		}()
	}
}

// TestConnectionsWithoutProgressKeepOthersOut guards against callers that open all allowed
// connections and do nothing.
func TestConnectionsWithoutProgressKeepOthersOut(t *testing.T) {
	server := newTestServer(t, pipeliner.Config{
		Handler:        http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		MaxConnections: 20,
	})
	for range 40 {
		server.dial().send("GET / HTTP/1.1\r\nHos")
	}
	c := server.dial()
	c.send(get("/"))
	qt.Assert(t, status(t, c.conn), qt.Equals, "200")
}
