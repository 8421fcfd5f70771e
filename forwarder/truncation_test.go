package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/forwarder"
)

// truncatedReplies are whole replies that are cut off after each of their bytes.
var truncatedReplies = []struct{ name, reply string }{
	{"with a length", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nwhole"},
	{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
	{"until the close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
	{"until the close, in HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n"},
	{"after an informational head", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
	{"without a body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
}

// truncated returns a backend server that sends the first n bytes of a reply and closes the
// connection. Before that, it answers the given number of calls of the connection properly.
func truncated(reply string, n, before int) func(c net.Conn) {
	return func(c net.Conn) {
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		for i := 0; ; i++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if i < before {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				continue
			}
			_, _ = io.WriteString(c, reply[:n])
			return
		}
	}
}

// TestTruncatedHeadLooksWhole cuts replies off after each byte, as the first or the second
// reply of their connection. The caller must not get a whole reply.
func TestTruncatedHeadLooksWhole(t *testing.T) {
	for _, v := range truncatedReplies {
		for _, before := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s, reply %d", v.name, before+1), func(t *testing.T) {
				for n := range len(v.reply) {
					synctest.Test(t, func(t *testing.T) {
						tb := newTestbed(t)
						b := tb.rawBackend(truncated(v.reply, n, before))
						front := tb.newNode(nodeConfig{})
						back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address})
						front.updateServers(back)
						for range before {
							qt.Assert(t, front.call(request{body: strings.NewReader("lot")}).outcome(), qt.Equals, "completed")
						}
						got := front.call(request{body: strings.NewReader("lot")})
						qt.Assert(t, got.outcome(), qt.Equals, "may-have-run:server-failed", qt.Commentf("%d bytes", n))
					})
				}
			})
		}
	}
}

// TestTruncatedHeadLooksWholeOverHTTP2 does the same for callers that use HTTP/2.
func TestTruncatedHeadLooksWholeOverHTTP2(t *testing.T) {
	for _, v := range truncatedReplies {
		for n := range len(v.reply) {
			tb := &testbed{t: t, net: newNetwork()}
			b := tb.rawBackend(truncated(v.reply, n, 0))
			front := tb.newNode(nodeConfig{})
			back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address})
			front.updateServers(back)
			server := httptest.NewUnstartedServer(nil)
			server.Config = forwarder.NewServer(front.Entry())
			server.Start()
			protocols := &http.Protocols{}
			protocols.SetUnencryptedHTTP2(true)
			client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
			r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+"/ledger/lot", strings.NewReader("lot"))
			qt.Assert(t, err, qt.IsNil)
			response, err := client.Do(r)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				qt.Assert(t, response.ProtoMajor, qt.Equals, 2)
				whole := err == nil && response.StatusCode == http.StatusOK
				qt.Assert(t, whole, qt.IsFalse, qt.Commentf("%s, %d bytes", v.name, n))
			}
			client.CloseIdleConnections()
			server.Close()
		}
	}
}
