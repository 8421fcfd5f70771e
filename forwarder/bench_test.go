package forwarder_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/admitter"
	"waxwingseam.example/waxwingseam/arbiter"
	"waxwingseam.example/waxwingseam/auditor"
	"waxwingseam.example/waxwingseam/balancer"
	"waxwingseam.example/waxwingseam/charger"
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

// testSet returns the configuration of all tests; only fees may be repeated.
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
	set.Services = append(set.Services, waxwingseam.Service{Name: "photos", Slots: 1, Connections: 1})
	return set
}

// testbed runs the processes of one test on a fake network.
type testbed struct {
	t   testing.TB
	net *network
	// maxBody is the longest request body; 0 for the default.
	maxBody int64
	// budgetBound is the bound of the memory of each node; 0 for the default.
	budgetBound int64
}

// newTestbed returns a testbed whose cleanup lets goroutines end.
func newTestbed(t testing.TB) *testbed {
	t.Cleanup(func() { time.Sleep(time.Minute) })
	return &testbed{t: t, net: newNetwork()}
}

// backend is a backend server that records its runs.
type backend struct {
	address netip.AddrPort
	mu      sync.Mutex
	runs    []string
	// auditRuns are the runs as input of the auditor.
	auditRuns []auditor.Run
}

// newBackend starts a backend server. It records each run with the Name header
// of its request, and then calls serve.
func (tb *testbed) newBackend(serve http.HandlerFunc) *backend {
	b := &backend{}
	l := newFakeListener()
	b.address = tb.net.reserve()
	tb.net.listen(b.address, l.serve)
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.runs = append(b.runs, r.Header.Get("Name"))
		n := len(b.auditRuns)
		id, _ := waxwingseam.ParseCallID(r.Header.Get(forwarder.HeaderContext))
		b.auditRuns = append(b.auditRuns, auditor.Run{Call: id, Began: time.Now()})
		b.mu.Unlock()
		serve(rw, r)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.auditRuns[n].Interrupted = r.Context().Err() != nil
	})}
	go func() { _ = server.Serve(l) }()
	tb.t.Cleanup(func() {
		tb.net.kill(b.address)
		_ = server.Close()
	})
	return b
}

// runsOfX returns how often the request with the name x was run.
func (b *backend) runsOfX() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, v := range b.runs {
		if v == "x" {
			n++
		}
	}
	return n
}

// node is one process with a reducer and a forwarder.
type node struct {
	*forwarder.Forwarder
	testbed *testbed
	budget  *charger.Budget
	self    waxwingseam.Server
	step    func(func(waxwingseam.Stamp) waxwingseam.Event)
	stop    context.CancelFunc
}

type nodeConfig struct {
	service     waxwingseam.ServiceName
	name        waxwingseam.ServerName
	backend     netip.AddrPort
	incarnation waxwingseam.Incarnation
	address     netip.AddrPort
	observers   []runner.Observer
	// protocol is the backend server's; nil for the project's own.
	protocol waxwingseam.BackendProtocol
	// backendDialer is nil for the fake network.
	backendDialer forwarder.BackendDialer
}

// registry adapts a drpc mux to forwarder.Registry.
type registry struct{ *drpcmux.Mux }

func (r registry) Register(implementation any, d messenger.Description) error {
	return r.Mux.Register(implementation, d)
}

func (tb *testbed) newNode(config nodeConfig) *node {
	ctx, cancel := context.WithCancel(context.Background())
	mux := drpcmux.New()
	if !config.address.IsValid() {
		config.address = tb.net.reserve()
	}
	n := &node{stop: cancel, testbed: tb, budget: charger.New(tb.budgetBound), self: waxwingseam.Server{
		Name: config.name, Service: config.service, Node: config.address,
		Incarnation: max(config.incarnation, 1),
	}}
	r := runner.New(runner.Config{Reducer: newReducer(n.self), Seed: 1, Observers: config.observers})
	n.step = r.Step
	if config.backendDialer == nil {
		config.backendDialer = tb.net
	}
	n.Forwarder = forwarder.New(forwarder.Config{
		Step: r.Step, Self: n.self, Dialer: tb.net, Backend: config.backend, BackendDialer: config.backendDialer, Arbitrated: true, MaxBody: tb.maxBody, Budget: n.budget,
		BackendServer: config.protocol,
	})
	r.Attach(n.Forwarder)
	qt.Assert(tb.t, n.Register(registry{mux}), qt.IsNil)
	tb.net.listen(config.address, func(c net.Conn) {
		_ = drpcserver.New(mux).ServeOne(ctx, c)
	})
	tb.t.Cleanup(n.kill)
	n.step(func(s waxwingseam.Stamp) waxwingseam.Event { return waxwingseam.SetAdopted{Stamp: s, Set: testSet()} })
	return n
}

// kill ends the process at once.
func (n *node) kill() {
	n.testbed.net.kill(n.self.Node)
	n.stop()
	n.Close()
}

// updateServers tells the node that other nodes were announced.
func (n *node) updateServers(others ...*node) {
	n.step(func(s waxwingseam.Stamp) waxwingseam.Event {
		e := waxwingseam.ServersUpdated{Stamp: s}
		for _, o := range others {
			e.Servers = append(e.Servers, o.self)
		}
		return e
	})
}

// drain starts or undoes a drain of the node's backend server.
func (n *node) drain(undo bool) {
	n.step(func(s waxwingseam.Stamp) waxwingseam.Event { return waxwingseam.DrainAsked{Stamp: s, Undo: undo} })
}

// newReducer assembles the workers of a node.
func newReducer(self waxwingseam.Server) waxwingseam.Reducer {
	retries := retrier.New(retrier.Config{})
	runs := tracker.New(tracker.Config{})
	records := deduplicator.New(deduplicator.Config{})
	router := arbiter.NewRouter()
	return reducer.New(reducer.Config{Self: self, Workers: []waxwingseam.PrioritizedWorker{
		{Priority: arbiter.RouterPriority, Worker: router},
		{Priority: arbiter.Priority, Worker: arbiter.New(arbiter.Config{Deduplicator: records})},
		{Priority: receiver.Priority, Worker: receiver.New(receiver.Config{
			Admitter:     admitter.New(admitter.Config{Limiter: limiter.NewFixed()}),
			Deduplicator: records,
			Drainer:      drainer.New(drainer.Config{}),
			Tracker:      runs,
		})},
		{Priority: 2 * receiver.Priority, Worker: dispatcher.New(dispatcher.Config{
			Classifier: classifier.New(),
			Balancer:   balancer.New(balancer.Config{Self: self.Name}),
			Retrier:    retries,
			Tracker:    runs,
			Routers:    []waxwingseam.PrioritizedRouter{{Priority: arbiter.RouterPriority, Router: router}},
		})},
	}})
}

// answer is what a caller received.
type answer struct {
	status  int
	header  http.Header
	body    string
	broken  bool
	problem forwarder.Problem
}

// request is one call of a test.
type request struct {
	method, path, name, key string
	body                    io.Reader
	header                  map[string]string
}

func (r request) build(ctx context.Context) *http.Request {
	if r.method == "" {
		r.method = http.MethodPost
	}
	if r.path == "" {
		r.path = "/ledger/marks"
	}
	hr := httptest.NewRequestWithContext(ctx, r.method, r.path, r.body)
	hr.Header.Set("Name", r.name)
	if r.key != "" {
		hr.Header.Set(forwarder.HeaderKey, r.key)
	}
	for k, v := range r.header {
		hr.Header.Set(k, v)
	}
	return hr
}

// call makes a call through a node and waits for the whole answer.
func (n *node) call(r request) answer {
	return n.callWithContext(context.Background(), r)
}

func (n *node) callWithContext(ctx context.Context, r request) answer {
	return n.serve(r.build(ctx))
}

// serve passes one request to the node's entry handler.
func (n *node) serve(r *http.Request) answer {
	return serve(n.Entry(), r)
}

// serve passes one request to a handler.
func serve(h http.Handler, r *http.Request) (a answer) {
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			a.broken = true
		}
		a.status, a.header, a.body = w.Code, w.Header(), w.Body.String()
		if strings.HasPrefix(a.header.Get("Content-Type"), "application/problem+json") {
			_ = json.Unmarshal(w.Body.Bytes(), &a.problem)
		}
	}()
	h.ServeHTTP(w, r)
	return a
}

// outcome returns the outcome, followed by the reason if the answer is a problem.
func (a answer) outcome() string {
	if a.broken {
		return "broken"
	}
	return strings.TrimSuffix(a.header.Get(forwarder.HeaderOutcome)+":"+a.problem.Reason, ":")
}

// echo replies with the request's method, path and name, followed by its body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("Name")+" ")
	_, _ = w.Write(body)
}
