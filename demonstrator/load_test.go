package demonstrator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBrokenAnswerSucceeds guards against answers that break the protocol and that the load takes
// for a success.
func TestBrokenAnswerSucceeds(t *testing.T) {
	for _, v := range []struct{ answer, want string }{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "status 200"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", "answer cut off"},
		{"HTTP/1.1 000 Lot\r\nContent-Length: 2\r\n\r\nok", "answer broken: the status is malformed"},
		{"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "answer broken: the version of the protocol is not supported"},
		{"HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nok", "answer broken: a header name is malformed"},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			qt.Check(t, err, qt.IsNil)
			_, _ = io.WriteString(conn, v.answer)
			_ = conn.Close()
		}))
		l := &load{}
		p := &preparedRequest{client: &http.Client{Transport: &http.Transport{}}, request: Request{Method: http.MethodGet, TryTimeout: time.Minute}}
		succeeded := l.try(t.Context(), p, netip.MustParseAddrPort(server.Listener.Addr().String()))
		qt.Check(t, p.lastResult, qt.Equals, v.want)
		qt.Check(t, succeeded, qt.Equals, v.want == "status 200")
		qt.Check(t, len(l.answers) > 0, qt.Equals, succeeded)
		server.Close()
	}
}
