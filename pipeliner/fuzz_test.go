package pipeliner_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/pipeliner"
)

// sequentialRequests returns the requests in a text by the standard library, which reads
// each body before the next request.
func sequentialRequests(text string) map[string]int {
	out := map[string]int{}
	reader := bufio.NewReader(strings.NewReader(text))
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return out
		}
		_, err = io.Copy(io.Discard, r.Body)
		out[r.Method+" "+r.RequestURI+" "+r.Host]++
		if err != nil || r.Close {
			return out
		}
	}
}

// FuzzSmuggledRequests guards against handled requests that the caller did not send, such
// as parts of a body, whatever bytes arrive in whatever pieces, and against a panic.
func FuzzSmuggledRequests(f *testing.F) {
	for _, text := range []string{
		get("/1") + get("/2"),
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" + get("/"),
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\n" + get("/"),
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + get("/"),
		"GET / HTTP/1.1\nHost: a\n\n" + get("/"),
		"GET / HTTP/1.1\r\nHost: a\r\n b\r\nHost: c\r\n\r\n",
		"GET http://b/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/"),
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add(text, 7)
	}
	f.Fuzz(func(t *testing.T, text string, piece int) {
		var mu sync.Mutex
		handled := map[string]int{}
		server := pipeliner.New(pipeliner.Config{
			Repeatable: func(r *http.Request) bool { return r.Method == http.MethodGet },
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				mu.Lock()
				handled[r.Method+" "+r.RequestURI+" "+r.Host]++
				mu.Unlock()
				if len(r.RequestURI)%2 == 0 {
					_, _ = io.Copy(io.Discard, r.Body)
				}
			}),
		})
		caller, accepted := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve(&oneConn{conn: accepted, ended: make(chan struct{})})
		}()
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		for rest := text; rest != ""; {
			n := min(max(piece, 1), len(rest))
			if _, err := io.WriteString(caller, rest[:n]); err != nil {
				break
			}
			rest = rest[n:]
		}
		_ = caller.Close()
		qt.Assert(t, server.Shutdown(t.Context()), qt.IsNil)
		<-done
		sent := sequentialRequests(text)
		for name, n := range handled {
			qt.Assert(t, n <= sent[name], qt.IsTrue, qt.Commentf("%s handled %d times, sent %d times", name, n, sent[name]))
		}
	})
}

// oneConn is a listener with one connection.
type oneConn struct {
	conn  net.Conn
	ended chan struct{}
	once  sync.Once
}

func (l *oneConn) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.ended
	return nil, net.ErrClosed
}

func (l *oneConn) Close() error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }
