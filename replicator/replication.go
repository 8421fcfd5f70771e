package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// snapshotTimeouts is the number of election timeouts that a follower has to
// install a snapshot before the snapshot is sent again.
const snapshotTimeouts = 8

// receive handles a message from another replica.
func (r *replicator) receive(m waxwingseam.ReplicaMessage) {
	if m.To != r.self || r.blockedByLease(m) {
		return
	}
	delete(r.lost, m.From)
	if q := m.AppendRequest; q != nil && !waxwingseam.ValidEntriesAfter(q.Previous, q.Entries) {
		return
	}
	if r.handlePreVote(m) {
		return
	}
	if m.Term > r.state.Term {
		r.becomeFollower(m.Term, "")
	}
	if m.Term < r.state.Term {
		r.answerStaleMessage(m)
		return
	}
	switch {
	case m.VoteRequest != nil:
		r.handleVoteRequest(m)
	case m.VoteReply != nil:
		r.handleVoteReply(m.From, *m.VoteReply)
	case m.AppendRequest != nil:
		r.handleAppendRequest(m.From, *m.AppendRequest)
	case m.AppendReply != nil:
		r.handleAppendReply(m.From, *m.AppendReply)
	case m.Handover != nil:
		r.handleHandover(m.From)
	}
}

// blockedByLease reports whether a message must be dropped before it raises the
// term. This applies to a vote request, other than a pre-vote, within the lease
// of a leader that did not ask for the election.
func (r *replicator) blockedByLease(m waxwingseam.ReplicaMessage) bool {
	q := m.VoteRequest
	return q != nil && !q.PreVote && !q.Handover && m.Term > r.state.Term && r.withinLeaderLease()
}

// handlePreVote handles the messages of a pre-vote without changing the term,
// and reports whether it did. It leaves a reply with a higher term to the
// caller, which adopts that term, since the election would fail.
func (r *replicator) handlePreVote(m waxwingseam.ReplicaMessage) bool {
	switch {
	case m.VoteRequest != nil && m.VoteRequest.PreVote:
		r.handleVoteRequest(m)
		return true
	case m.VoteReply != nil && m.VoteReply.PreVote && m.Term <= r.state.Term:
		r.handleVoteReply(m.From, *m.VoteReply)
		return true
	}
	return false
}

// answerStaleMessage answers a request of an earlier term with the current
// term.
func (r *replicator) answerStaleMessage(m waxwingseam.ReplicaMessage) {
	switch {
	case m.VoteRequest != nil:
		r.handleVoteRequest(m)
	case m.AppendRequest != nil:
		r.send(m.From, waxwingseam.ReplicaMessage{AppendReply: &waxwingseam.AppendReply{}})
	}
}

// learnerHeartbeatRounds is the interval in rounds between heartbeats to a
// learner that has the whole log. No quorum depends on learners.
const learnerHeartbeatRounds = 2

// sendPeriodicHeartbeats starts the round of heartbeats that is due every
// HeartbeatTicks.
func (r *replicator) sendPeriodicHeartbeats() {
	r.heartbeatElapsed = 0
	r.round++
	r.forEachPeer(func(m waxwingseam.Member) {
		idle := !m.Voter && r.progress[m.Storage].match == r.log.last().Index
		if !idle || r.round%learnerHeartbeatRounds == 0 {
			r.sendAppend(m)
		}
	})
}

// sendHeartbeats starts a round of heartbeats to all members.
func (r *replicator) sendHeartbeats() {
	r.heartbeatElapsed = 0
	r.round++
	r.forEachPeer(r.sendAppend)
}

// sendAppend sends the entries that a member lacks. The append is empty if the
// member lacks none, is being probed or is installing a snapshot. A member that
// lacks compacted entries is sent a snapshot.
func (r *replicator) sendAppend(m waxwingseam.Member) {
	p := r.progress[m.Storage]
	if p.next <= r.log.base.Index {
		r.sendSnapshot(m, p)
	}
	previous := waxwingseam.LogPosition{Index: max(p.next-1, r.log.base.Index)}
	previous.Term, _ = r.log.term(previous.Index)
	var entries []waxwingseam.LogEntry
	if !p.probing && p.snapshotTicks == 0 {
		entries = r.log.entriesFrom(previous.Index+1, r.config.MessageBytes)
	}
	if !p.probing {
		p.next = previous.Index + 1 + waxwingseam.LogIndex(len(entries))
	}
	r.send(m.Storage, waxwingseam.ReplicaMessage{AppendRequest: &waxwingseam.AppendRequest{
		Previous: previous,
		Entries:  entries,
		Commit:   r.commit,
		Round:    r.round,
	}})
}

func (r *replicator) sendSnapshot(m waxwingseam.Member, p *progress) {
	if p.snapshotTicks > 0 || p.silentTicks > r.config.ElectionTicks {
		return
	}
	p.snapshotTicks = snapshotTimeouts * r.config.ElectionTicks
	r.emit(waxwingseam.SendSnapshot{To: m.Storage, Term: r.state.Term})
}

// retrySnapshot allows a snapshot that did not reach a member to be sent again with the next
// round of heartbeats.
func (r *replicator) retrySnapshot(to waxwingseam.StorageID) {
	if p, ok := r.progress[to]; ok {
		p.snapshotTicks = min(p.snapshotTicks, 1)
	}
}

// broadcast sends new entries immediately to the members that are neither being
// probed nor installing a snapshot.
func (r *replicator) broadcast() {
	r.forEachPeer(func(m waxwingseam.Member) {
		p := r.progress[m.Storage]
		if !p.probing && p.snapshotTicks == 0 {
			r.sendAppend(m)
		}
	})
}

// handleAppendRequest handles an append request from the leader of the current
// term.
func (r *replicator) handleAppendRequest(from waxwingseam.StorageID, q waxwingseam.AppendRequest) {
	if r.role == waxwingseam.RoleLeader {
		r.stop(q.Previous.Index, "another leader in the same term")
		return
	}
	if r.role != waxwingseam.RoleFollower || r.leader != from {
		r.becomeFollower(r.state.Term, from)
	}
	r.resetElectionTimer()
	reply := r.acceptEntries(q)
	reply.Round = q.Round
	r.send(from, waxwingseam.ReplicaMessage{AppendReply: &reply})
}

// acceptEntries appends a leader's entries if the log contains the entry before
// them.
func (r *replicator) acceptEntries(q waxwingseam.AppendRequest) waxwingseam.AppendReply {
	q = r.withoutCommitted(q)
	if !r.log.contains(q.Previous) {
		return waxwingseam.AppendReply{Hint: r.conflictHint(q.Previous)}
	}
	for i, e := range q.Entries {
		if r.log.contains(waxwingseam.LogPosition{Index: e.Index, Term: e.Term}) {
			continue
		}
		if e.Index <= r.commit {
			r.stop(e.Index, "the leader contradicts a committed entry")
			return waxwingseam.AppendReply{}
		}
		r.addEntries(q.Entries[i:])
		break
	}
	r.inTouch = true
	match := q.Previous.Index + waxwingseam.LogIndex(len(q.Entries))
	r.commitUpTo(min(q.Commit, match))
	return waxwingseam.AppendReply{Accepted: true, Match: match}
}

// withoutCommitted removes from an append request the entries that this replica
// has committed.
func (r *replicator) withoutCommitted(q waxwingseam.AppendRequest) waxwingseam.AppendRequest {
	if q.Previous.Index >= r.commit {
		return q
	}
	committed := min(int(r.commit-q.Previous.Index), len(q.Entries))
	q.Entries = q.Entries[committed:]
	term, _ := r.log.term(r.commit)
	q.Previous = waxwingseam.LogPosition{Index: r.commit, Term: term}
	return q
}

// conflictHint returns the last entry before a conflicting position that may
// match the leader's log, or the commit index if there is no such entry above
// it.
func (r *replicator) conflictHint(p waxwingseam.LogPosition) waxwingseam.LogIndex {
	i := min(p.Index, r.log.last().Index)
	for i > r.commit {
		term, _ := r.log.term(i)
		if term <= p.Term && i < p.Index {
			return i
		}
		i--
	}
	return r.commit
}

// handleAppendReply handles a follower's reply.
func (r *replicator) handleAppendReply(from waxwingseam.StorageID, v waxwingseam.AppendReply) {
	if r.role != waxwingseam.RoleLeader {
		return
	}
	p, ok := r.progress[from]
	if !ok {
		return
	}
	p.silentTicks = 0
	p.mismatched = false
	p.confirmedRound = max(p.confirmedRound, v.Round)
	r.answerConfirmedReads()
	if !v.Accepted {
		r.handleRejection(from, p, v)
		return
	}
	p.accept(v.Match)
	r.advanceCommit()
	r.promoteCandidate(from)
	if r.role == waxwingseam.RoleLeader {
		r.sendMissingEntries(from)
		r.offerLeadership(from)
	}
}

// handleRejection moves a follower's next entry back and probes again. A
// follower that has lost entries it had accepted is probed only with
// heartbeats.
func (r *replicator) handleRejection(from waxwingseam.StorageID, p *progress, v waxwingseam.AppendReply) {
	if p.snapshotTicks > 0 {
		return
	}
	previous := p.next
	p.reject(v.Hint)
	if p.next < previous {
		r.sendMissingEntries(from)
	}
}

// sendMissingEntries sends the entries that a member still lacks.
func (r *replicator) sendMissingEntries(to waxwingseam.StorageID) {
	m, ok := r.memberships.latest().Member(to)
	if ok && r.progress[to].next <= r.log.last().Index {
		r.sendAppend(m)
	}
}

// advanceCommit commits the entries that are durable at a quorum of the voters. An entry
// of an earlier term is committed only together with one of the current term.
func (r *replicator) advanceCommit() {
	i := r.highest(func(id waxwingseam.StorageID) waxwingseam.LogIndex {
		if id == r.self {
			return r.persisted
		}
		return r.progress[id].match
	})
	if term, ok := r.log.term(i); !ok || term != r.state.Term || i <= r.commit {
		return
	}
	r.inTouch = true
	r.commitUpTo(i)
	r.updateProgress()
	r.answerConfirmedReads()
	r.broadcast()
	r.stepDownIfRemoved()
}

// commitUpTo commits and applies the entries up to an index.
func (r *replicator) commitUpTo(i waxwingseam.LogIndex) {
	if i <= r.commit {
		return
	}
	r.commit = i
	for r.applied < r.commit {
		r.applied++
		r.apply(r.log.at(r.applied))
	}
	r.markSettled()
	r.requestSnapshot()
}

func (r *replicator) apply(e waxwingseam.LogEntry) {
	r.emit(waxwingseam.ApplyEntry{Entry: e, Request: r.requests[e.Index]})
	delete(r.requests, e.Index)
	r.appliedBytes += len(e.Command)
}

// appendCommand appends a proposed command to the leader's log.
func (r *replicator) appendCommand(e waxwingseam.CommandProposed) {
	if !r.acceptsProposals() {
		r.refuse(e.ID, r.notLeaderReason())
		return
	}
	if !r.survivesToleratedLosses() {
		r.refuse(e.ID, waxwingseam.ReasonNoQuorum)
		return
	}
	i := r.append(waxwingseam.LogEntry{Kind: waxwingseam.EntryCommand, Command: e.Command})
	r.requests[i] = e.ID
	r.broadcast()
}

// acceptsProposals reports whether the replica leads and no handover is in
// progress.
func (r *replicator) acceptsProposals() bool {
	return r.role == waxwingseam.RoleLeader && r.handover.remainingTicks == 0
}

func (r *replicator) notLeaderReason() waxwingseam.ReplicaReason {
	if r.leader == "" {
		return waxwingseam.ReasonNoQuorum
	}
	return waxwingseam.ReasonNotLeader
}

func (r *replicator) stop(i waxwingseam.LogIndex, text string) {
	r.emit(waxwingseam.StopReplica{Index: i, Text: text})
}
