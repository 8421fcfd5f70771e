package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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
		{"many heads of 103 before", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 500) + wholeReply},
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

// invalidHeads returns replies with a head, or with chunks, that break the protocol.
func invalidHeads() []replyCase {
	return []replyCase{
		{"status 000 behind many heads of 103", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 500) + "HTTP/1.1 000 Lot\r\n\r\n" + wholeReply},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + lengthBody},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\n" + lengthBody},
		{"HTTP/0.9", "HTTP/0.9 200 OK\r\n" + lengthBody},
		{"HTTP/1.0 in chunks", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"HTTP/1.0 in chunks, with a length", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + lengthBody},
		{"first field folded", okLine + " More: a\r\n" + lengthBody},
		{"line without a colon", okLine + "More\r\n" + lengthBody},
		{"NUL in a value", okLine + "More: a\x00b\r\n" + lengthBody},
		{"carriage return in a value", okLine + "More: a\rb\r\n" + lengthBody},
		{"two lengths", okLine + "Content-Length: 5\r\n" + lengthBody},
		{"length with a sign", okLine + "Content-Length: +4\r\n\r\nbody"},
		{"list of lengths", okLine + "Content-Length: 4, 4\r\n\r\nbody"},
		{"empty length", okLine + "Content-Length:\r\n\r\nbody"},
		{"other encoding", okLine + "Transfer-Encoding: gzip\r\n\r\nbody"},
		{"chunked twice", okLine + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"chunk size with a sign", okLine + "Transfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n"},
		{"chunk without an end", okLine + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody0\r\n\r\n"},
		{"trailer without a colon", chunkedReply + "Sum\r\n\r\n"},
		{"length with a blank in its name", okLine + "Content-Length : 4\r\n\r\nbody and more"},
		{"encoding with a blank in its name", okLine + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	}
}

// invalidNames returns replies with a field whose name is invalid, in the head, in an informational
// head and in a trailer.
func invalidNames() []replyCase {
	names := []string{"Bad Name", "Bad ", "", "Bad\x01", "Bad\t", "Bad\x00", "Bad\x7f", "Bad\x80", "B(d", "B\rd"}
	out := make([]replyCase, 0, 3*len(names))
	for _, name := range names {
		field := name + ": x\r\n"
		out = append(
			out,
			replyCase{fmt.Sprintf("field %q", name), okLine + field + lengthBody},
			replyCase{fmt.Sprintf("field %q in the head of 103", name), "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n" + wholeReply},
			replyCase{fmt.Sprintf("field %q in a trailer", name), chunkedReply + field + "\r\n"},
		)
	}
	return out
}

// TestMalformedReply guards against replies that break the protocol and that the caller gets as
// an answer.
func TestMalformedReply(t *testing.T) {
	for _, v := range slices.Concat(invalidStatuses(), invalidHeads(), invalidNames()) {
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
