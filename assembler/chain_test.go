package assembler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/assembler"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/imitator"
	"waxwingseam.example/waxwingseam/logger"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/runner"
)

// chainObjects defines three services with one request class each.
const chainObjects = `
[service front]
slots = 4
connections = 16
[service middle]
slots = 4
connections = 16
[service back]
slots = 4
connections = 16
[retry-limit usual]
allowance = 2
budget-percent = 20
backoff = 10ms
did-not-run-only = true
[wait-limit usual]
wait = 1s
waiting = 16
[request-class orders]
service = front
path = /orders/{id}
importance = 7
repeat = never
deadline = 10s
retry-limit = usual
wait-limit = usual
[request-class middle-lookups]
service = middle
path = /{rest...}
importance = 5
repeat = idempotent
deadline = 10s
retry-limit = usual
wait-limit = usual
[request-class back-lookups]
service = back
path = /{rest...}
importance = 5
repeat = idempotent
deadline = 10s
retry-limit = usual
wait-limit = usual
`

// hop is a stand-in and its node.
type hop struct {
	standIn *imitator.Imitator
	node    *assembler.Node
	self    waxwingseam.Server
	entry   *httptest.Server
}

// newHop starts a stand-in and its node on loopback. They run until ctx is done.
func newHop(ctx context.Context, t *testing.T, service waxwingseam.ServiceName, observers []runner.Observer, children ...imitator.Child) *hop {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	standIn, err := imitator.Listen(ctx, imitator.Config{
		Name:        waxwingseam.ServerName(service + "-1"),
		Service:     service,
		Address:     loopback,
		Slots:       4,
		ServiceTime: time.Millisecond,
		Routes:      []imitator.Route{{Prefix: "/", Children: children}},
	})
	qt.Assert(t, err, qt.IsNil)
	peer, err := messenger.Listen(ctx, messenger.ServerConfig{Address: loopback})
	qt.Assert(t, err, qt.IsNil)
	h := &hop{
		standIn: standIn,
		self: waxwingseam.Server{
			Name:        waxwingseam.ServerName(service + "-1"),
			Service:     service,
			Node:        peer.Address(),
			DataCentre:  "dc-1",
			Incarnation: 1,
		},
	}
	h.node, err = assembler.NewNode(assembler.NodeConfig{
		Self:      h.self,
		Backend:   standIn.Address(),
		Messenger: peer,
		Logger:    logger.New(logger.Config{Writer: io.Discard}),
		Observers: observers,
	})
	qt.Assert(t, err, qt.IsNil)
	h.entry = httptest.NewServer(h.node.Forwarder.Entry())
	t.Cleanup(h.entry.Close)
	outbound := httptest.NewServer(h.node.Forwarder.Outbound())
	t.Cleanup(outbound.Close)
	standIn.SetOutbound(netip.MustParseAddrPort(outbound.Listener.Addr().String()))
	go func() { _ = standIn.Serve(ctx) }()
	go func() { _ = peer.Serve(ctx) }()
	return h
}

// newChain starts three hops whose nodes have the chain's objects and know its
// servers. It calls observe once per hop for the observers of the node.
func newChain(ctx context.Context, t *testing.T, observe func() []runner.Observer) []*hop {
	hops := []*hop{
		newHop(ctx, t, "front", observe(), imitator.Child{Service: "middle", Path: "/a"}),
		newHop(ctx, t, "middle", observe(), imitator.Child{Service: "back", Path: "/b"}),
		newHop(ctx, t, "back", observe()),
	}
	set, findings := checker.Parse(checker.File{Name: "chain.ini", Data: []byte(chainObjects)})
	qt.Assert(t, findings.OrNil(), qt.IsNil)
	set.Revision = 1
	servers := make([]waxwingseam.Server, 0, len(hops))
	for _, h := range hops {
		servers = append(servers, h.self)
	}
	for _, h := range hops {
		h.node.Runner.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.SetAdopted{Stamp: s, Set: set}
		})
		h.node.Runner.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.ServersUpdated{Stamp: s, Servers: servers}
		})
	}
	return hops
}

// TestChainOfThreeHops sends calls through three nodes over loopback. It checks
// that each caller receives its own answer and that each stand-in runs each call
// once.
func TestChainOfThreeHops(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hops := newChain(ctx, t, func() []runner.Observer { return nil })
	const calls = 20
	for n := range calls {
		tag := fmt.Sprintf("tag-%d", n)
		url := hops[n%len(hops)].entry.URL + "/front/orders/" + tag
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		qt.Assert(t, err, qt.IsNil)
		request.Header.Set(imitator.TagHeader, tag)
		response, err := http.DefaultClient.Do(request)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.Body.Close(), qt.IsNil)
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		var answer imitator.Answer
		qt.Assert(t, json.Unmarshal(body, &answer), qt.IsNil)
		qt.Assert(t, answer.Tag, qt.Equals, tag)
	}
	for _, h := range hops {
		qt.Assert(t, h.standIn.Ledger().Runs(), qt.HasLen, calls)
	}
}
