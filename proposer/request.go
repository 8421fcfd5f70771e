package proposer

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// answer is the result of a request to the local reducer.
type answer struct {
	data   []byte
	index  waxwingseam.LogIndex
	reason waxwingseam.ReplicaReason
}

func refusal(reason waxwingseam.ReplicaReason) error {
	return &waxwingseam.ReplicaError{Reason: reason}
}

// answer completes a request, unless its caller has stopped waiting.
func (p *proposer) answer(id waxwingseam.RequestID, a answer) {
	p.mu.Lock()
	result, ok := p.requests[id]
	delete(p.requests, id)
	p.mu.Unlock()
	if ok {
		result <- a
	}
}

// failRequests completes all open requests of a stopped replica with an unknown
// outcome.
func (p *proposer) failRequests() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, result := range p.requests {
		result <- answer{reason: waxwingseam.ReasonOutcomeUnknown}
		delete(p.requests, id)
	}
}

// request queues an event for the local reducer and waits for the answer.
func (p *proposer) request(ctx context.Context, event func(waxwingseam.Stamp, waxwingseam.RequestID) waxwingseam.Event) answer {
	result := make(chan answer, 1)
	p.mu.Lock()
	p.lastID++
	id := p.lastID
	p.requests[id] = result
	p.mu.Unlock()
	queued := p.enqueue(ctx, func(s waxwingseam.Stamp) waxwingseam.Event { return event(s, id) })
	if !queued {
		p.removeRequest(id)
		return answer{reason: waxwingseam.ReasonNoQuorum}
	}
	select {
	case a := <-result:
		return a
	case <-p.done:
	case <-ctx.Done():
	}
	p.removeRequest(id)
	return answer{reason: waxwingseam.ReasonOutcomeUnknown}
}

func (p *proposer) removeRequest(id waxwingseam.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, id)
}

// Propose implements waxwingseam.Proposer.
func (p *proposer) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, refusal(waxwingseam.ReasonCommandTooLarge)
	}
	a, err := p.executeOnLeader(ctx, &LeaderRequest{Command: command})
	return a.Answer, err
}

// ChangeMembership implements waxwingseam.Proposer.
func (p *proposer) ChangeMembership(ctx context.Context, change waxwingseam.MembershipChange) error {
	_, err := p.executeOnLeader(ctx, &LeaderRequest{Change: &change})
	return err
}

// ReadIndex implements waxwingseam.Proposer.
func (p *proposer) ReadIndex(ctx context.Context) error {
	a, err := p.executeOnLeader(ctx, &LeaderRequest{Read: true})
	if err != nil {
		return err
	}
	for {
		status, changed := p.watch()
		if status.Applied >= a.Index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-p.done:
			return refusal(waxwingseam.ReasonStopped)
		}
	}
}

// HandOver implements waxwingseam.Proposer.
func (p *proposer) HandOver() {
	p.enqueue(context.Background(), handoverEvent)
}

// executeOnLeader has the leader execute a request. While no leader is known, it
// waits for one. It repeats a command or a change of the membership only if no
// leader has received it.
func (p *proposer) executeOnLeader(ctx context.Context, q *LeaderRequest) (*LeaderAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.RequestTimeout)
	defer cancel()
	leaderTimer := time.NewTimer(p.config.LeaderTimeout)
	defer leaderTimer.Stop()
	for {
		status, changed := p.watch()
		a := p.tryLeader(ctx, status, q)
		if a.Reason != waxwingseam.ReasonNotLeader && a.Reason != waxwingseam.ReasonNoQuorum {
			return a, a.err()
		}
		select {
		case <-changed:
		case <-leaderTimer.C:
			return a, refusal(waxwingseam.ReasonNoQuorum)
		case <-ctx.Done():
			return a, refusal(waxwingseam.ReasonNoQuorum)
		case <-p.done:
			return a, refusal(waxwingseam.ReasonStopped)
		}
	}
}

// tryLeader executes a request locally if this replica is the leader. Otherwise
// it sends the request to the leader that the status names.
func (p *proposer) tryLeader(ctx context.Context, status waxwingseam.ReplicaStatus, q *LeaderRequest) *LeaderAnswer {
	if status.Role == waxwingseam.RoleLeader {
		return p.executeLocally(ctx, q)
	}
	leader, ok := status.LeaderMember()
	if !ok {
		return &LeaderAnswer{Reason: waxwingseam.ReasonNoQuorum}
	}
	q.Cluster = status.Cluster
	q.To = leader.Storage
	return p.sendToLeader(ctx, leader.Address, q)
}

// sendToLeader sends a request over a new connection, because an existing one
// may have stopped responding. It stops waiting once this replica knows the leader
// no longer as such.
func (p *proposer) sendToLeader(ctx context.Context, address netip.AddrPort, q *LeaderRequest) *LeaderAnswer {
	ctx, stop := p.whileLeader(ctx, q.To)
	defer stop()
	dialCtx, cancel := context.WithTimeout(ctx, p.config.MessageTimeout)
	defer cancel()
	conn, err := p.config.Dialer.Dial(dialCtx, address)
	if err != nil {
		return &LeaderAnswer{Reason: waxwingseam.ReasonNoQuorum}
	}
	defer func() { _ = conn.Close() }()
	a := &LeaderAnswer{}
	if err := lead.invoke(ctx, conn, q, a); err != nil {
		return &LeaderAnswer{Reason: q.unansweredReason()}
	}
	return a
}

// whileLeader returns a context that ends once this replica does not know a storage as that
// of the leader any more.
func (p *proposer) whileLeader(ctx context.Context, id waxwingseam.StorageID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			status, changed := p.watch()
			if status.Leader != id {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// executeLocally executes a request at this replica.
func (p *proposer) executeLocally(ctx context.Context, q *LeaderRequest) *LeaderAnswer {
	a := p.request(ctx, q.event)
	if a.reason == waxwingseam.ReasonOutcomeUnknown {
		a.reason = q.unansweredReason()
	}
	return &LeaderAnswer{Answer: a.data, Index: a.index, Reason: a.reason}
}

// Lead executes a request from another replica.
func (p *proposer) Lead(ctx context.Context, q *LeaderRequest) (*LeaderAnswer, error) {
	if p.Status().Cluster == "" {
		return &LeaderAnswer{Reason: waxwingseam.ReasonNoQuorum}, nil
	}
	if reason := p.checkRecipient(q.Cluster, q.To); reason != "" {
		return &LeaderAnswer{Reason: reason}, nil
	}
	return p.executeLocally(ctx, q), nil
}

// checkRecipient returns the reason why this replica cannot accept a message, or
// "" if the message is for this replica. A replica that has not joined has no
// storage.
func (p *proposer) checkRecipient(cluster waxwingseam.ClusterID, to waxwingseam.StorageID) waxwingseam.ReplicaReason {
	status := p.Status()
	switch {
	case status.Cluster == "":
		return waxwingseam.ReasonStorageMismatch
	case status.Cluster != cluster:
		return waxwingseam.ReasonClusterMismatch
	case status.Self.Storage != to:
		return waxwingseam.ReasonStorageMismatch
	}
	return ""
}

func (a *LeaderAnswer) err() error {
	if a.Reason == "" {
		return nil
	}
	return trace.Wrap(refusal(a.Reason))
}
