package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// tick advances the timers by one tick. A replica that does not lead starts a
// pre-vote when its election timeout has passed, if it may campaign.
func (r *replicator) tick() {
	if r.electionTimeout == 0 {
		r.electionTimeout = r.initialElectionTimeout()
	}
	r.electionElapsed++
	if r.role == waxwingseam.RoleLeader {
		r.tickLeader()
		return
	}
	if r.electionElapsed < r.electionTimeout {
		return
	}
	r.leader = ""
	if r.canCampaign() {
		r.campaign(waxwingseam.RolePreCandidate, false)
	}
}

// canCampaign reports whether the replica is a voter in the membership at its
// commit index or in a later one. The latest membership alone does not decide:
// a leader that has appended its own removal may have the only log that the
// others can accept.
func (r *replicator) canCampaign() bool {
	for _, m := range r.memberships.since(r.commit) {
		if m.IsVoter(r.self) {
			return true
		}
	}
	return false
}

func (r *replicator) tickLeader() {
	for _, p := range r.progress {
		p.tick(r.config.ElectionTicks)
	}
	r.handover.tick()
	if !r.hasQuorum() {
		r.becomeFollower(r.state.Term, "")
		return
	}
	r.removeSilentVoter()
	r.heartbeatElapsed++
	if r.heartbeatElapsed >= r.config.HeartbeatTicks {
		r.sendPeriodicHeartbeats()
	}
}

// hasQuorum reports whether a majority of the voters has replied within
// ElectionTicks. A leader that is a voter counts itself.
func (r *replicator) hasQuorum() bool {
	return r.isQuorum(func(id waxwingseam.StorageID) bool {
		return id == r.self || r.progress[id].silentTicks <= r.config.ElectionTicks
	})
}

// resetElectionTimer restarts the election timer with a random timeout of one
// to two times ElectionTicks.
func (r *replicator) resetElectionTimer() {
	r.electionElapsed = 0
	r.electionTimeout = r.config.ElectionTicks + int(r.output.random%uint64(r.config.ElectionTicks))
}

// initialElectionTimeout returns the election timeout of a replica that has
// just started. It may be shorter than the regular one: a running leader sends
// heartbeats well within the regular timeout, and the leases at the other
// voters protect it. A sole voter has no leader to wait for.
func (r *replicator) initialElectionTimeout() int {
	membership := r.memberships.latest()
	if membership.Voters() == 1 && membership.IsVoter(r.self) {
		return 1
	}
	quarter := max(1, r.config.ElectionTicks/4)
	return quarter + int(r.output.random%uint64(2*quarter))
}

// withinLeaderLease reports whether the replica leads, or has received a
// message from the leader so recently that no other leader may be elected.
func (r *replicator) withinLeaderLease() bool {
	if r.role == waxwingseam.RoleLeader {
		return true
	}
	return r.leader != "" && r.electionElapsed < r.config.ElectionTicks
}

// becomeFollower makes the replica a follower. Requests whose entries are not
// committed end with an unknown outcome, and pending reads are refused.
func (r *replicator) becomeFollower(term waxwingseam.Term, leader waxwingseam.StorageID) {
	if term > r.state.Term {
		r.state.Term, r.state.Vote = term, ""
	}
	if leader != "" || r.role != waxwingseam.RoleFollower {
		r.resetElectionTimer()
	}
	r.role = waxwingseam.RoleFollower
	r.leader = leader
	r.votes, r.claimed = nil, nil
	r.progress = nil
	r.handover = handover{}
	r.refusePendingRequests()
}

// refusePendingRequests ends the local requests that this replica can no longer
// answer.
func (r *replicator) refusePendingRequests() {
	for i := r.commit + 1; len(r.requests) > 0 && i <= r.log.last().Index; i++ {
		if id, ok := r.requests[i]; ok {
			r.refuse(id, waxwingseam.ReasonOutcomeUnknown)
			delete(r.requests, i)
		}
	}
	for _, q := range r.pendingReads {
		r.refuse(q.id, waxwingseam.ReasonNotLeader)
	}
	r.pendingReads = nil
}

func (r *replicator) refuse(id waxwingseam.RequestID, reason waxwingseam.ReplicaReason) {
	r.emit(waxwingseam.RefuseRequest{ID: id, Reason: reason})
}

// campaign starts an election, or a pre-vote for RolePreCandidate. A pre-vote
// does not change the term.
func (r *replicator) campaign(role waxwingseam.ReplicaRole, requestedByLeader bool) {
	r.role = role
	r.leader = ""
	r.votes = map[waxwingseam.StorageID]vote{}
	r.claimed = r.lostVoters()
	r.resetElectionTimer()
	preVote := role == waxwingseam.RolePreCandidate
	term := r.state.Term + 1
	if !preVote {
		r.state.Term, r.state.Vote = term, r.self
	}
	r.forEachPeer(func(m waxwingseam.Member) {
		if !m.Voter {
			return
		}
		r.send(m.Storage, waxwingseam.ReplicaMessage{VoteRequest: &waxwingseam.VoteRequest{
			PreVote:  preVote,
			Handover: requestedByLeader,
			Term:     term,
			Last:     r.log.last(),

			LostDisks: r.claimed,
		}})
	})
	if preVote {
		r.countVote(r.self, r.ownVote())
	}
}

// ownVote returns the vote that a candidate gives itself.
func (r *replicator) ownVote() vote {
	return vote{granted: true, afterLoss: r.votesAfterLoss(r.claimed)}
}

// handleVoteRequest answers a vote request. A granted vote is recorded, unless
// it is a pre-vote.
func (r *replicator) handleVoteRequest(m waxwingseam.ReplicaMessage) {
	q := m.VoteRequest
	granted := r.grantsVote(m.From, *q)
	if granted && !q.PreVote {
		r.state.Vote = m.From
		r.resetElectionTimer()
	}
	r.send(m.From, waxwingseam.ReplicaMessage{VoteReply: &waxwingseam.VoteReply{
		PreVote: q.PreVote,
		Granted: granted,
		Term:    q.Term,

		AfterLoss: granted && r.votesAfterLoss(q.LostDisks),
	}})
}

func (r *replicator) grantsVote(from waxwingseam.StorageID, q waxwingseam.VoteRequest) bool {
	if !upToDate(q.Last, r.log.last()) {
		return false
	}
	if q.PreVote {
		return q.Term > r.state.Term && !r.withinLeaderLease()
	}
	return q.Term == r.state.Term && (r.state.Vote == "" || r.state.Vote == from)
}

// upToDate reports whether a log that ends at a contains every entry that a log
// ending at b may have committed.
func upToDate(a, b waxwingseam.LogPosition) bool {
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Index >= b.Index
}

// handleVoteReply counts a vote if it belongs to the current election.
func (r *replicator) handleVoteReply(from waxwingseam.StorageID, v waxwingseam.VoteReply) {
	switch {
	case v.PreVote && r.role == waxwingseam.RolePreCandidate && v.Term == r.state.Term+1:
	case !v.PreVote && r.role == waxwingseam.RoleCandidate && v.Term == r.state.Term:
	default:
		return
	}
	r.countVote(from, vote{granted: v.Granted, afterLoss: v.AfterLoss})
}

func (r *replicator) countVote(from waxwingseam.StorageID, v vote) {
	r.votes[from] = v
	if !r.isElected() {
		return
	}
	if r.role == waxwingseam.RolePreCandidate {
		r.campaign(waxwingseam.RoleCandidate, false)
		return
	}
	r.becomeLeader()
}

// becomeLeader makes the replica the leader of its term. It appends an empty
// entry, whose commit also commits the entries of earlier terms. A leader that half
// of the voters have elected appends a membership in which they are a quorum instead.
func (r *replicator) becomeLeader() {
	first := waxwingseam.LogEntry{Kind: waxwingseam.EntryEmpty}
	if !r.hasVotesOfQuorum() {
		next := r.withoutLostVoter()
		first = waxwingseam.LogEntry{Kind: waxwingseam.EntryMembership, Membership: &next}
	}
	r.role = waxwingseam.RoleLeader
	r.leader = r.self
	r.votes = nil
	r.progress = map[waxwingseam.StorageID]*progress{}
	r.updateProgress()
	r.append(first)
	r.sendHeartbeats()
}
