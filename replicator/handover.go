package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// handover is the state of a leadership handover at the leader.
type handover struct {
	// remainingTicks is the number of ticks during which the leader accepts no
	// proposals; 0 without a handover in progress.
	remainingTicks int
	successor      waxwingseam.StorageID
}

func (h *handover) tick() {
	h.remainingTicks = max(h.remainingTicks-1, 0)
}

// startHandover starts a handover: the leader accepts no proposals, and asks
// the first voter that has its whole log to start an election. If the leader
// still leads after ElectionTicks, it accepts proposals again.
func (r *replicator) startHandover() {
	if r.role != waxwingseam.RoleLeader {
		return
	}
	r.handover = handover{remainingTicks: r.config.ElectionTicks}
	r.forEachPeer(func(m waxwingseam.Member) {
		r.offerLeadership(m.Storage)
	})
}

// offerLeadership asks a member to start an election, if a handover is in
// progress and the member is a voter that has the whole log and has replied
// recently.
func (r *replicator) offerLeadership(to waxwingseam.StorageID) {
	if r.handover.remainingTicks == 0 || r.handover.successor != "" {
		return
	}
	p, ok := r.progress[to]
	caughtUp := ok && p.match == r.log.last().Index && p.silentTicks <= r.config.HeartbeatTicks+1
	if !caughtUp || !r.memberships.latest().IsVoter(to) {
		return
	}
	r.handover.successor = to
	r.send(to, waxwingseam.ReplicaMessage{Handover: &waxwingseam.Handover{}})
}

// handleHandover starts an election at the leader's request, without a
// pre-vote.
func (r *replicator) handleHandover(from waxwingseam.StorageID) {
	if from == r.leader && r.canCampaign() {
		r.campaign(waxwingseam.RoleCandidate, true)
	}
}
