package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBrokenRouteAnswer guards against answers of a node that break the protocol, or are the part
// of one, and that are printed as a route.
func TestBrokenRouteAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const whole = `{"service":"fees"}`
	for _, v := range []struct {
		name, answer string
		taken        bool
	}{
		{"whole", ok + "Content-Length: 18\r\n\r\n" + whole, true},
		{"ends with its connection", ok + "\r\n" + whole, true},
		{"part", ok + "\r\n" + whole[:9], false},
		{"status 000", "HTTP/1.1 000 Lot\r\nContent-Length: 18\r\n\r\n" + whole, false},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 18\r\n\r\n" + whole, false},
		{"length with a blank in its name", ok + "Content-Length : 18\r\n\r\n" + whole + " and more", false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			qt.Check(t, err, qt.IsNil)
			_, _ = io.WriteString(conn, v.answer)
			_ = conn.Close()
		}))
		c := routeCommand{Telemetry: netip.MustParseAddrPort(server.Listener.Addr().String()), Method: "GET", Path: "/"}
		_, err := c.ask(t.Context())
		qt.Check(t, err == nil, qt.Equals, v.taken, qt.Commentf("%s: %v", v.name, err))
		server.Close()
	}
}
