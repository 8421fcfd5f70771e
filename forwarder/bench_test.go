package forwarder_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/admitter"
	"waxwingseam.example/waxwingseam/balancer"
	"waxwingseam.example/waxwingseam/classifier"
	"waxwingseam.example/waxwingseam/deduplicator"
	"waxwingseam.example/waxwingseam/dispatcher"
	"waxwingseam.example/waxwingseam/drainer"
	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/limiter"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/receiver"
	"waxwingseam.example/waxwingseam/reducer"
	"waxwingseam.example/waxwingseam/retrier"
	"waxwingseam.example/waxwingseam/runner"
	"waxwingseam.example/waxwingseam/tracker"
)

// testSet is the configuration of all tests: fees may be repeated, ledger not.
func testSet() *waxwingseam.Set {
	set := &waxwingseam.Set{
		Revision:    1,
		RetryLimits: []waxwingseam.RetryLimit{{Name: "retries", Allowance: 3, BudgetPercent: 100}},
		WaitLimits:  []waxwingseam.WaitLimit{{Name: "waits", Wait: time.Second, Waiting: 100}},
	}
	for name, repeat := range map[waxwingseam.ServiceName]waxwingseam.Repeat{
		"ledger": waxwingseam.RepeatNever,
		"fees":   waxwingseam.RepeatIdempotent,
	} {
		set.Services = append(set.Services, waxwingseam.Service{Name: name, Slots: 50, Connections: 50})
		set.RequestClasses = append(set.RequestClasses, waxwingseam.RequestClass{
			Name: waxwingseam.ClassName(name), Service: name, Path: "/{rest...}", Importance: 5,
			Repeat: repeat, Deadline: 20 * time.Second, RetryLimit: "retries", WaitLimit: "waits",
		})
	}
	return set
}

// backend is a backend server that keeps the list of its runs.
type backend struct {
	*httptest.Server
	mu   sync.Mutex
	runs []string
}

// newBackend starts a backend server; serve answers after the run is listed
// under its request's Name header.
func newBackend(t testing.TB, serve http.HandlerFunc) *backend {
	b := &backend{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.runs = append(b.runs, r.Header.Get("Name"))
		b.mu.Unlock()
		serve(w, r)
	}))
	t.Cleanup(b.Close)
	return b
}

// ran returns how often the request of a name was run.
func (b *backend) ran(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, v := range b.runs {
		if v == name {
			n++
		}
	}
	return n
}

// node is one whole process, on loopback.
type node struct {
	*forwarder.Forwarder
	self     waxwingseam.Server
	step     func(func(waxwingseam.Stamp) waxwingseam.Event)
	entry    *httptest.Server
	outbound *httptest.Server
	stop     context.CancelFunc
}

type nodeConfig struct {
	service     waxwingseam.ServiceName
	name        waxwingseam.ServerName
	backend     *backend
	incarnation waxwingseam.Incarnation
	address     netip.AddrPort
	observers   []runner.Observer
}

// loopback is a free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func newNode(t testing.TB, config nodeConfig) *node {
	if !config.address.IsValid() {
		config.address = loopback
	}
	ctx, cancel := context.WithCancel(context.Background())
	server, err := messenger.Listen(ctx, messenger.ServerConfig{Address: config.address})
	qt.Assert(t, err, qt.IsNil)
	n := &node{stop: cancel, self: waxwingseam.Server{
		Name: config.name, Service: config.service, Node: server.Address(),
		Incarnation: max(config.incarnation, 1),
	}}
	r := runner.New(runner.Config{Reducer: newReducer(n.self), Seed: 1, Observers: config.observers})
	n.step = r.Step
	fc := forwarder.Config{Step: r.Step, Self: n.self, Logger: slog.New(slog.DiscardHandler)}
	if config.backend != nil {
		fc.Backend = addressOf(config.backend.Server)
	}
	n.Forwarder = forwarder.New(fc)
	r.Attach(n.Forwarder)
	qt.Assert(t, n.Register(server), qt.IsNil)
	n.entry = httptest.NewServer(n.Entry())
	n.outbound = httptest.NewServer(n.Outbound())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx)
	}()
	t.Cleanup(func() {
		n.entry.CloseClientConnections()
		n.entry.Close()
		n.outbound.Close()
		n.Forwarder.Close()
		cancel()
		<-done
	})
	n.step(func(s waxwingseam.Stamp) waxwingseam.Event { return waxwingseam.SetAdopted{Stamp: s, Set: testSet()} })
	return n
}

// learn tells a node of others.
func (n *node) learn(others ...*node) {
	n.step(func(s waxwingseam.Stamp) waxwingseam.Event {
		e := waxwingseam.ServersLearned{Stamp: s}
		for _, o := range others {
			e.Servers = append(e.Servers, o.self)
		}
		return e
	})
}

// newReducer assembles the workers of a node.
func newReducer(self waxwingseam.Server) waxwingseam.Reducer {
	retries := retrier.New(retrier.Config{})
	runs := tracker.New(tracker.Config{Splitter: retries})
	return reducer.New(reducer.Config{Self: self, Workers: []waxwingseam.Prioritized{
		{Priority: receiver.Priority, Worker: receiver.New(receiver.Config{
			Admitter:     admitter.New(admitter.Config{Limiter: limiter.NewFixed()}),
			Deduplicator: deduplicator.New(deduplicator.Config{}),
			Drainer:      drainer.New(),
			Tracker:      runs,
		})},
		{Priority: 2 * receiver.Priority, Worker: dispatcher.New(dispatcher.Config{
			Classifier: classifier.New(),
			Balancer:   balancer.New(balancer.Config{Self: self.Name}),
			Retrier:    retries,
			Tracker:    runs,
		})},
	}})
}

// answer is what a caller got.
type answer struct {
	status  int
	header  http.Header
	body    string
	err     error
	problem forwarder.Problem
}

// request is one call of a test.
type request struct {
	method, path, name, key string
	body                    io.Reader
	header                  map[string]string
}

// call makes a call through a node and reads the whole answer.
func (n *node) call(r request) answer {
	return callURL(n.entry.URL, r)
}

func callURL(url string, r request) answer {
	if r.method == "" {
		r.method = http.MethodPost
	}
	hr, err := http.NewRequestWithContext(context.Background(), r.method, url+r.path, r.body)
	if err != nil {
		return answer{err: err}
	}
	hr.Header.Set("Name", r.name)
	if r.key != "" {
		hr.Header.Set(forwarder.HeaderKey, r.key)
	}
	for k, v := range r.header {
		hr.Header.Set(k, v)
	}
	res, err := http.DefaultTransport.RoundTrip(hr)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	a := answer{status: res.StatusCode, header: res.Header, body: string(body), err: err}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "application/problem+json") {
		_ = json.Unmarshal(body, &a.problem)
	}
	return a
}

// said is the outcome, and the reason where the system answered itself.
func (a answer) said() string {
	if a.err != nil {
		return "broken"
	}
	return strings.TrimSuffix(a.header.Get(forwarder.HeaderOutcome)+":"+a.problem.Reason, ":")
}

// echo answers with the request's body, the method, path and name before it.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("Name")+" ")
	_, _ = w.Write(body)
}
