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
	// fetchDelay is how long a node waits for control to send a revision before
	// it asks other nodes.
	fetchDelay = time.Second
	// maxAskedNodes bounds the nodes that are asked at a time.
	maxAskedNodes = 3
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

// HeldAnswer contains a node's set. Nodes hold only sets that a quorum accepted,
// so a node may adopt the set of another node.
type HeldAnswer struct {
	// Set is packed; empty if the node holds no higher revision.
	Set []byte `cbor:"1,keyasint,omitempty"`
}

// notedRevision is a higher revision that another node holds.
type notedRevision struct {
	revision waxwingseam.Revision
	// node holds the revision; invalid if it is unknown which node does.
	node netip.AddrPort
	// since is the start of the current fetchDelay; zero if none has started.
	since time.Time
}

// Held implements Subscriber.
func (s *subscriber) Held(_ context.Context, q *HeldQuery) (*HeldAnswer, error) {
	set, _ := s.currentSet()
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
	if uint64(revision) <= s.heldRevision.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.held.Revision || revision <= s.noted.revision {
		return
	}
	s.noted.revision, s.noted.node = revision, node
	if s.noted.since.IsZero() {
		s.noted.since = time.Now()
	}
}

// runCatchUp calls catchUp periodically until the context ends.
func (s *subscriber) runCatchUp(ctx context.Context) {
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

// catchUp asks other nodes for their sets if control has not sent the revision
// within fetchDelay.
func (s *subscriber) catchUp(ctx context.Context) {
	for _, node := range s.nodesToAsk() {
		if err := s.fetch(ctx, node); err != nil {
			s.config.Logger.Info("fetching the set of another node failed", "node", node, "cause", err)
		}
	}
}

// nodesToAsk returns the nodes to ask now; nil if none is to be asked.
func (s *subscriber) nodesToAsk() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held.Revision > 0 && s.noted.revision <= s.held.Revision {
		s.noted = notedRevision{}
		return nil
	}
	if s.noted.since.IsZero() {
		s.noted.since = time.Now()
	}
	if time.Since(s.noted.since) < fetchDelay {
		return nil
	}
	s.noted.since = time.Now()
	return s.chooseNodes()
}

// chooseNodes returns the node that holds the noted revision. It adds other nodes,
// up to maxAskedNodes in total, if that node is unknown or the subscriber has no
// set.
func (s *subscriber) chooseNodes() []netip.AddrPort {
	var nodes []netip.AddrPort
	if s.noted.revision > s.held.Revision && s.noted.node.IsValid() {
		nodes = append(nodes, s.noted.node)
	}
	if s.held.Revision > 0 && len(nodes) > 0 {
		return nodes
	}
	for _, a := range s.servers {
		if len(nodes) >= maxAskedNodes {
			break
		}
		if a.Server.Name != s.announcement.Server.Name {
			nodes = append(nodes, a.Server.Node)
		}
	}
	return nodes
}

// fetch adopts the set of another node if its revision is higher.
func (s *subscriber) fetch(ctx context.Context, node netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := s.config.Dialer.Dial(ctx, node)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = conn.Close() }()
	held, _ := s.currentSet()
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
