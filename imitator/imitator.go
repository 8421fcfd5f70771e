// Package imitator is a stand-in backend server for tests and demonstrations:
// a small HTTP server with slots, service time, cold start, drain, and health
// and load endpoints that can lag or mislead.
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

// ContextHeader is the header that a backend server echoes on the calls it
// makes for a request.
const ContextHeader = "Waxwingseam-Context"

// headerTimeout bounds the reading of request headers.
const headerTimeout = 5 * time.Second

// Child is a call that the stand-in makes to another service.
type Child struct {
	Service waxwingseam.ServiceName
	// Method is the HTTP method; GET when empty.
	Method string
	// Path is appended to the service's name.
	Path string
}

// Route says which calls the stand-in makes for matching requests.
type Route struct {
	// Prefix is the beginning of the paths that match.
	Prefix   string
	Children []Child
}

// Config describes one stand-in backend server.
type Config struct {
	Name    waxwingseam.ServerName
	Service waxwingseam.ServiceName
	// Address is where it listens; port 0 takes a free one.
	Address netip.AddrPort
	// Outbound is the node's listener for the calls that the server makes.
	Outbound netip.AddrPort
	// Slots is how many requests it works on at once; the others wait inside.
	Slots int
	// Connections is how many connections it takes at once; 0 for no bound.
	Connections int
	// ServiceTime is the mean work of one request, before and after its
	// child calls taken together.
	ServiceTime time.Duration
	// ColdTime is how long after the start it runs at a fifth of its speed.
	ColdTime time.Duration
	// LoadLag is how old its load endpoint's answer may be.
	LoadLag time.Duration
	// Routes name the calls made within each request, in order; the first that
	// matches counts.
	Routes []Route
	// Direct lists other stand-ins that are called without the system between;
	// with it, Outbound is unused.
	Direct []Peer
	// Retries is how often a failed direct call is repeated.
	Retries int
	// Seed starts the random spread of the work.
	Seed uint64
}

// coldFactor slows a cold server.
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
	client   *http.Client

	mu     sync.Mutex
	random *rand.Rand
}

// Listen returns a stand-in that listens and does not serve yet.
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
		slots:    make(chan struct{}, config.Slots),
		started:  time.Now(),
		client:   newClient(config.Slots),
		random:   rand.New(rand.NewPCG(config.Seed, 1)),
	}
	i.server = &http.Server{
		Handler:           i.routes(),
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
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
	return netip.MustParseAddrPort(i.listener.Addr().String())
}

// Ledger returns the list of runs, the truth about what the server did.
func (i *Imitator) Ledger() *Ledger {
	return &i.ledger
}

// SetOutbound sets the node's listener before the first request comes.
func (i *Imitator) SetOutbound(address netip.AddrPort) {
	i.config.Outbound = address
}

// SetDirect sets the other stand-ins before the first request comes.
func (i *Imitator) SetDirect(peers []Peer) {
	i.config.Direct = peers
}

// Serve serves until the context ends.
func (i *Imitator) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = i.server.Close() })
	defer stop()
	err := i.server.Serve(i.listener)
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
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

// serveRequest does one request: the body is read, half of the work done, the
// child calls made, and the other half done.
func (i *Imitator) serveRequest(w http.ResponseWriter, r *http.Request) {
	if i.behavior.failing() {
		http.Error(w, "failed by setting", http.StatusInternalServerError)
		return
	}
	run := i.ledger.begin(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		i.ledger.end(run, RunInterrupted)
		return
	}
	work := i.draw()
	if !i.work(r.Context(), work/2) {
		i.ledger.end(run, RunInterrupted)
		return
	}
	if !i.callChildren(r) {
		i.ledger.end(run, RunFailed)
		http.Error(w, "a call to another service failed", http.StatusBadGateway)
		return
	}
	if !i.work(r.Context(), work/2) {
		i.ledger.end(run, RunInterrupted)
		return
	}
	i.ledger.end(run, RunDone)
	i.answer(w, r, xxhash.Sum64(body))
}

// work occupies a slot for a duration; false when the request ended first.
func (i *Imitator) work(ctx context.Context, d time.Duration) bool {
	select {
	case i.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-i.slots }()
	timer := time.NewTimer(i.slowed(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (i *Imitator) slowed(d time.Duration) time.Duration {
	if time.Since(i.started) < i.config.ColdTime {
		d *= coldFactor
	}
	return time.Duration(float64(d) * i.behavior.slowdown())
}

// draw returns the work of one request, spread evenly by half around the mean.
func (i *Imitator) draw() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Duration(float64(i.config.ServiceTime) * (0.5 + i.random.Float64()))
}
