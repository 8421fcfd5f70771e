package pipeliner_test

import (
	"bufio"
	"context"
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

// testServer is a server on a loopback socket.
type testServer struct {
	t        *testing.T
	server   *pipeliner.Server
	listener net.Listener
	unserved atomic.Int64
}

// newTestServer starts a server for which GET requests may run more than once.
func newTestServer(t *testing.T, config pipeliner.Config) *testServer {
	s := &testServer{t: t}
	config.Repeatable = func(r *http.Request) bool { return r.Method == http.MethodGet }
	config.Unserved = func(*http.Request) { s.unserved.Add(1) }
	s.server = pipeliner.New(config)
	var err error
	var lc net.ListenConfig
	s.listener, err = lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.server.Serve(s.listener)
	}()
	t.Cleanup(func() {
		_ = s.server.Close()
		<-done
	})
	return s
}

// testCaller is a connection of a caller.
type testCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *testCaller {
	var d net.Dialer
	conn, err := d.DialContext(s.t.Context(), "tcp", s.listener.Addr().String())
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() { _ = conn.Close() })
	return &testCaller{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *testCaller) send(text string) {
	_, err := io.WriteString(c.conn, text)
	qt.Assert(c.t, err, qt.IsNil)
}

// get returns the text of a GET request.
func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\n\r\n"
}

// answer is the answer to one request.
type answer struct {
	status int
	body   string
	closes bool
}

func (c *testCaller) receive() answer {
	res, err := http.ReadResponse(c.reader, nil)
	qt.Assert(c.t, err, qt.IsNil)
	body, err := io.ReadAll(res.Body)
	qt.Assert(c.t, err, qt.IsNil)
	qt.Assert(c.t, res.Body.Close(), qt.IsNil)
	return answer{res.StatusCode, string(body), res.Close}
}

// ended asserts that the server closes the connection without a further answer.
func (c *testCaller) ended() {
	data, err := io.ReadAll(c.reader)
	qt.Assert(c.t, err, qt.IsNil)
	qt.Assert(c.t, string(data), qt.Equals, "")
}

// TestRequestsWaitForOneAnother guards against requests of one connection that are
// handled one after the other: each handler waits until all requests have arrived. The
// answers come in the order of the requests, however they are written.
func TestRequestsWaitForOneAnother(t *testing.T) {
	const requests = 8
	arrived := make(chan struct{}, requests)
	all := make(chan struct{})
	go func() {
		for range requests {
			<-arrived
		}
		close(all)
	}()
	s := newTestServer(t, pipeliner.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-all
		// The bodies are shorter and longer than what is held back.
		_, _ = io.WriteString(w, strings.Repeat(r.URL.Path, 1+len(r.URL.Path)%2*1000))
	})})
	for _, inOnePacket := range []bool{true, false} {
		c := s.dial()
		text := ""
		for i := range requests {
			text += get("/" + strings.Repeat("x", i))
			if !inOnePacket {
				c.send(text)
				text = ""
			}
		}
		c.send(text)
		for i := range requests {
			path := "/" + strings.Repeat("x", i)
			qt.Assert(t, c.receive(), qt.Equals, answer{200, strings.Repeat(path, 1+len(path)%2*1000), false})
		}
	}
}

// TestLaterAnswerOvertakes guards against an answer that is written before those to
// earlier requests.
func TestLaterAnswerOvertakes(t *testing.T) {
	second := make(chan struct{})
	s := newTestServer(t, pipeliner.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			defer close(second)
		} else {
			<-second
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})})
	c := s.dial()
	c.send(get("/1") + get("/2"))
	qt.Assert(t, c.receive().body, qt.Equals, "/1")
	qt.Assert(t, c.receive().body, qt.Equals, "/2")
}

// TestLeavingIsNotNoticed guards against a caller whose leaving is not noticed because
// it has sent further requests: the contexts of all requests that are being handled end,
// and those that wait are not handled.
func TestLeavingIsNotNoticed(t *testing.T) {
	post := "POST /later HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0\r\n\r\n"
	for _, v := range []struct {
		name    string
		handled int
		later   string
		// unserved is the most requests that may be counted as unserved.
		unserved int64
	}{
		{"one", 1, "", 0},
		{"two", 2, "", 0},
		{"more than are handled together", 3, get("/waits"), 1},
		{"one that may not run twice waits", 1, post, 1},
		{"a part of a head", 1, get("/2")[:20], 0},
	} {
		t.Run(v.name, func(t *testing.T) {
			started, ended := make(chan struct{}, 10), make(chan struct{}, 10)
			var later atomic.Int64
			s := newTestServer(t, pipeliner.Config{
				MaxConcurrent: 3,
				Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/" {
						later.Add(1)
						return
					}
					started <- struct{}{}
					<-r.Context().Done()
					ended <- struct{}{}
				}),
			})
			c := s.dial()
			for range v.handled {
				c.send(get("/"))
			}
			for range v.handled {
				<-started
			}
			c.send(v.later)
			qt.Assert(t, c.conn.Close(), qt.IsNil)
			for range v.handled {
				<-ended
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			qt.Assert(t, s.server.Shutdown(ctx), qt.IsNil)
			qt.Assert(t, later.Load(), qt.Equals, int64(0))
			qt.Assert(t, s.unserved.Load() <= v.unserved, qt.IsTrue)
		})
	}
}

// TestUnrepeatableRunsBehindClosingAnswer guards against a request that may not run
// twice and is handled while an earlier answer can still close the connection: its
// caller would send it again.
func TestUnrepeatableRunsBehindClosingAnswer(t *testing.T) {
	posts := make(chan struct{}, 1)
	release := make(chan struct{})
	s := newTestServer(t, pipeliner.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			posts <- struct{}{}
			return
		}
		if r.URL.Path == "/second" {
			close(release)
			return
		}
		<-release
		w.Header().Set("Connection", "close")
	})})
	c := s.dial()
	c.send(get("/first") + get("/second") + "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0\r\n\r\n" + get("/third"))
	// The first answer must not close the connection, as the second request is handled.
	qt.Assert(t, c.receive(), qt.Equals, answer{200, "", false})
	qt.Assert(t, c.receive(), qt.Equals, answer{200, "", true})
	c.ended()
	qt.Assert(t, posts, qt.HasLen, 0)
	qt.Assert(t, s.server.Shutdown(t.Context()), qt.IsNil)
	qt.Assert(t, s.unserved.Load(), qt.Equals, int64(2))
}

// TestUnrepeatableIsHandledInItsTurn guards against a request that waits for ever behind
// earlier ones.
func TestUnrepeatableIsHandledInItsTurn(t *testing.T) {
	s := newTestServer(t, pipeliner.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			_, _ = fmt.Fprintf(w, "%s %s", r.Method, body)
		}
	})})
	c := s.dial()
	c.send(get("/") + "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\n\r\nab" +
		"PUT / HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncde\r\n0\r\n\r\n" + get("/"))
	for _, want := range []string{"GET ", "POST ab", "PUT cde", "GET "} {
		qt.Assert(t, c.receive(), qt.Equals, answer{200, want, false})
	}
}

// TestOneCallerTakesAll guards against a caller whose requests are all handled at once
// through one connection.
func TestOneCallerTakesAll(t *testing.T) {
	var now, most atomic.Int64
	s := newTestServer(t, pipeliner.Config{MaxConcurrent: 2, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := now.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		_, _ = w.Write(make([]byte, 10_000))
		now.Add(-1)
	})})
	c := s.dial()
	// The requests are longer than the read buffer.
	go func() { _, _ = io.WriteString(c.conn, strings.Repeat(get("/"), 300)) }()
	for range 300 {
		qt.Assert(t, len(c.receive().body), qt.Equals, 10_000)
	}
	qt.Assert(t, most.Load() <= 2, qt.IsTrue)
}

// TestFailedAnswerCutsEarlierOne guards against an answer that is cut off because a later
// one fails first.
func TestFailedAnswerCutsEarlierOne(t *testing.T) {
	failing := make(chan struct{})
	s := newTestServer(t, pipeliner.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fails" {
			defer close(failing)
			panic(http.ErrAbortHandler)
		}
		<-failing
		_, _ = w.Write(make([]byte, 100_000))
	})})
	c := s.dial()
	c.send(get("/whole") + get("/fails"))
	qt.Assert(t, len(c.receive().body), qt.Equals, 100_000)
	_, err := c.reader.ReadByte()
	qt.Assert(t, err, qt.IsNotNil)
}

// TestBrokenAnswerLooksWhole guards against an answer that ends early and looks complete.
func TestBrokenAnswerLooksWhole(t *testing.T) {
	s := newTestServer(t, pipeliner.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "20000")
		}
		_, _ = w.Write(make([]byte, 10_000))
		if r.URL.Path != "/length" {
			panic(http.ErrAbortHandler)
		}
	})})
	for _, request := range []string{get("/length"), get("/chunked"), "GET / HTTP/1.0\r\n\r\n"} {
		c := s.dial()
		c.send(request)
		res, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", request))
	}
}

// TestUnreadBodyIsTakenAsRequest guards against bytes of a body that the handler did not
// read and that are handled as a request.
func TestUnreadBodyIsTakenAsRequest(t *testing.T) {
	var handled atomic.Int64
	s := newTestServer(t, pipeliner.Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		_, _ = r.Body.Read(make([]byte, 1))
	})})
	c := s.dial()
	body := get("/smuggled")
	c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	qt.Assert(t, c.receive(), qt.Equals, answer{200, "", true})
	c.ended()
	qt.Assert(t, handled.Load(), qt.Equals, int64(1))
}

// TestMalformedRequestIsHandled guards against requests that different servers read
// differently, and against heads without an end.
func TestMalformedRequestIsHandled(t *testing.T) {
	s := newTestServer(t, pipeliner.Config{
		MaxHeaderBytes: 8 << 10,
		Handler:        http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }),
	})
	for _, v := range []struct {
		name, text string
		status     int
	}{
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nhOsT: b\r\n\r\n", 400},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400},
		{"blank in the host", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", 400},
		{"blank in a name", "GET / HTTP/1.1\r\nHost: a\r\nX y: 1\r\n\r\n", 400},
		{"control character in a value", "GET / HTTP/1.1\r\nHost: a\r\nX: \x01\r\n\r\n", 400},
		{"no request line", "\r\n\r\n", 400},
		{"another version", "GET / HTTP/3.0\r\nHost: a\r\n\r\n", 400},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
		{"negative length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400},
		{"unknown encoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: zip\r\n\r\n", 400},
		{"long head", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 9<<10) + "\r\n\r\n", 431},
		{"endless head", "GET /" + strings.Repeat("x", 9<<10), 431},
	} {
		t.Run(v.name, func(t *testing.T) {
			c := s.dial()
			c.send(get("/before") + v.text)
			qt.Assert(t, c.receive(), qt.Equals, answer{200, "/before", false})
			got := c.receive()
			qt.Assert(t, got.status, qt.Equals, v.status)
			qt.Assert(t, got.closes, qt.IsTrue)
		})
	}
	c := s.dial()
	long := "GET /long HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 7<<10) + "\r\n\r\n"
	c.send(long + get("/after"))
	qt.Assert(t, c.receive().body, qt.Equals, "/long")
	qt.Assert(t, c.receive().body, qt.Equals, "/after")
}

// TestShutdownDropsRequests guards against requests that were read and get no answer when
// the server is shut down, and against one that is handled after an answer closed the
// connection.
func TestShutdownDropsRequests(t *testing.T) {
	started, release := make(chan struct{}, 2), make(chan struct{})
	s := newTestServer(t, pipeliner.Config{MaxConcurrent: 2, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	})})
	idle := s.dial()
	c := s.dial()
	c.send(get("/1") + get("/2") + get("/3"))
	<-started
	<-started
	ended := make(chan error, 1)
	go func() { ended <- s.server.Shutdown(t.Context()) }()
	idle.ended()
	close(release)
	qt.Assert(t, c.receive(), qt.Equals, answer{200, "/1", false})
	qt.Assert(t, c.receive(), qt.Equals, answer{200, "/2", true})
	c.ended()
	qt.Assert(t, c.conn.Close(), qt.IsNil)
	qt.Assert(t, <-ended, qt.IsNil)
	qt.Assert(t, s.unserved.Load(), qt.Equals, int64(1))
}

// TestExpectedBodyIsNotSent guards against a caller that waits for a permission to send
// its body.
func TestExpectedBodyIsNotSent(t *testing.T) {
	s := newTestServer(t, pipeliner.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})})
	c := s.dial()
	c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	qt.Assert(t, c.receive().status, qt.Equals, 100)
	c.send("body")
	qt.Assert(t, c.receive(), qt.Equals, answer{200, "body", false})
}

// TestHeadHasBody guards against bodies where the protocol allows none.
func TestHeadHasBody(t *testing.T) {
	s := newTestServer(t, pipeliner.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, "hello")
	})})
	c := s.dial()
	c.send("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n" + get("/"))
	res, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, res.Body.Close(), qt.IsNil)
	qt.Assert(t, res.ContentLength, qt.Equals, int64(5))
	qt.Assert(t, c.receive(), qt.Equals, answer{200, "hello", false})
}

// TestHTTP2ConnectionIsRefused guards against a connection with the HTTP/2 preface that is
// answered like a malformed HTTP/1.1 request.
func TestHTTP2ConnectionIsRefused(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) })
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	s := newTestServer(t, pipeliner.Config{
		Handler: handler,
		HTTP2:   &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: time.Second},
	})
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.listener.Addr().String(), nil)
	qt.Assert(t, err, qt.IsNil)
	res, err := transport.RoundTrip(r)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(res.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, res.Body.Close(), qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "HTTP/2.0")
}

// TestInterruptedAnswerLooksWhole guards against an answer without a length, to a caller that
// uses HTTP/1.0, that looks complete after the server has closed its connections.
func TestInterruptedAnswerLooksWhole(t *testing.T) {
	begun := make(chan struct{})
	s := newTestServer(t, pipeliner.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, 10_000))
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/whole" {
			return
		}
		close(begun)
		<-r.Context().Done()
	})})
	readWhole := func(c *testCaller) error {
		res, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return err
		}
		defer func() { _ = res.Body.Close() }()
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	c := s.dial()
	c.send("GET /whole HTTP/1.0\r\n\r\n")
	qt.Assert(t, readWhole(c), qt.IsNil)
	c = s.dial()
	c.send("GET / HTTP/1.0\r\n\r\n")
	<-begun
	_ = s.server.Close()
	qt.Assert(t, readWhole(c), qt.IsNotNil)
}
