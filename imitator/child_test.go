package imitator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBrokenAnswerToChildCall guards against answers that break the protocol and that a stand-in
// takes for the success of its call.
func TestBrokenAnswerToChildCall(t *testing.T) {
	for _, v := range []struct {
		name, answer string
		succeeds     bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"ends with its connection", "HTTP/1.1 200 OK\r\n\r\nok", true},
		{"cut off", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false},
		{"status 000", "HTTP/1.1 000 Lot\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nok", false},
		{"blank in a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: x\r\n\r\n", false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			qt.Check(t, err, qt.IsNil)
			_, _ = io.WriteString(conn, v.answer)
			_ = conn.Close()
		}))
		i := &Imitator{client: newClient(1)}
		parent := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil)
		got := i.send(t.Context(), parent, Child{}, netip.MustParseAddrPort(server.Listener.Addr().String()), "/")
		qt.Check(t, got, qt.Equals, v.succeeds, qt.Commentf("%s", v.name))
		server.Close()
	}
}
