package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/forwarder"
)

// contextRefusals is a backend server's protocol in which replies name their call, and
// status 503 is a refusal.
type contextRefusals struct{}

func (contextRefusals) SetRequestFields(header http.Header, r waxwingseam.BackendRequest) {
	header.Set(forwarder.HeaderContext, r.Call.ID.String())
}

func (contextRefusals) CheckReply(request http.Header, status int, reply http.Header) (waxwingseam.ReplyVerdict, waxwingseam.Reason) {
	switch {
	case reply.Get(forwarder.HeaderContext) != request.Get(forwarder.HeaderContext):
		return waxwingseam.ReplyMismatched, waxwingseam.ReasonNone
	case status == http.StatusServiceUnavailable:
		return waxwingseam.ReplyDidNotRun, waxwingseam.ReasonServerRefused
	}
	return waxwingseam.ReplyMatched, waxwingseam.ReasonNone
}

func (contextRefusals) ParseLoad(http.Header) waxwingseam.BackendLoad {
	return waxwingseam.BackendLoad{}
}

func (contextRefusals) ParseStatement(http.Header) waxwingseam.Statement {
	return waxwingseam.Statement{}
}

// TestSecondCopyOfRefusal runs a backend server that refuses a call once, and writes the
// refusal again when the call comes again on the same connection, before it runs the call.
// The caller must not be told that the call did not run.
func TestSecondCopyOfRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		var requests, runs atomic.Int64
		b := tb.rawBackend(func(c net.Conn) {
			in := bufio.NewReader(c)
			refusal := ""
			for r, err := http.ReadRequest(in); err == nil; r, err = http.ReadRequest(in) {
				head := forwarder.HeaderContext + ": " + r.Header.Get(forwarder.HeaderContext) + "\r\nContent-Length: 0\r\n\r\n"
				if requests.Add(1) == 1 {
					refusal = "HTTP/1.1 503 Service Unavailable\r\n" + head
					_, _ = io.WriteString(c, refusal)
					continue
				}
				_, _ = io.WriteString(c, refusal)
				runs.Add(1)
				time.Sleep(10 * time.Millisecond)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
			}
		})
		front := tb.newNode(nodeConfig{})
		back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address, protocol: contextRefusals{}})
		front.updateServers(back)
		got := front.call(request{body: strings.NewReader("lot")})
		qt.Assert(t, got.outcome(), qt.Equals, "completed")
		qt.Assert(t, runs.Load(), qt.Equals, int64(1))
	})
}

// TestRefusalsCloseConnections checks that the connection of a refusal carries other calls.
func TestRefusalsCloseConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		b := tb.rawBackend(func(c net.Conn) {
			in := bufio.NewReader(c)
			for r, err := http.ReadRequest(in); err == nil; r, err = http.ReadRequest(in) {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+forwarder.HeaderContext+": "+r.Header.Get(forwarder.HeaderContext)+"\r\nContent-Length: 0\r\n\r\n")
			}
		})
		front := tb.newNode(nodeConfig{})
		back := tb.newNode(nodeConfig{service: "photos", name: "photos-1", backend: b.address, protocol: contextRefusals{}})
		front.updateServers(back)
		const calls = 100
		for range calls {
			front.call(request{body: strings.NewReader("lot")})
		}
		qt.Assert(t, tb.net.dialed(b.address) <= calls/4, qt.IsTrue, qt.Commentf("%d connections", tb.net.dialed(b.address)))
	})
}
