package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// tick counts one tick.
func (r *replicator) tick() {
	if r.timeout == 0 {
		r.timeout = r.firstTimeout()
	}
	r.elapsed++
	if r.role == waxwingseam.RoleLeader {
		r.tickLeader()
		return
	}
	if r.elapsed < r.timeout {
		return
	}
	r.leader = ""
	if r.mayLead() {
		r.campaign(waxwingseam.RolePreCandidate, false)
	}
}

// mayLead reports whether the replica votes in a membership that may be the
// last committed one, or a later one: a leader that has appended its own removal
// may be the only one whose log the others can accept.
func (r *replicator) mayLead() bool {
	for _, m := range r.members.since(r.commit) {
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
		r.follow(r.state.Term, "")
		return
	}
	r.retireSilent()
	r.beat++
	if r.beat >= r.config.HeartbeatTicks {
		r.beatMembers()
	}
}

// hasQuorum reports whether a majority of the voters, this replica among
// them if it votes, answered within the election timeout.
func (r *replicator) hasQuorum() bool {
	membership := r.members.latest()
	n := 0
	for _, m := range membership.Members {
		if m.Voter && (m.Storage == r.self || r.progress[m.Storage].silent <= r.config.ElectionTicks) {
			n++
		}
	}
	return n >= membership.Quorum()
}

// resetTimeout starts a new wait of one to two election timeouts.
func (r *replicator) resetTimeout() {
	r.elapsed = 0
	r.timeout = r.config.ElectionTicks + int(r.output.random%uint64(r.config.ElectionTicks))
}

// firstTimeout is the wait of a replica that has just started: a leader that
// lives is heard, and defended by the others' leases, long before the usual
// one has passed. A sole voter has nobody to wait for.
func (r *replicator) firstTimeout() int {
	membership := r.members.latest()
	if membership.Voters() == 1 && membership.IsVoter(r.self) {
		return 1
	}
	quarter := max(1, r.config.ElectionTicks/4)
	return quarter + int(r.output.random%uint64(2*quarter))
}

// leased reports whether a leader was heard so lately that no other may be
// elected.
func (r *replicator) leased() bool {
	if r.role == waxwingseam.RoleLeader {
		return true
	}
	return r.leader != "" && r.elapsed < r.config.ElectionTicks
}

// follow turns the replica into a follower. Requests whose entries are not
// committed end with an unknown outcome, and reads end unanswered.
func (r *replicator) follow(term waxwingseam.Term, leader waxwingseam.StorageID) {
	if term > r.state.Term {
		r.state = waxwingseam.ReplicaState{Term: term}
	}
	if leader != "" || r.role != waxwingseam.RoleFollower {
		r.resetTimeout()
	}
	r.role = waxwingseam.RoleFollower
	r.leader = leader
	r.votes = nil
	r.progress = nil
	r.handover = handover{}
	r.dropRequests()
}

// dropRequests ends the local requests that this replica can't answer for.
func (r *replicator) dropRequests() {
	for i := r.commit + 1; len(r.requests) > 0 && i <= r.log.last().Index; i++ {
		if id, ok := r.requests[i]; ok {
			r.refuse(id, waxwingseam.ReasonOutcomeUnknown)
			delete(r.requests, i)
		}
	}
	for _, q := range r.reads {
		r.refuse(q.id, waxwingseam.ReasonNotLeader)
	}
	r.reads = nil
}

func (r *replicator) refuse(id waxwingseam.RequestID, reason waxwingseam.ReplicaReason) {
	r.emit(waxwingseam.RefuseRequest{ID: id, Reason: reason})
}

// campaign asks the voters for their votes. A trial changes no term.
func (r *replicator) campaign(role waxwingseam.ReplicaRole, invited bool) {
	r.role = role
	r.leader = ""
	r.votes = map[waxwingseam.StorageID]bool{}
	r.resetTimeout()
	trial := role == waxwingseam.RolePreCandidate
	term := r.state.Term + 1
	if !trial {
		r.state = waxwingseam.ReplicaState{Term: term, Vote: r.self}
	}
	r.others(func(m waxwingseam.Member) {
		if !m.Voter {
			return
		}
		r.send(m.Storage, waxwingseam.ReplicaMessage{VoteRequest: &waxwingseam.VoteRequest{
			PreVote:  trial,
			Handover: invited,
			Term:     term,
			Last:     r.log.last(),
		}})
	})
	if trial {
		r.countVote(r.self, true)
	}
}

// answerVote grants a vote to a candidate whose log is at least as complete.
func (r *replicator) answerVote(m waxwingseam.ReplicaMessage) {
	q := m.VoteRequest
	granted := r.grants(m.From, *q)
	if granted && !q.PreVote {
		r.state.Vote = m.From
		r.resetTimeout()
	}
	r.send(m.From, waxwingseam.ReplicaMessage{VoteReply: &waxwingseam.VoteReply{
		PreVote: q.PreVote,
		Granted: granted,
		Term:    q.Term,
	}})
}

func (r *replicator) grants(from waxwingseam.StorageID, q waxwingseam.VoteRequest) bool {
	if !complete(q.Last, r.log.last()) {
		return false
	}
	if q.PreVote {
		return q.Term > r.state.Term && !r.leased()
	}
	return q.Term == r.state.Term && (r.state.Vote == "" || r.state.Vote == from)
}

// complete reports whether a log that ends at a holds what one that ends at b
// may have committed.
func complete(a, b waxwingseam.LogPosition) bool {
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Index >= b.Index
}

// receiveVote counts an answer to the election under way.
func (r *replicator) receiveVote(from waxwingseam.StorageID, v waxwingseam.VoteReply) {
	switch {
	case v.PreVote && r.role == waxwingseam.RolePreCandidate && v.Term == r.state.Term+1:
	case !v.PreVote && r.role == waxwingseam.RoleCandidate && v.Term == r.state.Term:
	default:
		return
	}
	r.countVote(from, v.Granted)
}

func (r *replicator) countVote(from waxwingseam.StorageID, granted bool) {
	r.votes[from] = granted
	membership := r.members.latest()
	n := 0
	for _, m := range membership.Members {
		if m.Voter && r.votes[m.Storage] {
			n++
		}
	}
	if n < membership.Quorum() {
		return
	}
	if r.role == waxwingseam.RolePreCandidate {
		r.campaign(waxwingseam.RoleCandidate, false)
		return
	}
	r.lead()
}

// lead starts a leadership with an empty entry, which commits what earlier
// terms left.
func (r *replicator) lead() {
	r.role = waxwingseam.RoleLeader
	r.leader = r.self
	r.votes = nil
	r.progress = map[waxwingseam.StorageID]*progress{}
	r.others(func(m waxwingseam.Member) {
		r.progress[m.Storage] = newProgress(r.log.last().Index)
	})
	r.append(waxwingseam.LogEntry{Kind: waxwingseam.EntryEmpty})
	r.heartbeat()
}
