package forwarder_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/forwarder"
)

// endWhileReading ends the reply and reads the upload on.
func endWhileReading(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// endThenReset ends the reply, reads a part of the upload and resets the connection.
func endThenReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c, uploadLength/8)
	reset(c)
}

// TestEarlyReplyIsWhole guards against a whole reply to an upload that is not passed on
// because the backend server does not read the upload, or not to its end.
func TestEarlyReplyIsWhole(t *testing.T) {
	// A short body fits into the window of a connection that is not read.
	short, long := strings.Repeat("w", 20_000), strings.Repeat("w", 100_000)
	withLength := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for _, v := range []struct {
		name, reply string
		end         func(*net.TCPConn)
		dialer      forwarder.BackendDialer
		length      int
	}{
		{"ends with its side of the connection", untilClose + long, endWhileReading, &net.Dialer{}, len(long)},
		{"ends with its side of a hidden connection", untilClose + long, endWhileReading, wrapped{&net.Dialer{}}, len(long)},
		{"ends before a reset", untilClose + long, endThenReset, &net.Dialer{}, len(long)},
		{"ends before a reset that a write reports", untilClose + short, endThenReset, lateReading{left: len(untilClose)}, len(short)},
		{"has a length and ends before a reset", withLength(long), endThenReset, &net.Dialer{}, len(long)},
		{"has a length and ends before a reset that a write reports", withLength(short), endThenReset, lateReading{}, len(short)},
		{"has a length and is reset, which a write reports", withLength(short), closeUnread, lateReading{}, len(short)},
		{"has a length and the connection stays", withLength(long), func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }, &net.Dialer{}, len(long)},
	} {
		t.Run(v.name, func(t *testing.T) {
			front, back := socketPair(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, v.reply)
				v.end(c)
			}, v.dialer)
			for _, n := range []*node{front, back} {
				for _, chunked := range []bool{false, true} {
					got := n.serve(uploadRequest(chunked, 0))
					qt.Check(t, got.outcome(), qt.Equals, "completed")
					qt.Check(t, len(got.body), qt.Equals, v.length)
				}
			}
		})
	}
}

var errUploadEnds = errors.New("the caller has left")

// TestUploadThatBreaksOffLooksWhole guards against an upload of a caller that has left and
// that the backend server gets as whole.
func TestUploadThatBreaksOffLooksWhole(t *testing.T) {
	received := make(chan error, 1)
	tb := &testbed{t: t, net: newNetwork()}
	var lc net.ListenConfig
	listener, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		received <- err
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	back := tb.newNode(nodeConfig{
		service: "ledger", name: "ledger-1", backend: netip.MustParseAddrPort(listener.Addr().String()), backendDialer: &net.Dialer{},
	})
	back.updateServers(back)
	r := uploadRequest(true, 0)
	r.Body = io.NopCloser(io.MultiReader(&upload{left: uploadLength / 2}, brokenReader{}))
	got := back.serve(r)
	qt.Assert(t, got.completed(), qt.IsFalse)
	qt.Assert(t, <-received, qt.IsNotNil)
}

// brokenReader is the rest of a body whose caller has left.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errUploadEnds }
