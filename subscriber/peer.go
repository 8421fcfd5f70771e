package subscriber

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/publisher"
)

const (
	// heldMethod is the drpc path of Held.
	heldMethod = "/waxwingseam.Peer/Held"
	// patience is how long control has the time to bring a revision before
	// another node is asked for it.
	patience = time.Second
	// askedNodes is how many nodes are asked by one that has no set.
	askedNodes = 3
)

// Description describes the drpc service that a node offers to other nodes.
var Description = messenger.Description{{
	Name: heldMethod,
	Receiver: func(service any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return service.(Subscriber).Held(ctx, in.(*HeldQuery))
	},
	Expression: Subscriber.Held,
}}

// HeldQuery asks a node for the set that it holds.
type HeldQuery struct {
	// Above is the revision that the asking node holds.
	Above waxwingseam.Revision `cbor:"1,keyasint"`
}

// HeldAnswer is a node's set. Nodes hold only sets that a quorum accepted, so
// one may be taken over from another.
type HeldAnswer struct {
	// Set is packed; empty when the node holds nothing above.
	Set []byte `cbor:"1,keyasint,omitempty"`
}

// notice is a higher revision seen elsewhere.
type notice struct {
	revision waxwingseam.Revision
	node     netip.AddrPort
	// since is when the node first had reason to ask another one.
	since time.Time
}

// Held implements Subscriber.
func (s *subscriber) Held(_ context.Context, q *HeldQuery) (*HeldAnswer, error) {
	set, _ := s.current()
	if set.Revision <= q.Above {
		return &HeldAnswer{}, nil
	}
	packed, err := publisher.Pack(set)
	if err != nil {
		return nil, err
	}
	return &HeldAnswer{Set: packed}, nil
}

// NoteRevision implements Subscriber.
func (s *subscriber) NoteRevision(revision waxwingseam.Revision, node netip.AddrPort) {
	if uint64(revision) <= s.newest.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.held.Revision || revision <= s.noticed.revision {
		return
	}
	s.noticed.revision, s.noticed.node = revision, node
	if s.noticed.since.IsZero() {
		s.noticed.since = time.Now()
	}
}

// keepCatchingUp looks from time to time whether other nodes are to be asked.
func (s *subscriber) keepCatchingUp(ctx context.Context) {
	ticker := time.NewTicker(publisher.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.catchUp(ctx)
		}
	}
}

// catchUp asks other nodes for their set, where control has not brought it in
// good time.
func (s *subscriber) catchUp(ctx context.Context) {
	for _, node := range s.sources() {
		if err := s.fetch(ctx, node); err != nil {
			s.config.Logger.Info("another node gave no set", "node", node, "cause", err)
		}
	}
}

// sources returns the nodes to ask; none while there is no need.
func (s *subscriber) sources() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held.Revision > 0 && s.noticed.revision <= s.held.Revision {
		s.noticed = notice{}
		return nil
	}
	if s.noticed.since.IsZero() {
		s.noticed.since = time.Now()
	}
	if time.Since(s.noticed.since) < patience {
		return nil
	}
	s.noticed.since = time.Now()
	return s.pick()
}

// pick returns the node that was noticed, and others where it is not known or
// the node has no set.
func (s *subscriber) pick() []netip.AddrPort {
	var nodes []netip.AddrPort
	if s.noticed.revision > s.held.Revision && s.noticed.node.IsValid() {
		nodes = append(nodes, s.noticed.node)
	}
	if s.held.Revision > 0 && len(nodes) > 0 {
		return nodes
	}
	for _, a := range s.servers {
		if len(nodes) >= askedNodes {
			break
		}
		if a.Server.Name != s.announcement.Server.Name {
			nodes = append(nodes, a.Server.Node)
		}
	}
	return nodes
}

// fetch takes over the set of another node if it is higher.
func (s *subscriber) fetch(ctx context.Context, node netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := s.config.Dialer.Dial(ctx, node)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = conn.Close() }()
	held, _ := s.current()
	query := &HeldQuery{Above: held.Revision}
	var answer HeldAnswer
	if err := conn.Invoke(ctx, heldMethod, messenger.Encoding, query, &answer); err != nil {
		return trace.Wrap(err)
	}
	if len(answer.Set) == 0 {
		return nil
	}
	set, err := publisher.Unpack(answer.Set)
	if err != nil {
		return err
	}
	s.adopt(set, checker.Digest(set))
	return nil
}
