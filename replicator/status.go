package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// Status implements waxwingseam.Replicator.
func (r *replicator) Status() waxwingseam.ReplicaStatus {
	membership := r.memberships.latest()
	self, ok := membership.Member(r.self)
	if !ok {
		self = waxwingseam.Member{Replica: r.config.Identity.Replica, Storage: r.self}
	}
	s := waxwingseam.ReplicaStatus{
		Cluster:  r.config.Identity.Cluster,
		Self:     self,
		Role:     r.role,
		Term:     r.state.Term,
		Leader:   r.leader,
		Last:     r.log.last().Index,
		Commit:   r.commit,
		Applied:  r.applied,
		Snapshot: r.snapshot.Index,
		Settled:  r.memberships.latestIndex() <= r.commit,
		Members:  make([]waxwingseam.PeerStatus, 0, len(membership.Members)),
	}
	for _, m := range membership.Members {
		s.Members = append(s.Members, r.peerStatus(m))
	}
	return s
}

func (r *replicator) peerStatus(m waxwingseam.Member) waxwingseam.PeerStatus {
	v := waxwingseam.PeerStatus{Member: m}
	if m.Storage == r.self {
		v.Match = r.persisted
		return v
	}
	if p, ok := r.progress[m.Storage]; ok {
		v.Match = p.match
		v.SilentTicks = p.silentTicks
	}
	return v
}
