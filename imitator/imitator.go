// Package imitator provides a stand-in backend server for tests and
// demonstrations. It is an HTTP server with slots, service time, cold start, drain,
// and health and load endpoints that can report wrong or outdated values.
package imitator

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"

	"waxwingseam.example/waxwingseam"
)

// ContextHeader is the header that a backend server copies from a request to the
// calls that it makes for the request.
const ContextHeader = "Waxwingseam-Context"

// AccountHeader is the header in which a node names the client account of a request.
const AccountHeader = "Waxwingseam-Account"

// headerTimeout is the timeout for reading the headers of a request.
const headerTimeout = 5 * time.Second

// Child is a call that the stand-in makes to another service.
type Child struct {
	Service waxwingseam.ServiceName
	// Method is the HTTP method; GET when empty.
	Method string
	// Path is the path at the service. In a call through the node, the service name
	// is put before the path.
	Path string
}

// Route lists the child calls that the stand-in makes for matching requests.
type Route struct {
	// Prefix is compared with the beginning of the request's path.
	Prefix   string
	Children []Child
}

// Config describes one stand-in backend server.
type Config struct {
	Name    waxwingseam.ServerName
	Service waxwingseam.ServiceName
	// Address is the address to listen on; port 0 selects a free port.
	Address netip.AddrPort
	// Outbound is the node's listener for the calls that the server makes.
	Outbound netip.AddrPort
	// Slots is the number of requests worked on at once; it must be positive. Further
	// requests wait inside the stand-in. A request occupies no slot during its child
	// calls.
	Slots int
	// Connections is the maximum number of open connections; 0 means no limit.
	Connections int
	// ServiceTime is the mean service time of one request, without its child calls.
	// Half of it passes before them and half after them.
	ServiceTime time.Duration
	// ColdTime is the time after the start during which the stand-in runs at a
	// fifth of its speed.
	ColdTime time.Duration
	// LoadLag is the maximum age of the report of the load endpoint.
	LoadLag time.Duration
	// Routes lists the child calls of requests. The first route that matches a
	// request applies.
	Routes []Route
	// Direct lists the other stand-ins if child calls go to them directly instead
	// of through the node; Outbound is then unused.
	Direct []Peer
	// Retries is the maximum number of retries of a direct call.
	Retries int
	// EndText, unless it is empty, is a text in the path or body of requests that end the
	// stand-in: EndDelay after the arrival of such a request it resets all connections
	// and stops listening, for DownTime.
	EndText  string
	EndDelay time.Duration
	DownTime time.Duration
	// OnEnd, unless it is nil, is called when the stand-in ends, with the time for which it
	// will not listen.
	OnEnd func(downTime time.Duration)
	// Seed is the seed of the random service times and of the random choice among
	// direct peers.
	Seed uint64
}

// coldFactor multiplies the service times during ColdTime.
const coldFactor = 5

// Imitator is a running stand-in.
type Imitator struct {
	config   Config
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	started  time.Time
	ledger   Ledger
	behavior behavior
	ending   ending
	// address is kept over restarts.
	address netip.AddrPort
	client  *http.Client

	mu     sync.Mutex
	random *rand.Rand
}

// Listen returns a stand-in that listens on its address. It serves no requests
// until Serve is called.
func Listen(ctx context.Context, config Config) (*Imitator, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", config.Address.String())
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if config.Connections > 0 {
		listener = netutil.LimitListener(listener, config.Connections)
	}
	i := &Imitator{
		config:   config,
		listener: listener,
		address:  netip.MustParseAddrPort(listener.Addr().String()),
		slots:    make(chan struct{}, config.Slots),
		started:  time.Now(),
		client:   newClient(config.Slots),
		random:   rand.New(rand.NewPCG(config.Seed, 1)),
	}
	i.server = &http.Server{
		Handler:           i.routes(),
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
		ConnState:         i.ending.track,
	}
	return i, nil
}

func newClient(slots int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: slots},
	}
}

// Address returns the address that the stand-in listens on.
func (i *Imitator) Address() netip.AddrPort {
	return i.address
}

// Ledger returns the ledger of the stand-in's runs.
func (i *Imitator) Ledger() *Ledger {
	return &i.ledger
}

// SetOutbound sets the address of the node's outbound listener. It must be called
// before the first request.
func (i *Imitator) SetOutbound(address netip.AddrPort) {
	i.config.Outbound = address
}

// SetDirect sets the stand-ins to call directly. It must be called before the
// first request.
func (i *Imitator) SetDirect(peers []Peer) {
	i.config.Direct = peers
}

// Serve serves requests until the context is cancelled, and then returns nil.
func (i *Imitator) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = i.server.Close() })
	defer stop()
	for {
		err := i.server.Serve(i.listener)
		restarted := i.awaitRestart(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if !restarted {
			return trace.Wrap(err)
		}
	}
}

func (i *Imitator) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/health", i.serveHealth)
	r.Get("/load", i.serveLoad)
	r.Post("/drain", i.serveDrain)
	r.NotFound(i.serveRequest)
	r.MethodNotAllowed(i.serveRequest)
	return r
}

// serveRequest processes one request: it reads the body, works for half of the
// service time, makes the child calls, and works for the other half.
func (i *Imitator) serveRequest(w http.ResponseWriter, r *http.Request) {
	if i.behavior.failing() {
		i.behavior.setStatementFields(w.Header())
		http.Error(w, "failed by setting", http.StatusInternalServerError)
		return
	}
	if i.behavior.isBreaking() {
		i.breakAnswer(w, r)
		return
	}
	run := i.ledger.begin(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		i.ledger.end(run, RunInterrupted)
		return
	}
	if i.endedBy(r, body) {
		i.ledger.end(run, RunInterrupted)
		return
	}
	serviceTime := i.drawServiceTime()
	if !i.work(r.Context(), serviceTime/2) {
		i.ledger.end(run, RunInterrupted)
		return
	}
	if !i.callChildren(r) {
		i.ledger.end(run, RunFailed)
		i.behavior.setStatementFields(w.Header())
		http.Error(w, "a call to another service failed", http.StatusBadGateway)
		return
	}
	if !i.work(r.Context(), serviceTime/2) {
		i.ledger.end(run, RunInterrupted)
		return
	}
	i.ledger.end(run, RunDone)
	i.writeAnswer(w, r, xxhash.Sum64(body))
}

// work occupies a slot for the given time, which is longer while the stand-in is
// cold or slowed down. It reports whether the work was completed before the context
// was cancelled.
func (i *Imitator) work(ctx context.Context, d time.Duration) bool {
	select {
	case i.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-i.slots }()
	timer := time.NewTimer(i.actualDuration(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// actualDuration returns the time that work of the given duration takes with the
// current cold start and slowdown.
func (i *Imitator) actualDuration(d time.Duration) time.Duration {
	if time.Since(i.started) < i.config.ColdTime {
		d *= coldFactor
	}
	return time.Duration(float64(d) * i.behavior.slowdown())
}

// drawServiceTime returns a random service time for one request, distributed
// uniformly between half and one and a half times the mean.
func (i *Imitator) drawServiceTime() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Duration(float64(i.config.ServiceTime) * (0.5 + i.random.Float64()))
}
