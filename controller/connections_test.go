package controller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// dialOperators opens a connection to a server and sends a text.
func dialOperators(t *testing.T, address, text string) net.Conn {
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(waitLimit)), qt.IsNil)
	_, err = io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// answered reads an answer and returns whether there is one, of whatever status.
func answered(conn net.Conn) bool {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return true
}

// TestIdleOperatorsKeepOthersWaiting guards against idle connections to the operator API that
// keep further ones waiting. The connections of requests that are being handled stay open.
func TestIdleOperatorsKeepOthersWaiting(t *testing.T) {
	const (
		limit = 4
		get   = "GET / HTTP/1.1\r\nHost: control\r\n\r\n"
	)
	for _, v := range []struct {
		name, text string
		answered   bool
	}{
		{"nothing sent", "", false},
		{"between requests", get, true},
		{"half a header", get[:20], false},
		{"answer not read", strings.Replace(get, "/", "/long", 1), false},
		{"half a body", "PUT / HTTP/1.1\r\nHost: control\r\nContent-Length: 10\r\n\r\nhalf", false},
	} {
		t.Run(v.name, func(t *testing.T) {
			running, finish := make(chan struct{}), make(chan struct{})
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			server := &http.Server{
				ReadHeaderTimeout: time.Minute,
				ConnContext:       withConnection,
				Handler: markRequests(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					if r.URL.Path == "/long" {
						_, _ = w.Write(make([]byte, 64<<20))
					}
					if r.URL.Path == "/slow" {
						close(running)
						<-finish
					}
				})),
			}
			go func() { _ = server.Serve(newBoundedListener(listener, limit)) }()
			t.Cleanup(func() { _ = server.Close() })
			address := listener.Addr().String()
			slow := dialOperators(t, address, strings.Replace(get, "/", "/slow", 1))
			<-running
			for range limit - 1 {
				conn := dialOperators(t, address, v.text)
				qt.Assert(t, !v.answered || answered(conn), qt.IsTrue)
			}
			for range 2 * limit {
				qt.Assert(t, answered(dialOperators(t, address, get)), qt.IsTrue)
			}
			close(finish)
			qt.Assert(t, answered(slow), qt.IsTrue)
		})
	}
}

// TestIdleOperatorsAtController guards against a controller that serves its operator API
// without closing idle connections.
func TestIdleOperatorsAtController(t *testing.T) {
	r := startCluster(t, 1)[0]
	for range 2 * maxOperatorConnections {
		conn := dialOperators(t, r.operators, "GET /v1/status HTTP/1.1\r\nHost: control\r\n\r\n")
		qt.Assert(t, answered(conn), qt.IsTrue)
	}
}
