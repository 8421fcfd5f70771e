package assembler

import (
	"context"
	"net/netip"
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
	Logger      *logger.Logger
	Observers   []runner.Observer
	// Seed starts the random words of the node's events.
	Seed uint64
}

// Node is the node role of a process.
type Node struct {
	Runner    *runner.Runner
	Forwarder *forwarder.Forwarder
}

// NewNode returns a node whose drpc service is registered.
func NewNode(config NodeConfig) (*Node, error) {
	n := &Node{
		Runner: runner.New(runner.Config{
			Reducer:   reducer.New(reducer.Config{Self: config.Self, Workers: Workers(config.Self)}),
			Observers: config.Observers,
			Seed:      config.Seed,
		}),
	}
	n.Forwarder = forwarder.New(forwarder.Config{
		Step:        n.Runner.Step,
		Dialer:      config.Dialer,
		Backend:     config.Backend,
		Connections: config.Connections,
		Self:        config.Self,
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
