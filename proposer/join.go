package proposer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/journaler"
)

// errRemoved reports that the replica was removed from the cluster.
var errRemoved = errors.New("no longer a member: empty the data folder to join again")

// join asks the configured replicas to add this one as a learner with a new
// storage ID, and formats the data folder once it has been added.
func (p *proposer) join(ctx context.Context) error {
	if len(p.config.Join) == 0 {
		return trace.NotFound("the data folder is empty: initialize it, or set the addresses of replicas to join")
	}
	member := waxwingseam.Member{
		Replica:   p.config.Self,
		Storage:   newStorageID(),
		Address:   p.config.Address,
		Candidate: p.config.Voter,
	}
	cluster, err := p.requestJoinUntilAccepted(ctx, member)
	if err != nil {
		return err
	}
	identity := waxwingseam.ReplicaIdentity{
		Cluster: cluster,
		Replica: member.Replica,
		Storage: member.Storage,
	}
	if err := p.formatWithRoom(ctx, identity); err != nil {
		return err
	}
	return p.recover()
}

// formatWithRoom formats the data folder, and waits for room while the disk is full.
func (p *proposer) formatWithRoom(ctx context.Context, identity waxwingseam.ReplicaIdentity) error {
	ticker := time.NewTicker(p.config.joinInterval())
	defer ticker.Stop()
	for waiting := false; ; waiting = true {
		err := journaler.Format(p.disk, identity, waxwingseam.PersistReplica{})
		if !journaler.IsFull(err) {
			return err
		}
		if !waiting {
			p.config.Logger.Warn("the disk is full: the replica joins when there is room", "cause", err)
		}
		if !waitTick(ctx, ticker.C) {
			return trace.Wrap(ctx.Err())
		}
	}
}

func (p *proposer) requestJoinUntilAccepted(ctx context.Context, member waxwingseam.Member) (waxwingseam.ClusterID, error) {
	var cluster waxwingseam.ClusterID
	var last waxwingseam.ReplicaReason
	ask := func(ctx context.Context, address netip.AddrPort) *JoinAnswer {
		return p.requestJoin(ctx, address, &JoinRequest{Member: member})
	}
	accepted := askReplicas(ctx, p.config.Join, p.config.joinInterval(), ask, func(address netip.AddrPort, a *JoinAnswer) bool {
		if a.Reason == "" {
			cluster = a.Cluster
			return true
		}
		p.setRefused(a.Reason)
		if a.Reason != last {
			last = a.Reason
			p.config.Logger.Warn("not joined yet", "address", address, "reason", a.Reason)
		}
		return false
	})
	if !accepted {
		return "", trace.Wrap(ctx.Err())
	}
	return cluster, nil
}

// askFunc sends a join request to an address and returns the answer. It must return soon
// after the context has ended.
type askFunc func(ctx context.Context, address netip.AddrPort) *JoinAnswer

// askReplicas sends a join request to all addresses at the same time, so that a replica that
// does not answer delays none of the others. It passes each answer to conclusive, and returns
// true once that has returned true. A replica that has answered is asked again after the
// interval; with an interval of 0, askReplicas returns false once all have answered. It also
// returns false once the context has ended.
func askReplicas(ctx context.Context, addresses []netip.AddrPort, interval time.Duration, ask askFunc, conclusive func(netip.AddrPort, *JoinAnswer) bool) bool {
	type reply struct {
		address netip.AddrPort
		answer  *JoinAnswer
	}
	ctx, cancel := context.WithCancel(ctx)
	replies := make(chan reply)
	var asking sync.WaitGroup
	defer asking.Wait()
	defer cancel()
	for _, address := range addresses {
		asking.Go(func() {
			for {
				select {
				case replies <- reply{address, ask(ctx, address)}:
				case <-ctx.Done():
				}
				if interval == 0 || !sleep(ctx, interval) {
					return
				}
			}
		})
	}
	for answered := 0; interval > 0 || answered < len(addresses); answered++ {
		select {
		case r := <-replies:
			if conclusive(r.address, r.answer) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// sleep waits for a time. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	return waitTick(ctx, timer.C)
}

func (p *proposer) requestJoin(ctx context.Context, address netip.AddrPort, q *JoinRequest) *JoinAnswer {
	ctx, cancel := context.WithTimeout(ctx, p.config.joinRequestTimeout())
	defer cancel()
	conn, err := p.config.Dialer.Dial(ctx, address)
	if err != nil {
		return &JoinAnswer{Reason: waxwingseam.ReasonNoQuorum}
	}
	defer func() { _ = conn.Close() }()
	a := &JoinAnswer{}
	if err := join.invoke(ctx, conn, q, a); err != nil {
		return &JoinAnswer{Reason: waxwingseam.ReasonOutcomeUnknown}
	}
	return a
}

// announce sends the address of a formatted replica to the cluster. It returns
// an error if the other replicas belong to another cluster or the replica was
// removed. With Rejoin set, it keeps checking for a removal until ctx ends.
func (p *proposer) announce(ctx context.Context) error {
	ticker := time.NewTicker(p.config.joinInterval())
	defer ticker.Stop()
	announced := false
	for {
		// A replica may have been removed while it was cut off, so it announces
		// its address again whenever it has no leader.
		if announced && p.Status().Leader != "" {
			if !waitTick(ctx, ticker.C) {
				return nil
			}
			continue
		}
		reason, done := p.announceOnce(ctx)
		switch {
		case reason == waxwingseam.ReasonClusterMismatch:
			return trace.AccessDenied("the data folder belongs to cluster %s, the other replicas belong to another cluster", p.Status().Cluster)
		case reason == waxwingseam.ReasonRemoved:
			return fmt.Errorf("storage %s is %w", p.Status().Self.Storage, errRemoved)
		case done && !p.config.Rejoin:
			return nil
		}
		announced = announced || done
		if !waitTick(ctx, ticker.C) {
			return nil
		}
	}
}

// waitTick waits for a tick. It returns false if the context ends first.
func waitTick(ctx context.Context, tick <-chan time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-tick:
		return true
	}
}

// announceOnce sends the address to the other replicas until one accepts it,
// belongs to another cluster or reports a removal. It returns the reason of that
// answer, and reports whether there was one; it also reports true if there are no
// other replicas.
func (p *proposer) announceOnce(ctx context.Context) (waxwingseam.ReplicaReason, bool) {
	status := p.Status()
	addresses := p.otherAddresses(status)
	var reason waxwingseam.ReplicaReason
	ask := func(ctx context.Context, address netip.AddrPort) *JoinAnswer {
		return p.requestJoin(ctx, address, &JoinRequest{Cluster: status.Cluster, Member: p.links.self()})
	}
	conclusive := askReplicas(ctx, addresses, 0, ask, func(_ netip.AddrPort, a *JoinAnswer) bool {
		reason = a.Reason
		return reason == "" || reason == waxwingseam.ReasonClusterMismatch || reason == waxwingseam.ReasonRemoved
	})
	if !conclusive {
		return "", len(addresses) == 0
	}
	return reason, true
}

// otherAddresses returns the addresses of the other members and those in
// Config.Join, without this replica's own.
func (p *proposer) otherAddresses(status waxwingseam.ReplicaStatus) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range status.Members {
		if m.Storage != status.Self.Storage {
			out = append(out, m.Address)
		}
	}
	for _, address := range p.config.Join {
		if address != p.config.Address && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// Join adds another replica as a learner, or updates the address of a member.
func (p *proposer) Join(ctx context.Context, q *JoinRequest) (*JoinAnswer, error) {
	status := p.Status()
	switch {
	case status.Cluster == "":
		return &JoinAnswer{Reason: waxwingseam.ReasonNoQuorum}, nil
	case q.Cluster != "" && q.Cluster != status.Cluster:
		return &JoinAnswer{Reason: waxwingseam.ReasonClusterMismatch}, nil
	}
	if q.Cluster != "" {
		if reason := p.checkMember(ctx, q.Member.Storage); reason != "" {
			return &JoinAnswer{Reason: reason}, nil
		}
	}
	err := p.ChangeMembership(ctx, waxwingseam.MembershipChange{
		Kind:   waxwingseam.ChangeAddLearner,
		Member: q.Member,
	})
	if err != nil {
		return &JoinAnswer{Reason: waxwingseam.ReplicaReasonOf(err)}, nil
	}
	return &JoinAnswer{Cluster: status.Cluster}, nil
}

// checkMember returns the reason why a storage cannot be confirmed as a member,
// or "" if it is one. It performs a confirmed read first, and reports a removal
// only if the latest membership is committed.
func (p *proposer) checkMember(ctx context.Context, id waxwingseam.StorageID) waxwingseam.ReplicaReason {
	if err := p.ReadIndex(ctx); err != nil {
		return waxwingseam.ReplicaReasonOf(err)
	}
	status := p.Status()
	for _, m := range status.Members {
		if m.Storage == id {
			return ""
		}
	}
	if !status.Settled {
		return waxwingseam.ReasonChangePending
	}
	return waxwingseam.ReasonRemoved
}
