package operator_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gravitational/trace"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/operator"
)

// newClient returns a client of a replica that sends an answer to each request and ends the
// connection.
func newClient(t *testing.T, answer string, end func(*net.TCPConn)) operator.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		qt.Check(t, err, qt.IsNil)
		_, _ = io.WriteString(conn, answer)
		end(conn.(*net.TCPConn))
	}))
	t.Cleanup(server.Close)
	return operator.New(operator.Config{Address: server.Listener.Addr().String(), Name: "dina"})
}

func closed(c *net.TCPConn) { _ = c.Close() }

const (
	accepted = `{"revision":7}`
	refused  = `{"reason":"bad-request","title":"Bad Request"}`
)

// withLength returns an answer with a length.
func withLength(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// TestBrokenAnswer guards against answers that break the protocol or break off, and that the
// client takes for an acceptance or for a refusal.
func TestBrokenAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(accepted), accepted)
	for _, v := range []struct{ name, answer string }{
		{"status 000", withLength("HTTP/1.1 000 Lot\r\n", refused)},
		{"status 099", withLength("HTTP/1.1 099 Lot\r\n", refused)},
		{"status +20", withLength("HTTP/1.1 +20 Lot\r\n", refused)},
		{"status 204", "HTTP/1.1 204 No Content\r\n\r\n"},
		{"status 302", withLength("HTTP/1.1 302 Found\r\n", refused)},
		{"status 503", withLength("HTTP/1.1 503 Service Unavailable\r\n", refused)},
		{"status 600", withLength("HTTP/1.1 600 Lot\r\n", refused)},
		{"HTTP/2.0", withLength("HTTP/2.0 200 OK\r\n", accepted)},
		{"blank in a name", withLength(ok+"Bad Name: x\r\n", accepted)},
		{"blank behind a name", withLength(ok+"Bad : x\r\n", accepted)},
		{"blank in a name, refused", withLength("HTTP/1.1 400 Bad Request\r\nBad Name: x\r\n", refused)},
		{"blank in a trailer", ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\nBad Name: x\r\n\r\n"},
		{"HTTP/1.0 in chunks", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"},
		{"length with a blank in its name", ok + "Content-Length : 14\r\n\r\n" + accepted},
		{"half of the body", ok + "\r\n" + accepted[:len(accepted)/2]},
		{"no body", ok + "Content-Length: 0\r\n\r\n"},
		{"other JSON", withLength(ok, `["revision"]`)},
		{"cut off", ok + "Content-Length: 99\r\n\r\n" + accepted},
		{"cut off, refused", "HTTP/1.1 400 Bad Request\r\nContent-Length: 99\r\n\r\n" + refused},
	} {
		t.Run(v.name, func(t *testing.T) {
			_, err := newClient(t, v.answer, closed).Submit(t.Context(), administrator.Submission{})
			qt.Assert(t, trace.IsConnectionProblem(err), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestWholeAnswer guards against answers that keep the protocol and that the client does not
// take.
func TestWholeAnswer(t *testing.T) {
	for _, answer := range []string{
		withLength("HTTP/1.1 200 OK\r\n", accepted),
		"HTTP/1.1 200 OK\r\n\r\n" + accepted,
		"HTTP/1.0 200 OK\r\n\r\n" + accepted,
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + withLength("HTTP/1.1 200 OK\r\n", accepted),
	} {
		got, err := newClient(t, answer, closed).Submit(t.Context(), administrator.Submission{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, uint64(got.Revision), qt.Equals, uint64(7))
	}
	_, err := newClient(t, withLength("HTTP/1.1 400 Bad Request\r\n", refused), closed).Submit(t.Context(), administrator.Submission{})
	var r *operator.Refusal
	qt.Assert(t, errors.As(err, &r), qt.IsTrue)
	qt.Assert(t, trace.IsConnectionProblem(err), qt.IsFalse)
}

// TestResetSetLooksWhole guards against a set without a length that is reset, and that the client
// takes as whole.
func TestResetSetLooksWhole(t *testing.T) {
	client := newClient(t, "HTTP/1.1 200 OK\r\n\r\n[service fees]\n", func(c *net.TCPConn) {
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	_, err := client.Format(t.Context(), 0)
	qt.Assert(t, trace.IsConnectionProblem(err), qt.IsTrue, qt.Commentf("%v", err))
}
