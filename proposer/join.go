package proposer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/journaler"
)

// errRemoved ends a replica that is no member any more.
var errRemoved = errors.New("no member any more: empty the data folder to join anew")

// joinInterval is the time between two rounds of asking to join.
const joinInterval = 500 * time.Millisecond

// join asks the known replicas to take this one in as a learner with a new
// storage, and formats the data folder once they have.
func (p *proposer) join(ctx context.Context) error {
	if len(p.config.Join) == 0 {
		return trace.NotFound("the data folder is empty: initialize it, or set replicas to join")
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
	if err := journaler.Format(p.disk, identity, waxwingseam.PersistReplica{}); err != nil {
		return err
	}
	return p.recover()
}

func (p *proposer) requestJoinUntilAccepted(ctx context.Context, member waxwingseam.Member) (waxwingseam.ClusterID, error) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	var last waxwingseam.ReplicaReason
	for {
		for _, address := range p.config.Join {
			a := p.requestJoin(ctx, address, &JoinRequest{Member: member})
			if a.Reason == "" {
				return a.Cluster, nil
			}
			p.setRefused(a.Reason)
			if a.Reason != last {
				last = a.Reason
				p.config.Logger.Warn("not joined yet", "address", address, "reason", a.Reason)
			}
		}
		select {
		case <-ctx.Done():
			return "", trace.Wrap(ctx.Err())
		case <-ticker.C:
		}
	}
}

func (p *proposer) requestJoin(ctx context.Context, address netip.AddrPort, q *JoinRequest) *JoinAnswer {
	ctx, cancel := context.WithTimeout(ctx, p.config.RequestTimeout)
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

// announce tells the cluster the present address of a formatted replica. It
// returns an error when the cluster says that the replica is not one of its
// own.
func (p *proposer) announce(ctx context.Context) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	announced := false
	for {
		// One that was cut off may have been removed meanwhile.
		if announced && p.Status().Leader != "" {
			if !waitTick(ctx, ticker.C) {
				return nil
			}
			continue
		}
		reason, done := p.announceOnce(ctx)
		switch {
		case reason == waxwingseam.ReasonClusterMismatch:
			return trace.AccessDenied("the data folder belongs to cluster %s, the replicas to another", p.Status().Cluster)
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

// waitTick waits for a tick; false once the context has ended.
func waitTick(ctx context.Context, tick <-chan time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-tick:
		return true
	}
}

// announceOnce asks the replicas in turn until one has an answer.
func (p *proposer) announceOnce(ctx context.Context) (waxwingseam.ReplicaReason, bool) {
	status := p.Status()
	q := &JoinRequest{Cluster: status.Cluster, Member: p.links.self()}
	asked := false
	for _, address := range p.otherAddresses(status) {
		asked = true
		a := p.requestJoin(ctx, address, q)
		switch a.Reason {
		case "", waxwingseam.ReasonClusterMismatch, waxwingseam.ReasonRemoved:
			return a.Reason, true
		}
	}
	return "", !asked
}

// otherAddresses returns the addresses of the other replicas.
func (p *proposer) otherAddresses(status waxwingseam.ReplicaStatus) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range status.Members {
		if m.Storage != status.Self.Storage {
			out = append(out, m.Address)
		}
	}
	for _, address := range p.config.Join {
		if address != p.config.Address {
			out = append(out, address)
		}
	}
	return out
}

// Join serves another replica's wish to be a member.
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

// checkMember says why a storage that claims to be a member is not known as one,
// after a confirmed read; empty when it is. Only a committed membership proves
// that it is not.
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
