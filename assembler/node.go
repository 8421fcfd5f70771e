package assembler

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/logger"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/reducer"
	"waxwingseam.example/waxwingseam/runner"
)

// drainPoll is how often a draining node looks whether it still carries calls.
const drainPoll = 20 * time.Millisecond

// NodeConfig holds the parts of a node.
type NodeConfig struct {
	// Self is the node's backend server as it is announced.
	Self waxwingseam.Server
	// Backend is where the backend server listens.
	Backend netip.AddrPort
	// Connections bounds the connections to the backend server; 0 for the
	// forwarder's default.
	Connections int
	Messenger   *messenger.Server
	Dialer      messenger.Dialer
	// Founding asks control whether a life may found the view of its service;
	// unset where every life may.
	Founding  func(ctx context.Context, e waxwingseam.AskFounding) bool
	Logger    *logger.Logger
	Observers []runner.Observer
	// NewTrace returns the trace of a root whose caller sent none; unset for
	// no traces.
	NewTrace func(waxwingseam.RootID) waxwingseam.TraceContext
	// BadRequest is told of each request that can't become a call; unset for
	// nobody.
	BadRequest func(waxwingseam.Reason)
	// Seed starts the random words of the node's events.
	Seed uint64
}

// Node is the node role of a process.
type Node struct {
	Runner    *runner.Runner
	Forwarder *forwarder.Forwarder
	state     *nodeState
}

// nodeState is what the node's readiness depends on. It observes the events
// and effects of the reducer.
type nodeState struct {
	configured atomic.Bool
	leaving    atomic.Bool
}

// Observe implements runner.Observer.
func (s *nodeState) Observe(e waxwingseam.Event, effects []waxwingseam.Effect) {
	if _, ok := e.(waxwingseam.SetAdopted); ok {
		s.configured.Store(true)
	}
	for _, v := range effects {
		if a, ok := v.(waxwingseam.Announce); ok {
			s.leaving.Store(a.Self.Leaving)
		}
	}
}

// Ready reports whether the node has a configuration and takes new work.
func (n *Node) Ready() bool {
	return n.state.configured.Load() && !n.state.leaving.Load()
}

// NewNode returns a node whose drpc service is registered.
func NewNode(config NodeConfig) (*Node, error) {
	state := &nodeState{}
	n := &Node{
		state: state,
		Runner: runner.New(runner.Config{
			Reducer:   reducer.New(reducer.Config{Self: config.Self, Workers: Workers(config.Self)}),
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
		Founding:    config.Founding,
		Logger:      config.Logger.Part("node"),
	})
	n.Runner.Attach(n.Forwarder)
	if err := n.Forwarder.Register(config.Messenger); err != nil {
		return nil, trace.Wrap(err)
	}
	return n, nil
}

// Drain refuses new work, and returns once the node carries no call.
func (n *Node) Drain(ctx context.Context) error {
	n.Runner.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.DrainAsked{Stamp: s}
	})
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !n.idle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
	return nil
}

func (n *Node) idle() bool {
	sending, running := n.Forwarder.Busy()
	return sending+running == 0
}
