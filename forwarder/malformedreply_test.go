package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/forwarder"
)

// The parts of the replies below.
const (
	okLine       = "HTTP/1.1 200 OK\r\n"
	lengthBody   = "Content-Length: 4\r\n\r\nbody"
	chunkedField = "Transfer-Encoding: chunked\r\n"
	chunks       = "\r\n4\r\nbody\r\n0\r\n"
	wholeReply   = okLine + lengthBody
	chunkedReply = okLine + chunkedField + chunks
)

// replyCase is a reply of a backend server.
type replyCase struct{ name, reply string }

// wholeReplies returns replies that keep the protocol; their body is "body".
func wholeReplies() []replyCase {
	return []replyCase{
		{"whole", wholeReply},
		{"lines that end without a carriage return", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody"},
		{"status without a reason", "HTTP/1.1 200\r\n" + lengthBody},
		{"later minor version", "HTTP/1.2 200 OK\r\n" + lengthBody},
		{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n" + lengthBody},
		{"folded field", okLine + "More: a\r\n b\r\n" + lengthBody},
		{"same length twice", okLine + "Content-Length: 4\r\n" + lengthBody},
		{"trailer", chunkedReply + "Sum: 7\r\n\r\n"},
		{"folded trailer", chunkedReply + "Sum: 7\r\n 8\r\n\r\n"},
		{"head of 100 before", "HTTP/1.1 100 Continue\r\n\r\n" + wholeReply},
		{"heads of 102 and 103 before", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + wholeReply},
		{"status 600", "HTTP/1.1 600 Lot\r\n" + lengthBody},
		{"status 999", "HTTP/1.1 999 Lot\r\n" + lengthBody},
	}
}

// invalidStatuses returns replies with an invalid status code, with a valid reply behind it or as
// its body.
func invalidStatuses() []replyCase {
	statuses := []string{"000", "001", "099", "+20", "-20", "20", "2000", "20a", "0x1"}
	out := make([]replyCase, 0, 3+len(statuses))
	for _, status := range statuses {
		out = append(out, replyCase{"status " + status, "HTTP/1.1 " + status + " Lot\r\n\r\n" + wholeReply})
	}
	return append(
		out,
		replyCase{"status 000 whose body is a head", "HTTP/1.1 000 Lot\r\nContent-Length: 42\r\n\r\n" + wholeReply},
		replyCase{"status 000 with a body", "HTTP/1.1 000 Lot\r\n" + lengthBody},
		replyCase{"status +99 with a body", "HTTP/1.1 +99 Lot\r\n" + lengthBody},
	)
}

// TestMalformedReply guards against replies that break the protocol and that the caller gets as
// an answer.
func TestMalformedReply(t *testing.T) {
	for _, v := range invalidStatuses() {
		testReply(t, v, "may-have-run:server-failed")
	}
}

// TestWholeReply guards against replies that keep the protocol and that the caller does not get.
func TestWholeReply(t *testing.T) {
	for _, v := range wholeReplies() {
		testReply(t, v, "completed")
	}
}

// testReply makes calls, with and without a key, at the node of the backend server and at another
// one.
func testReply(t *testing.T, v replyCase, want string) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(v.name+", "+method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t)
				b := tb.rawBackend(func(c net.Conn) {
					in := bufio.NewReader(c)
					for r, err := http.ReadRequest(in); err == nil; r, err = http.ReadRequest(in) {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(c, v.reply)
					}
				})
				front := tb.newNode(nodeConfig{})
				back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address})
				front.updateServers(back)
				back.updateServers(back)
				for n, at := range []*node{front, back} {
					for _, key := range []string{"", fmt.Sprint("lot-", n)} {
						r := request{method: method, key: key, header: map[string]string{forwarder.HeaderTimeout: "5"}}
						if method == http.MethodPost {
							r.body = strings.NewReader("lot")
						}
						got := at.call(r)
						qt.Check(t, got.outcome(), qt.Equals, want)
						if want == "completed" {
							qt.Check(t, got.body, qt.Equals, "body")
						}
					}
				}
			})
		})
	}
}

// TestReplyWithoutBody checks that the head of a reply that has no body is not followed by one.
func TestReplyWithoutBody(t *testing.T) {
	for _, v := range []struct{ method, reply string }{
		{http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"},
	} {
		synctest.Test(t, func(t *testing.T) {
			tb := newTestbed(t)
			s := &badServer{head: v.reply}
			b := tb.rawBackend(s.serve)
			front := tb.newNode(nodeConfig{})
			back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address})
			front.updateServers(back)
			got := front.call(request{method: v.method, name: "x", header: map[string]string{forwarder.HeaderTimeout: "5"}})
			qt.Check(t, got.outcome(), qt.Equals, "completed", qt.Commentf("%q", v.reply))
			qt.Check(t, got.body, qt.Equals, "")
		})
	}
}
