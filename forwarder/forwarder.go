// Package forwarder transports calls: it accepts them from callers over HTTP,
// sends them to other nodes and to the node's own backend server, and returns
// the replies. It makes no decisions; it reports what happens on connections as
// events and carries out effects.
package forwarder

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcconn"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/charger"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/worker"
)

const (
	// window limits how many bytes of a body are buffered; a request body that
	// fits can be sent again.
	window = 256 << 10
	// peerIdleTimeout is how long a connection to another node may be idle.
	peerIdleTimeout = 2 * time.Second
	// maxIdlePeerConns limits the idle connections to one other node.
	maxIdlePeerConns = 64
	// dialTimeout limits how long opening a connection may take.
	dialTimeout = 500 * time.Millisecond
	// defaultMaxBody is the default of Config.MaxBody.
	defaultMaxBody = 1 << 30
	// defaultConnections is the default of Config.Connections.
	defaultConnections = 400
)

// Dialer opens connections to other nodes.
type Dialer interface {
	// Dial opens one connection, which carries one call at a time.
	Dial(ctx context.Context, address netip.AddrPort) (*drpcconn.Conn, error)
}

// BackendDialer opens connections to the node's own backend server.
type BackendDialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Registry registers the service that other nodes call; messenger.Server
// implements it.
type Registry interface {
	Register(implementation any, d messenger.Description) error
}

// Config configures a forwarder.
type Config struct {
	// Step passes an event to the node's reducer.
	Step   func(build func(waxwingseam.Stamp) waxwingseam.Event)
	Dialer Dialer
	// Backend is the address of the node's backend server; invalid without one.
	Backend netip.AddrPort
	// BackendDialer defaults to a net.Dialer that detects silent connections.
	BackendDialer BackendDialer
	// Connections limits the connections to the backend server; 0 means 400.
	Connections int
	// Self describes the node's backend server; only its incarnation is used, as
	// the initial one.
	Self waxwingseam.Server
	// NewTrace returns the trace of a root whose caller sent none. If it is nil,
	// such a root has no trace.
	NewTrace func(waxwingseam.RootID) waxwingseam.TraceContext
	// BadRequest is called for each request that can't become a call; it may be
	// nil.
	BadRequest func(waxwingseam.Reason)
	// Arbitrated is set if an arbiter decides on calls that have a caller's key
	// and may not be repeated.
	Arbitrated bool
	// Founding asks control whether an incarnation may found the view of its
	// service, which is granted once. If it is nil, this is always granted, and
	// a key may run again after all nodes of a service were lost at once.
	Founding func(ctx context.Context, e waxwingseam.AskFounding) bool
	Logger   *slog.Logger
	// MaxBody limits the length of a request body in bytes; 0 means 1 GiB. BodyLimit
	// returns the limit of the configuration in force, 0 for none; it may be nil.
	MaxBody   int64
	BodyLimit func() int64
	// Budget is charged for what is held for peers; nil for no bound.
	Budget *charger.Budget
	// Callers and BackendServer are the HTTP protocols; they default to the
	// project's own.
	Callers       waxwingseam.CallerProtocol
	BackendServer waxwingseam.BackendProtocol
}

// Forwarder transports the calls of one node.
type Forwarder struct {
	config Config
	gauge  gauge
	// workers carry out attempts and runs.
	workers worker.Pool
	// links carry attempts, and peers the other calls to nodes.
	links   *pool[netip.AddrPort, *link]
	peers   *pool[netip.AddrPort, *drpcconn.Conn]
	backend *backendConns

	// incarnation is the node's current incarnation.
	incarnation atomic.Uint64

	mu             sync.Mutex
	exchanges      map[waxwingseam.CallID]*exchange
	hostedCalls    map[waxwingseam.CallID]*hostedCall
	inbounds       map[attemptKey]*inbound
	fenceAnswers   map[waxwingseam.CallID][]chan waxwingseam.AnswerFence
	witnessAnswers map[uint64]chan waxwingseam.WitnessAnswer
	lastWitnessAsk uint64
	statements     statementFilter
	// entryClosed is set once calls from outside are refused.
	entryClosed atomic.Bool
	// receiveFirst is set once bodies that fit into a buffer are received before their calls
	// are reported.
	receiveFirst atomic.Bool
	// watched holds the hashes of the watched heads; see waxwingseam.WatchRequests.
	watched atomic.Pointer[map[uint64]struct{}]
	// keysRequired is that of the last RequireKeys.
	keysRequired atomic.Bool
	// arrivals counts the attempts that other nodes have sent.
	arrivals atomic.Uint64
	// pendingWitnessAsks counts the unanswered messages to witnesses.
	pendingWitnessAsks atomic.Int64
}

// New returns a forwarder without calls.
func New(config Config) *Forwarder {
	if config.MaxBody == 0 {
		config.MaxBody = defaultMaxBody
	}
	if config.Connections == 0 {
		config.Connections = defaultConnections
	}
	if config.BackendDialer == nil {
		config.BackendDialer = newBackendDialer()
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	if config.Callers == nil {
		config.Callers = nativeCallers{}
	}
	if config.BackendServer == nil {
		config.BackendServer = nativeBackend{}
	}
	f := &Forwarder{
		config: config,
		links:  newPool[netip.AddrPort](peerIdleTimeout, maxIdlePeerConns, (*link).close),
		peers: newPool[netip.AddrPort](peerIdleTimeout, maxIdlePeerConns, func(c *drpcconn.Conn) {
			go func() { _ = c.Close() }()
		}),
		workers:        worker.NewPool(),
		backend:        newBackendConns(config),
		exchanges:      map[waxwingseam.CallID]*exchange{},
		hostedCalls:    map[waxwingseam.CallID]*hostedCall{},
		inbounds:       map[attemptKey]*inbound{},
		fenceAnswers:   map[waxwingseam.CallID][]chan waxwingseam.AnswerFence{},
		witnessAnswers: map[uint64]chan waxwingseam.WitnessAnswer{},
	}
	f.gauge.budget = config.Budget
	f.SetIncarnation(config.Self.Incarnation)
	return f
}

// Close cancels the active runs and closes the idle connections.
func (f *Forwarder) Close() {
	f.mu.Lock()
	running := slices.Collect(maps.Values(f.hostedCalls))
	f.mu.Unlock()
	for _, h := range running {
		h.stop()
	}
	f.links.shutDown()
	f.peers.shutDown()
	f.backend.closeIdle()
}

// MatchRequest returns the parts of a caller's request by which its class is found.
func (f *Forwarder) MatchRequest(r *http.Request) waxwingseam.Request {
	return f.config.Callers.MatchRequest(r)
}

// ReceiveFirst makes the forwarder report the arrival of a call only once its body has ended or
// is longer than a buffer. Before, a call is sent while its body is received, unless that is
// short.
func (f *Forwarder) ReceiveFirst() {
	f.receiveFirst.Store(true)
}

// CloseEntry makes the forwarder refuse calls from outside. Calls of the node's
// own backend server are still accepted.
func (f *Forwarder) CloseEntry() {
	f.entryClosed.Store(true)
}

// BufferedBytes returns how many body bytes the forwarder buffers, and the
// highest number so far.
func (f *Forwarder) BufferedBytes() (now, peak int64) {
	return f.gauge.held.Load(), f.gauge.peak.Load()
}

// ActiveCalls returns how many calls the forwarder is sending, including messages
// to witnesses, and how many it runs at its own backend server, including those
// whose replies are still being sent. A node may leave once both are 0.
func (f *Forwarder) ActiveCalls() (sending, running int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hostedCalls {
		if h.busy() {
			running++
		}
	}
	return len(f.exchanges) + int(f.pendingWitnessAsks.Load()), max(running, len(f.inbounds))
}

// Arrivals returns how many attempts other nodes have sent to this one.
func (f *Forwarder) Arrivals() uint64 {
	return f.arrivals.Load()
}

// Kinds lists the kinds of effects that the forwarder carries out.
func (f *Forwarder) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{
		waxwingseam.KindDispatch,
		waxwingseam.KindReply,
		waxwingseam.KindCancelAttempt,
		waxwingseam.KindFence,
		waxwingseam.KindResume,
		waxwingseam.KindRun,
		waxwingseam.KindCancelRun,
		waxwingseam.KindAnswerAttempt,
		waxwingseam.KindJoinRun,
		waxwingseam.KindAnswerFence,
		waxwingseam.KindForgetRun,
		waxwingseam.KindDecideKey,
		waxwingseam.KindAskWitness,
		waxwingseam.KindAnswerWitness,
		waxwingseam.KindAskFounding,
		waxwingseam.KindProbeBackend,
		waxwingseam.KindSendEnds,
		waxwingseam.KindSendAccountMessage,
		waxwingseam.KindWatchRequests,
		waxwingseam.KindRequireKeys,
	}
}

// Execute carries out one effect. Work that may block runs in a goroutine.
func (f *Forwarder) Execute(e waxwingseam.Effect) {
	switch v := e.(type) {
	case waxwingseam.Dispatch:
		f.dispatch(v)
	case waxwingseam.Reply:
		f.reply(v)
	case waxwingseam.CancelAttempt:
		f.cancelAttempt(v)
	case waxwingseam.Fence:
		go f.fence(v)
	case waxwingseam.Resume:
		f.resume(v)
	default:
		f.executeReceiving(e)
	}
}

// executeReceiving carries out an effect at the receiving node.
func (f *Forwarder) executeReceiving(e waxwingseam.Effect) {
	switch v := e.(type) {
	case waxwingseam.Run:
		f.run(v)
	case waxwingseam.CancelRun:
		f.cancelRun(v)
	case waxwingseam.AnswerAttempt:
		f.answerAttempt(v)
	case waxwingseam.JoinRun:
		f.joinRun(v)
	case waxwingseam.AnswerFence:
		f.answerFence(v)
	case waxwingseam.ForgetRun:
		f.forgetRun(v)
	default:
		f.executeKey(e)
	}
}

// executeKey carries out an effect about a caller's key.
func (f *Forwarder) executeKey(e waxwingseam.Effect) {
	switch v := e.(type) {
	case waxwingseam.DecideKey:
		f.decideKey(v)
	case waxwingseam.AskWitness:
		f.pendingWitnessAsks.Add(1)
		go f.askWitness(v)
	case waxwingseam.AnswerWitness:
		f.answerWitness(v)
	case waxwingseam.AskFounding:
		go f.askFounding(v)
	default:
		f.executeQuarantine(e)
	}
}

// executeQuarantine carries out an effect about requests that end their backend servers, or
// about client accounts.
func (f *Forwarder) executeQuarantine(e waxwingseam.Effect) {
	switch v := e.(type) {
	case waxwingseam.ProbeBackend:
		go f.probeBackend()
	case waxwingseam.SendEnds:
		f.sendEnds(v)
	case waxwingseam.SendAccountMessage:
		f.sendAccountMessage(v)
	case waxwingseam.WatchRequests:
		f.watchRequests(v)
	case waxwingseam.RequireKeys:
		f.keysRequired.Store(v.Required)
	}
}

// SetIncarnation sets the incarnation that the node reports to sending nodes.
func (f *Forwarder) SetIncarnation(i waxwingseam.Incarnation) {
	f.incarnation.Store(uint64(i))
}

func (f *Forwarder) exchange(id waxwingseam.CallID) *exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.exchanges[id]
}

func (f *Forwarder) hostedCall(id waxwingseam.CallID) *hostedCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hostedCalls[id]
}

// connect returns an idle connection to another node, or opens one.
func (f *Forwarder) connect(ctx context.Context, address netip.AddrPort) (*drpcconn.Conn, error) {
	for {
		conn, ok := f.peers.take(address, time.Now())
		if !ok {
			return f.dial(ctx, address)
		}
		select {
		case <-conn.Closed():
		default:
			return conn, nil
		}
	}
}

// dial opens a connection to another node.
func (f *Forwarder) dial(ctx context.Context, address netip.AddrPort) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := f.config.Dialer.Dial(ctx, address)
	return conn, trace.Wrap(err)
}
