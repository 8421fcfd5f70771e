package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// handover is a leader's wish that another voter leads.
type handover struct {
	// ticks is how long the leader appends nothing more; 0 without a wish.
	ticks     int
	successor waxwingseam.StorageID
}

func (h *handover) tick() {
	h.ticks = max(h.ticks-1, 0)
}

// handOver starts a handover: the leader appends nothing more, and the first
// voter found to hold its whole log is asked to take over. After an election
// timeout the leader goes on as before.
func (r *replicator) handOver() {
	if r.role != waxwingseam.RoleLeader {
		return
	}
	r.handover = handover{ticks: r.config.ElectionTicks}
	r.others(func(m waxwingseam.Member) {
		r.offerLeadership(m.Storage)
	})
}

// offerLeadership asks a member to take over, where a handover is under way
// and the member can win the election.
func (r *replicator) offerLeadership(to waxwingseam.StorageID) {
	if r.handover.ticks == 0 || r.handover.successor != "" {
		return
	}
	p := r.progress[to]
	whole := p.match == r.log.last().Index && p.silent <= r.config.HeartbeatTicks+1
	if !whole || !r.members.latest().IsVoter(to) {
		return
	}
	r.handover.successor = to
	r.send(to, waxwingseam.ReplicaMessage{Handover: &waxwingseam.Handover{}})
}

// takeOver starts an election at the leader's own wish.
func (r *replicator) takeOver(from waxwingseam.StorageID) {
	if from == r.leader && r.mayLead() {
		r.campaign(waxwingseam.RoleCandidate, true)
	}
}
