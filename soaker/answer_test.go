package soaker

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// answering starts a server that sends an answer to each request and closes the connection.
func answering(t *testing.T, answer string) netip.AddrPort {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		qt.Check(t, err, qt.IsNil)
		_, _ = io.WriteString(conn, answer)
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// TestCallersNoticeBrokenAnswers guards against answers that break the protocol, or are the part
// of one, and that the callers of a soak take for proper ones.
func TestCallersNoticeBrokenAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const answer = `{"server":"desk-1","tag":"a","body-digest":17241709254077376921}`
	for _, v := range []struct {
		name, answer string
		// guarantee is the one that is broken; empty if none is.
		guarantee string
		served    bool
	}{
		{"whole", ok + "Content-Length: 64\r\n\r\n" + answer, "", true},
		{"whole problem", "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/problem+json\r\n\r\n{}", "", false},
		{"no answer", "", "", false},
		{"cut off", ok + "Content-Length: 99\r\n\r\n" + answer, "", false},
		{"half of the body", ok + "\r\n" + answer[:30], "own-bytes", true},
		{"half of a problem", "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/problem+json\r\n\r\n{\"reason\":", "answers-keep-protocol", false},
		{"status 000", "HTTP/1.1 000 Lot\r\nContent-Length: 0\r\n\r\n", "answers-keep-protocol", false},
		{"status 0000", "HTTP/1.1 0000 Lot\r\n\r\n", "answers-keep-protocol", false},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 64\r\n\r\n" + answer, "answers-keep-protocol", false},
		{"blank in a name", ok + "Bad Name: x\r\nContent-Length: 64\r\n\r\n" + answer, "answers-keep-protocol", false},
		{"control byte in a name", ok + "Bad\x01: x\r\nContent-Length: 64\r\n\r\n" + answer, "answers-keep-protocol", false},
		{"blank in a trailer", ok + "Transfer-Encoding: chunked\r\n\r\n40\r\n" + answer + "\r\n0\r\nBad Name: x\r\n\r\n", "answers-keep-protocol", false},
		{"no chunks", ok + "Transfer-Encoding: chunked\r\n\r\nlot\r\n", "answers-keep-protocol", false},
	} {
		t.Run(v.name, func(t *testing.T) {
			h := &host{process: &process{}, entryAddress: answering(t, v.answer)}
			r := &request{tag: "a", host: h}
			client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
			r.send(client, nil)
			broken := ""
			for _, g := range guarantees() {
				if (g.name == "own-bytes" || g.name == "answers-keep-protocol") && len(g.check(evidence{requests: []*request{r}})) > 0 {
					broken += g.name
				}
			}
			qt.Check(t, broken, qt.Equals, v.guarantee, qt.Commentf("%v", r.err))
			failure := send(client, http.MethodGet, "http://"+h.entryAddress.String()+"/", nil)
			qt.Check(t, failure == "", qt.Equals, v.served, qt.Commentf("%s", failure))
		})
	}
}
