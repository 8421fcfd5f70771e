package replicator

import (
	"slices"

	"waxwingseam.example/waxwingseam"
)

// markMismatched records that the process at a member's address has another storage. The
// member's replica can then be replaced before it has been silent for ElectionTicks. If it is
// the member's own replica, its disk was lost.
func (r *replicator) markMismatched(e waxwingseam.StorageMismatched) {
	if p, ok := r.progress[e.Storage]; ok {
		p.mismatched = true
	}
	for _, m := range r.members() {
		if m.Storage == e.Storage && m.Replica == e.Replica {
			r.lost[e.Storage] = true
		}
	}
}

// lostVoters returns the voters whose disks are known to be lost, for a campaign.
func (r *replicator) lostVoters() []waxwingseam.StorageID {
	if !r.votesAfterLoss(nil) {
		return nil
	}
	var lost []waxwingseam.StorageID
	for _, m := range r.members() {
		if m.Voter && r.lost[m.Storage] {
			lost = append(lost, m.Storage)
		}
	}
	return lost
}

// votesAfterLoss reports whether the replica's vote may count for an election by half of the
// voters, after the given disks were lost. The replica must have accepted entries from a leader
// since it started: the storage of a lost disk that was found again must not vote.
func (r *replicator) votesAfterLoss(lost []waxwingseam.StorageID) bool {
	return r.config.ToleratedLosses > 0 && r.inTouch && !slices.Contains(lost, r.self)
}

// isElected reports whether the votes elect the candidate.
func (r *replicator) isElected() bool {
	return r.hasVotesOfQuorum() || r.hasVotesOfHalf()
}

func (r *replicator) hasVotesOfQuorum() bool {
	return r.decides(r.isGranted, r.isGrantedAfterLoss)
}

// hasVotesOfHalf reports whether half of the voters elect the candidate after disks were lost.
// The membership must be known to be committed.
func (r *replicator) hasVotesOfHalf() bool {
	return r.isSettled() && r.isHalfAfterLoss(r.memberships.latest(), r.isGrantedAfterLoss)
}

func (r *replicator) isGranted(id waxwingseam.StorageID) bool {
	return r.votes[id].granted
}

func (r *replicator) isGrantedAfterLoss(id waxwingseam.StorageID) bool {
	return r.votes[id].granted && r.votes[id].afterLoss
}

// withoutLostVoter returns the latest membership without one of the voters whose disks were
// lost. Once it is committed, the others are a quorum of it.
func (r *replicator) withoutLostVoter() waxwingseam.Membership {
	latest := r.memberships.latest()
	for _, id := range r.claimed {
		if latest.IsVoter(id) {
			return latest.Without(id)
		}
	}
	return latest
}
