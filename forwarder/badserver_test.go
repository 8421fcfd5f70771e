package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/forwarder"
)

// badServer answers the calls of the name "x" with raw bytes, and all others
// properly.
type badServer struct {
	// head is sent first, then repeated is sent until the connection is closed.
	head, repeated string
	// pause is the time between two sendings of repeated.
	pause time.Duration

	sent atomic.Int64
	// closed is how many connections the node closed while repeated was sent.
	closed atomic.Int64
}

func (s *badServer) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Header.Get("Name") == "x" {
			s.misbehave(c)
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func (s *badServer) misbehave(c net.Conn) {
	_, _ = io.WriteString(c, s.head)
	for s.repeated != "" {
		n, err := io.WriteString(c, s.repeated)
		s.sent.Add(int64(n))
		if err != nil {
			s.closed.Add(1)
			return
		}
		time.Sleep(max(s.pause, time.Microsecond))
	}
}

// TestEndlessReply runs a backend server that sends bytes without end at each place
// of a reply. The node must buffer a bounded number of bytes, close the connection,
// give the caller a correct outcome and serve the next call.
func TestEndlessReply(t *testing.T) {
	const (
		ok       = "HTTP/1.1 200 OK\r\n"
		chunked  = ok + "Transfer-Encoding: chunked\r\n\r\n"
		timeout  = 5 * time.Second
		maxSent  = 256 << 10
		maxHeld  = 1 << 10
		maxBytes = 1 << 20
	)
	filler := strings.Repeat("b", 1<<10)
	for _, v := range []struct {
		name           string
		head, repeated string
		pause          time.Duration
		want           string
		reply          string
	}{
		{"status line", "HTTP/1.1 200 ", filler, 0, "may-have-run:server-failed", ""},
		{"protocol version", "", "HTTP/1.", 0, "may-have-run:server-failed", ""},
		{"header name", ok, filler, 0, "may-have-run:server-failed", ""},
		{"header value", ok + "More: ", filler, 0, "may-have-run:server-failed", ""},
		{"header lines", ok, "More: " + filler + "\r\n", 0, "may-have-run:server-failed", ""},
		{"continued header line", ok + "More: a\r\n", " " + filler + "\r\n", 0, "may-have-run:server-failed", ""},
		{"heads with status 100", "", "HTTP/1.1 100 Continue\r\n\r\n", 0, "may-have-run:server-failed", ""},
		{"heads with status 103", "", "HTTP/1.1 103 Early Hints\r\nLink: " + filler + "\r\n\r\n", 0, "may-have-run:server-failed", ""},
		{"slow heads with status 102", "", "HTTP/1.1 102 Processing\r\n\r\n", time.Second, "may-have-run:deadline", ""},
		{"empty lines", "", "\r\n", 0, "may-have-run:server-failed", ""},
		{"bytes after status 101", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: lots\r\n\r\n", filler, 0, "may-have-run:server-failed", ""},
		{"chunk size line", chunked, strings.Repeat("0", 1<<10), 0, "may-have-run:server-failed", ""},
		{"chunk extension", chunked + "4;", filler, 0, "may-have-run:server-failed", ""},
		{"chunk extensions", chunked, "1;" + filler + "\r\nb\r\n", 0, "may-have-run:server-failed", ""},
		{"trailer name", chunked + "4\r\nhalf\r\n0\r\n", filler, 0, "may-have-run:server-failed", ""},
		{"trailers", chunked + "4\r\nhalf\r\n0\r\n", "More: " + filler + "\r\n", 0, "may-have-run:server-failed", ""},
		{"slow trailers", chunked + "4\r\nhalf\r\n0\r\n", "More: and more\r\n", time.Second, "may-have-run:deadline", ""},
		{"bytes after Content-Length", ok + "Content-Length: 4\r\n\r\nhalf", filler, 0, "completed", "half"},
		{"bytes after an empty reply", ok + "Content-Length: 0\r\n\r\n", filler, 0, "completed", ""},
		{"bytes after status 204", "HTTP/1.1 204 No Content\r\n\r\n", filler, 0, "completed", ""},
		{"bytes after the last chunk", chunked + "4\r\nhalf\r\n0\r\n\r\n", filler, 0, "completed", "half"},
		{"replies after the reply", ok + "Content-Length: 4\r\n\r\nhalf", ok + "Content-Length: 5\r\n\r\nother", 0, "completed", "half"},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t)
				s := &badServer{head: v.head, repeated: v.repeated, pause: v.pause}
				b := tb.rawBackend(s.serve)
				front := tb.newNode(nodeConfig{})
				back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address})
				front.updateServers(back)
				start := time.Now()
				got := front.call(request{name: "x", header: map[string]string{forwarder.HeaderTimeout: "5"}})
				qt.Check(t, got.outcome(), qt.Equals, v.want)
				qt.Check(t, time.Since(start) <= timeout, qt.IsTrue)
				if v.want == "completed" {
					qt.Check(t, got.body, qt.Equals, v.reply)
				}
				next := front.call(request{name: "next"})
				qt.Check(t, next.outcome(), qt.Equals, "completed")
				qt.Check(t, next.body, qt.Equals, "ok")
				time.Sleep(5 * time.Second)
				qt.Check(t, s.closed.Load(), qt.Equals, int64(1))
				qt.Check(t, s.sent.Load() <= maxSent, qt.IsTrue, qt.Commentf("%d bytes", s.sent.Load()))
				for _, n := range []*node{front, back} {
					held, peak := n.BufferedBytes()
					qt.Check(t, held < maxHeld, qt.IsTrue, qt.Commentf("%d bytes", held))
					qt.Check(t, peak < maxBytes, qt.IsTrue, qt.Commentf("%d bytes", peak))
				}
			})
		})
	}
}

// TestEndlessBody runs a backend server whose reply has no end. The caller must see
// that the reply is not whole, and the node must buffer a bounded number of bytes.
func TestEndlessBody(t *testing.T) {
	const (
		maxHeld  = 1 << 10
		maxBytes = 4 << 20
	)
	filler := strings.Repeat("b", 16<<10)
	for _, v := range []struct {
		name           string
		head, repeated string
	}{
		{"without a length", "HTTP/1.1 200 OK\r\n\r\n", filler},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + filler + "\r\n"},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t)
				s := &badServer{head: v.head, repeated: v.repeated, pause: time.Millisecond}
				b := tb.rawBackend(s.serve)
				front := tb.newNode(nodeConfig{})
				back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address})
				front.updateServers(back)
				got := front.call(request{name: "x", header: map[string]string{forwarder.HeaderTimeout: "3"}})
				qt.Check(t, got.outcome(), qt.Equals, "broken")
				qt.Check(t, front.call(request{name: "next"}).body, qt.Equals, "ok")
				time.Sleep(2 * time.Second)
				qt.Check(t, s.closed.Load(), qt.Equals, int64(1))
				for _, n := range []*node{front, back} {
					held, peak := n.BufferedBytes()
					qt.Check(t, held < maxHeld, qt.IsTrue, qt.Commentf("%d bytes", held))
					qt.Check(t, peak < maxBytes, qt.IsTrue, qt.Commentf("%d bytes", peak))
				}
			})
		})
	}
}

// leavingCaller is a caller who reads a reply until it leaves.
type leavingCaller struct {
	http.ResponseWriter
	left atomic.Bool
}

func (w *leavingCaller) Write(p []byte) (int, error) {
	if w.left.Load() {
		return 0, syscall.EPIPE
	}
	return len(p), nil
}

// TestEndlessBodyOutlivesCaller guards against a backend server whose reply has no end and is
// read until the deadline of its call, as the caller has left while the node was handling other
// events: the call was forgotten before its attempt was cancelled.
func TestEndlessBodyOutlivesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		s := &badServer{head: "HTTP/1.1 200 OK\r\n\r\n", repeated: strings.Repeat("b", 16<<10), pause: time.Millisecond}
		b := tb.rawBackend(s.serve)
		front := tb.newNode(nodeConfig{})
		back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address})
		front.updateServers(back)
		w, handled := &leavingCaller{ResponseWriter: httptest.NewRecorder()}, make(chan struct{})
		go func() {
			time.Sleep(time.Second)
			go front.step(func(s waxwingseam.Stamp) waxwingseam.Event {
				<-handled
				return waxwingseam.TimerFired{Stamp: s}
			})
			synctest.Wait()
			w.left.Store(true)
			time.Sleep(100 * time.Millisecond)
			close(handled)
		}()
		func() {
			defer func() { _ = recover() }()
			r := request{name: "x", header: map[string]string{forwarder.HeaderTimeout: "10"}}
			front.Entry().ServeHTTP(w, r.build(t.Context()))
		}()
		<-handled
		time.Sleep(departureTarget)
		qt.Assert(t, s.closed.Load(), qt.Equals, int64(1))
		time.Sleep(10 * time.Second)
	})
}

// TestInvalidStatus runs a backend server whose status can't be passed on. The caller
// must get an answer.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "+12", "-00", "1000", "99", "101", "199", "abc", ""} {
		t.Run(status, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t)
				s := &badServer{head: "HTTP/1.1 " + status + " Lot\r\nContent-Length: 4\r\n\r\nhalf"}
				b := tb.rawBackend(s.serve)
				front := tb.newNode(nodeConfig{})
				back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address})
				front.updateServers(back)
				got := front.call(request{name: "x", header: map[string]string{forwarder.HeaderTimeout: "5"}})
				qt.Check(t, got.outcome(), qt.Equals, "may-have-run:server-failed")
				qt.Check(t, front.call(request{name: "next"}).body, qt.Equals, "ok")
			})
		})
	}
}

// refusals is a backend server's protocol in which each reply is a refusal.
type refusals struct{}

func (refusals) SetRequestFields(http.Header, waxwingseam.BackendRequest) {}

func (refusals) CheckReply(http.Header, int, http.Header) (waxwingseam.ReplyVerdict, waxwingseam.Reason) {
	return waxwingseam.ReplyDidNotRun, waxwingseam.ReasonServerRefused
}

func (refusals) ParseLoad(http.Header) waxwingseam.BackendLoad { return waxwingseam.BackendLoad{} }

func (refusals) ParseStatement(http.Header) waxwingseam.Statement {
	return waxwingseam.Statement{}
}

// TestUnfinishedRefusal runs a backend server that refuses a call and does not end the
// body of its reply. The refusal must not wait for that end.
func TestUnfinishedRefusal(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\n"
	for _, v := range []struct {
		name           string
		head, repeated string
		pause          time.Duration
	}{
		{"half of the body", head + "Content-Length: 10\r\n\r\n", "half!", time.Minute},
		{"slow body", head + "\r\n", "b", time.Second},
		{"endless body", head + "\r\n", strings.Repeat("b", 1<<10), 0},
		{"slow chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n", time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t)
				s := &badServer{head: v.head, repeated: v.repeated, pause: v.pause}
				b := tb.rawBackend(s.serve)
				front := tb.newNode(nodeConfig{})
				back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address, protocol: refusals{}})
				front.updateServers(back)
				start := time.Now()
				got := front.call(request{name: "x", header: map[string]string{forwarder.HeaderTimeout: "5"}})
				qt.Check(t, got.outcome(), qt.Equals, "did-not-run:server-refused")
				qt.Check(t, time.Since(start) <= time.Second, qt.IsTrue)
				time.Sleep(3 * time.Minute)
				qt.Check(t, s.closed.Load(), qt.Equals, int64(tb.net.dialed(b.address)))
			})
		})
	}
}

// TestSecondCopyOfReply runs a backend server that sends each reply twice. The second
// copy must not become the reply to another call, whenever it arrives.
func TestSecondCopyOfReply(t *testing.T) {
	reply := func(r *http.Request) string {
		name := r.Header.Get("Name")
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			forwarder.HeaderContext, r.Header.Get(forwarder.HeaderContext), len(name), name)
	}
	for _, v := range []struct {
		name  string
		serve func(in *bufio.Reader, c net.Conn)
		want  string
	}{
		{"with the reply", func(in *bufio.Reader, c net.Conn) {
			for r, err := http.ReadRequest(in); err == nil; r, err = http.ReadRequest(in) {
				_, _ = io.WriteString(c, reply(r)+reply(r))
			}
		}, "completed"},
		{"before the next request", func(in *bufio.Reader, c net.Conn) {
			for r, err := http.ReadRequest(in); err == nil; r, err = http.ReadRequest(in) {
				_, _ = io.WriteString(c, reply(r))
				time.Sleep(10 * time.Millisecond)
				_, _ = io.WriteString(c, reply(r))
			}
		}, "completed"},
		{"after the next request", func(in *bufio.Reader, c net.Conn) {
			last := ""
			for r, err := http.ReadRequest(in); err == nil; r, err = http.ReadRequest(in) {
				if last != "" {
					_, _ = io.WriteString(c, last)
					time.Sleep(10 * time.Millisecond)
				}
				last = reply(r)
				_, _ = io.WriteString(c, last)
			}
		}, "may-have-run:server-failed"},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t)
				b := tb.rawBackend(func(c net.Conn) { v.serve(bufio.NewReader(c), c) })
				front := tb.newNode(nodeConfig{})
				back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address})
				front.updateServers(back)
				for n := range 6 {
					name := fmt.Sprint("lot-", n)
					got := front.call(request{method: http.MethodGet, name: name})
					if n%2 == 0 {
						qt.Check(t, got.outcome(), qt.Equals, "completed")
					} else {
						qt.Check(t, got.outcome(), qt.Equals, v.want)
					}
					if got.outcome() == "completed" {
						qt.Check(t, got.body, qt.Equals, name)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}
