package replicator

import (
	"slices"

	"waxwingseam.example/waxwingseam"
)

// isQuorum reports whether the voters for which has returns true decide. While a membership
// is pending that follows one with an even number of voters, they must decide in both: half of
// that number decides once disks were lost (see isHalfAfterLoss), and must not miss what the
// others have committed in the later membership.
func (r *replicator) isQuorum(has func(waxwingseam.StorageID) bool) bool {
	return r.decides(has, has)
}

// decides is isQuorum for an election, in which not all votes count as given after the losses.
func (r *replicator) decides(has, hasAfterLoss func(waxwingseam.StorageID) bool) bool {
	latest := r.memberships.latest()
	if countVoters(latest, has) < latest.Quorum() {
		return false
	}
	previous, ok := r.pendingPredecessor()
	return !ok || countVoters(previous, has) >= previous.Quorum() || r.isHalfAfterLoss(previous, hasAfterLoss)
}

// isHalfAfterLoss reports whether the replicas for which has returns true are half of an even
// number of voters, of which the campaign names some whose disks were lost.
//
// Half of an even number meets each quorum, so that it misses no committed entry. Two halves
// that do not meet could decide differently; but a lost disk never votes again, so that not
// both can have decided after a disk in the other one was lost.
func (r *replicator) isHalfAfterLoss(m waxwingseam.Membership, has func(waxwingseam.StorageID) bool) bool {
	isLost := func(id waxwingseam.StorageID) bool { return slices.Contains(r.claimed, id) }
	if m.Voters()%2 == 1 || countVoters(m, isLost) == 0 {
		return false
	}
	return 2*countVoters(m, func(id waxwingseam.StorageID) bool { return has(id) && !isLost(id) }) >= m.Voters()
}

func countVoters(m waxwingseam.Membership, has func(waxwingseam.StorageID) bool) int {
	n := 0
	for _, v := range m.Members {
		if v.Voter && has(v.Storage) {
			n++
		}
	}
	return n
}

// pendingPredecessor returns the membership that must agree to what is decided in the latest
// one; false if there is none.
func (r *replicator) pendingPredecessor() (waxwingseam.Membership, bool) {
	previous, ok := r.memberships.previous()
	if !ok || r.config.ToleratedLosses == 0 || r.isSettled() || previous.Voters()%2 == 1 {
		return waxwingseam.Membership{}, false
	}
	return previous, previous.Voters() > 0
}

// isSettled reports whether a membership with the voters of the latest one is known to be
// committed. A change is appended only once the one before it is committed.
func (r *replicator) isSettled() bool {
	if r.memberships.latestIndex() <= max(r.commit, r.state.Settled) {
		return true
	}
	previous, ok := r.memberships.previous()
	return ok && sameVoters(previous, r.memberships.latest())
}

func sameVoters(a, b waxwingseam.Membership) bool {
	return a.Voters() == b.Voters() && countVoters(a, b.IsVoter) == b.Voters()
}

// markSettled records that the latest membership is committed, if it is.
func (r *replicator) markSettled() {
	if i := r.memberships.latestIndex(); r.config.ToleratedLosses > 0 && i <= r.commit {
		r.state.Settled = max(r.state.Settled, i)
	}
}

// highest returns the highest value that a quorum has reached.
func (r *replicator) highest(value func(waxwingseam.StorageID) waxwingseam.LogIndex) waxwingseam.LogIndex {
	var values []waxwingseam.LogIndex
	for _, m := range r.members() {
		if m.Voter {
			values = append(values, value(m.Storage))
		}
	}
	slices.Sort(values)
	for _, v := range slices.Backward(values) {
		if r.isQuorum(func(id waxwingseam.StorageID) bool { return value(id) >= v }) {
			return v
		}
	}
	return 0
}

// members returns the members of the latest membership, and the voters of its pending
// predecessor that it lacks.
func (r *replicator) members() []waxwingseam.Member {
	latest := r.memberships.latest()
	previous, ok := r.pendingPredecessor()
	if !ok {
		return latest.Members
	}
	members := slices.Clone(latest.Members)
	for _, m := range previous.Members {
		if _, known := latest.Member(m.Storage); !known && m.Voter {
			members = append(members, m)
		}
	}
	return members
}
