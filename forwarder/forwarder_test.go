package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/runner"
)

// pair returns a node without a backend server, and a ledger node with one.
func (tb *testbed) pair(serve http.HandlerFunc) (*node, *node, *backend) {
	b := tb.newBackend(serve)
	front := tb.newNode(nodeConfig{})
	back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address})
	front.updateServers(back)
	return front, back, b
}

// TestCompleteReplies checks that request bodies and replies of different lengths
// arrive complete, with and without a declared length.
func TestCompleteReplies(t *testing.T) {
	for _, v := range []struct {
		name, method, body string
	}{
		{"empty", http.MethodGet, ""},
		{"empty post", http.MethodPost, ""},
		{"short", http.MethodPost, "lot 7"},
		{"as long as the read-ahead", http.MethodPut, strings.Repeat("a", 64<<10)},
		{"longer than the window", http.MethodPost, strings.Repeat("0123456789", 100_000)},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				front, _, _ := newTestbed(t).pair(echo)
				for _, body := range []io.Reader{strings.NewReader(v.body), io.MultiReader(strings.NewReader(v.body))} {
					got := front.call(request{method: v.method, path: "/ledger/marks/a%2Fb?x=1", name: "x", body: body})
					qt.Assert(t, got.outcome(), qt.Equals, "completed")
					qt.Assert(t, got.body == v.method+" /marks/a%2Fb?x=1 x "+v.body, qt.IsTrue, qt.Commentf("%d bytes, %.200s", len(got.body), got.body))
				}
			})
		})
	}
}

// TestLoopbackSockets checks that long bodies arrive complete over TCP and real
// HTTP servers, with HTTP/1.1 and unencrypted HTTP/2.
func TestLoopbackSockets(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	backend := httptest.NewServer(http.HandlerFunc(echo))
	defer backend.Close()
	server, err := messenger.Listen(ctx, messenger.ServerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	qt.Assert(t, err, qt.IsNil)
	self := waxwingseam.Server{Name: "ledger-1", Service: "ledger", Node: server.Address(), Incarnation: 1}
	r := runner.New(runner.Config{Reducer: newReducer(self)})
	f := forwarder.New(forwarder.Config{
		Step: r.Step, Self: self, Dialer: messenger.Dialer{},
		Backend: netip.MustParseAddrPort(strings.TrimPrefix(backend.URL, "http://")),
	})
	defer f.Close()
	r.Attach(f)
	qt.Assert(t, f.Register(server), qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx)
	}()
	r.Step(func(s waxwingseam.Stamp) waxwingseam.Event { return waxwingseam.SetAdopted{Stamp: s, Set: testSet()} })
	r.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.ServersUpdated{Stamp: s, Servers: []waxwingseam.Server{self}}
	})
	entry := httptest.NewUnstartedServer(nil)
	entry.Config = forwarder.NewServer(f.Entry())
	entry.Start()
	defer entry.Close()
	h2c := &http.Protocols{}
	h2c.SetUnencryptedHTTP2(true)
	for _, transport := range []*http.Transport{{}, {Protocols: h2c}} {
		body := strings.Repeat("0123456789", 100_000)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, entry.URL+"/ledger/marks", strings.NewReader(body))
		qt.Assert(t, err, qt.IsNil)
		res, err := transport.RoundTrip(r)
		qt.Assert(t, err, qt.IsNil)
		got, err := io.ReadAll(res.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(got) == "POST /marks  "+body, qt.IsTrue)
		_ = res.Body.Close()
		transport.CloseIdleConnections()
	}
	cancel()
	<-done
}
