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
	// NearFirst keeps calls in the own data centre while there is room.
	NearFirst   bool
	RetryBudget waxwingseam.RetryBudget
	// Interface is how callers and the backend server speak.
	Interface Interface
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

// Ready reports whether the node has a configuration and takes calls.
func (n *Node) Ready() bool {
	return n.state.configured.Load() && !n.Draining()
}

// Draining reports whether the node was told to drain.
func (n *Node) Draining() bool {
	return n.state.draining.Load()
}

// Report implements waxwingseam.Reporter.
func (n *Node) Report(r waxwingseam.BackendReport) {
	n.Runner.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.BackendReported{Stamp: s, Report: r}
	})
}

// NewNode returns a node whose drpc service is registered.
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

		Callers:       config.Interface.Callers,
		BackendServer: config.Interface.Backend,
		Founding:      config.Founding,
		Logger:        config.Logger.Part("node"),
	})
	n.Runner.Attach(n.Forwarder)
	if err := n.Forwarder.Register(config.Messenger); err != nil {
		return nil, trace.Wrap(err)
	}
	return n, nil
}

// Drain refuses new work for the backend server, and returns once callers had
// the time to move on and the node carries no call.
func (n *Node) Drain(ctx context.Context, lingered <-chan time.Time) error {
	n.Runner.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.DrainAsked{Stamp: s}
	})
	select {
	case <-lingered:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	// Callers may stay until the end; what they begin now could not end in time.
	n.Forwarder.CloseEntry()
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
	sending, running := n.Forwarder.ActiveCalls()
	return sending+running == 0
}
