package assembler

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/charger"
	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/logger"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/reducer"
	"waxwingseam.example/waxwingseam/runner"
)

// drainPollInterval is the time between two checks of a draining node for calls
// in flight.
const drainPollInterval = 20 * time.Millisecond

const (
	// quietTime is how long after the last arrival a draining node may leave. Other
	// nodes learn in less time that it is leaving; what they send until then is
	// answered.
	quietTime = 200 * time.Millisecond
	// maxQuietTime limits the wait for nodes that go on sending.
	maxQuietTime = time.Second
)

// NodeConfig holds the settings and dependencies of a node.
type NodeConfig struct {
	// Self describes the node's backend server as it is announced.
	Self waxwingseam.Server
	// Backend is the address on which the backend server listens.
	Backend netip.AddrPort
	// Connections bounds the connections to the backend server; 0 selects the
	// forwarder's default.
	Connections int
	// Budget bounds the memory that is held for peers; nil for no bound.
	Budget *charger.Budget
	// BodyLimit returns the limit in force of the length of a request body in bytes, 0 for
	// none; it may be nil.
	BodyLimit func() int64
	Messenger *messenger.Server
	Dialer    messenger.Dialer
	// Founding asks control whether a server incarnation may found the view of
	// its service; nil if every incarnation may.
	Founding  func(ctx context.Context, e waxwingseam.AskFounding) bool
	Logger    *logger.Logger
	Observers []runner.Observer
	// NewTrace returns the trace of a root whose caller sent none; nil for no
	// traces.
	NewTrace func(waxwingseam.RootID) waxwingseam.TraceContext
	// BadRequest is called for each request that cannot become a call, unless it
	// is nil.
	BadRequest func(waxwingseam.Reason)
	// NearFirst prefers servers in the node's own data centre while one of them
	// has capacity.
	NearFirst   bool
	RetryBudget waxwingseam.RetryBudget
	// AwaitRetryHistory is as in WorkersConfig.
	AwaitRetryHistory bool
	// Interface provides the protocols of callers and of the backend server.
	Interface Interface
	// Seed seeds the random words that are added to the node's events.
	Seed uint64
}

// Node is the node role of a process.
type Node struct {
	Runner    *runner.Runner
	Forwarder *forwarder.Forwarder
	state     *nodeState
	routes    *routeAsker
}

// nodeState is the state on which the node's readiness depends. It observes the
// events of the reducer.
type nodeState struct {
	configured atomic.Bool
	draining   atomic.Bool
}

// Observe implements runner.Observer.
func (s *nodeState) Observe(e waxwingseam.Event, _ []waxwingseam.Effect) {
	switch v := e.(type) {
	case waxwingseam.SetAdopted:
		s.configured.Store(true)
	case waxwingseam.DrainAsked:
		s.draining.Store(!v.Undo)
	}
}

// Ready reports whether the node has a configuration and is not draining.
func (n *Node) Ready() bool {
	return n.state.configured.Load() && !n.Draining()
}

// Draining reports whether a drain of the node was requested and not undone.
func (n *Node) Draining() bool {
	return n.state.draining.Load()
}

// NewNode returns a node and registers its drpc service with the messenger.
func NewNode(config NodeConfig) (*Node, error) {
	state := &nodeState{}
	n := &Node{
		state: state,
		Runner: runner.New(runner.Config{
			Reducer: reducer.New(reducer.Config{
				Self: config.Self,
				Workers: Workers(WorkersConfig{
					Self:        config.Self,
					NearFirst:   config.NearFirst,
					RetryBudget: config.RetryBudget,

					AwaitRetryHistory: config.AwaitRetryHistory,
				}),
			}),
			Observers: append([]runner.Observer{state}, config.Observers...),
			Seed:      config.Seed,
		}),
	}
	n.Forwarder = forwarder.New(forwarder.Config{
		Step:        n.Runner.Step,
		Dialer:      config.Dialer,
		Backend:     config.Backend,
		Connections: config.Connections,
		Self:        config.Self,
		NewTrace:    config.NewTrace,
		BadRequest:  config.BadRequest,
		Arbitrated:  true,
		Budget:      config.Budget,
		BodyLimit:   config.BodyLimit,

		Callers:       config.Interface.Callers,
		BackendServer: config.Interface.Backend,
		Founding:      config.Founding,
		Logger:        config.Logger.Part("node"),
	})
	n.Runner.Attach(n.Forwarder)
	n.routes = newRouteAsker(n.Runner)
	if err := n.Forwarder.Register(config.Messenger); err != nil {
		return nil, trace.Wrap(err)
	}
	return n, nil
}

// Drain makes the node refuse new work for its backend server. Callers can use
// the node until drainTimeOver fires, so that they have time to switch to another
// node. Drain then closes the entry, and returns once no call is in flight and other
// nodes have stopped to send any. Calls that the stop might break off are not sent.
func (n *Node) Drain(ctx context.Context, stop waxwingseam.ProcessStop, drainTimeOver <-chan time.Time) error {
	n.Forwarder.ReceiveFirst()
	n.Runner.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.DrainAsked{Stamp: s, Stop: stop}
	})
	select {
	case <-drainTimeOver:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	// Callers may stay connected until the process exits, and are expected to use
	// another node by now. The backend server has no other node.
	n.Forwarder.CloseEntry()
	return waitUntilQuiet(ctx, n.idle, n.Forwarder.Arrivals)
}

// waitUntilQuiet waits until no call is in flight and none has arrived for quietTime,
// but at most maxQuietTime from when no call was in flight first.
func waitUntilQuiet(ctx context.Context, idle func() bool, arrivals func() uint64) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	lastActive, idleSince := time.Now(), time.Time{}
	seen := arrivals()
	for {
		now, n, isIdle := time.Now(), arrivals(), idle()
		if !isIdle || n != seen {
			lastActive, seen = now, n
		}
		if isIdle && idleSince.IsZero() {
			idleSince = now
		}
		if isIdle && (now.Sub(lastActive) >= quietTime || now.Sub(idleSince) >= maxQuietTime) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

func (n *Node) idle() bool {
	sending, running := n.Forwarder.ActiveCalls()
	return sending+running == 0
}
