package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// snapshotTicks is how many election timeouts a follower has to install a
// snapshot before it is sent again.
const snapshotTicks = 8

// receive handles a message from another replica.
func (r *replicator) receive(m waxwingseam.ReplicaMessage) {
	if m.To != r.self || r.ignored(m) {
		return
	}
	if q := m.AppendRequest; q != nil && !waxwingseam.ValidEntriesAfter(q.Previous, q.Entries) {
		return
	}
	if r.trial(m) {
		return
	}
	if m.Term > r.state.Term {
		r.follow(m.Term, "")
	}
	if m.Term < r.state.Term {
		r.answerOutdated(m)
		return
	}
	switch {
	case m.VoteRequest != nil:
		r.answerVote(m)
	case m.VoteReply != nil:
		r.receiveVote(m.From, *m.VoteReply)
	case m.AppendRequest != nil:
		r.answerAppend(m.From, *m.AppendRequest)
	case m.AppendReply != nil:
		r.receiveAppended(m.From, *m.AppendReply)
	case m.Handover != nil:
		r.takeOver(m.From)
	}
}

// ignored reports whether a message must not even raise the term: a real vote
// request within the lease of a leader that did not ask for it.
func (r *replicator) ignored(m waxwingseam.ReplicaMessage) bool {
	q := m.VoteRequest
	return q != nil && !q.PreVote && !q.Handover && m.Term > r.state.Term && r.leased()
}

// trial handles the messages of a pre-vote, which raises a term only where the
// election would fail for it.
func (r *replicator) trial(m waxwingseam.ReplicaMessage) bool {
	switch {
	case m.VoteRequest != nil && m.VoteRequest.PreVote:
		r.answerVote(m)
		return true
	case m.VoteReply != nil && m.VoteReply.PreVote && m.Term <= r.state.Term:
		r.receiveVote(m.From, *m.VoteReply)
		return true
	}
	return false
}

// answerOutdated tells the sender of an older term about the present one.
func (r *replicator) answerOutdated(m waxwingseam.ReplicaMessage) {
	switch {
	case m.VoteRequest != nil:
		r.answerVote(m)
	case m.AppendRequest != nil:
		r.send(m.From, waxwingseam.ReplicaMessage{AppendReply: &waxwingseam.AppendReply{}})
	}
}

// beatLearnersEvery is how many rounds of heartbeats share one to the learners
// that lack nothing, since no quorum depends on them.
const beatLearnersEvery = 2

// beatMembers starts a round as a leader's time goes on.
func (r *replicator) beatMembers() {
	r.beat = 0
	r.round++
	r.others(func(m waxwingseam.Member) {
		rests := !m.Voter && r.progress[m.Storage].match == r.log.last().Index
		if !rests || r.round%beatLearnersEvery == 0 {
			r.sendAppend(m)
		}
	})
}

// heartbeat starts a round and sends to all members.
func (r *replicator) heartbeat() {
	r.beat = 0
	r.round++
	r.others(r.sendAppend)
}

// sendAppend sends the entries that a member lacks, or an empty append.
// Entries go to a member only while it answers.
func (r *replicator) sendAppend(m waxwingseam.Member) {
	p := r.progress[m.Storage]
	if p.next <= r.log.base.Index {
		r.sendSnapshot(m, p)
	}
	previous := waxwingseam.LogPosition{Index: max(p.next-1, r.log.base.Index)}
	previous.Term, _ = r.log.term(previous.Index)
	var entries []waxwingseam.LogEntry
	if !p.probing && p.snapshot == 0 {
		entries = r.log.from(previous.Index+1, r.config.MessageBytes)
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
	if p.snapshot > 0 || p.silent > r.config.ElectionTicks {
		return
	}
	p.snapshot = snapshotTicks * r.config.ElectionTicks
	r.emit(waxwingseam.SendSnapshot{To: m.Storage, Term: r.state.Term})
}

// broadcast sends new entries at once to the members that follow closely.
func (r *replicator) broadcast() {
	r.others(func(m waxwingseam.Member) {
		p := r.progress[m.Storage]
		if !p.probing && p.snapshot == 0 {
			r.sendAppend(m)
		}
	})
}

// answerAppend takes entries from the leader of the term.
func (r *replicator) answerAppend(from waxwingseam.StorageID, q waxwingseam.AppendRequest) {
	if r.role == waxwingseam.RoleLeader {
		r.stop(q.Previous.Index, "another leader in the same term")
		return
	}
	if r.role != waxwingseam.RoleFollower || r.leader != from {
		r.follow(r.state.Term, from)
	}
	r.resetTimeout()
	reply := r.take(q)
	reply.Round = q.Round
	r.send(from, waxwingseam.ReplicaMessage{AppendReply: &reply})
}

// take puts a leader's entries into the log where they fit.
func (r *replicator) take(q waxwingseam.AppendRequest) waxwingseam.AppendReply {
	q = r.trimmed(q)
	if !r.log.holds(q.Previous) {
		return waxwingseam.AppendReply{Hint: r.hint(q.Previous)}
	}
	for i, e := range q.Entries {
		if r.log.holds(waxwingseam.LogPosition{Index: e.Index, Term: e.Term}) {
			continue
		}
		if e.Index <= r.commit {
			r.stop(e.Index, "the leader contradicts a committed entry")
			return waxwingseam.AppendReply{}
		}
		r.addEntries(q.Entries[i:])
		break
	}
	match := q.Previous.Index + waxwingseam.LogIndex(len(q.Entries))
	r.commitUpTo(min(q.Commit, match))
	return waxwingseam.AppendReply{Accepted: true, Match: match}
}

// trimmed drops the entries that are committed here.
func (r *replicator) trimmed(q waxwingseam.AppendRequest) waxwingseam.AppendRequest {
	if q.Previous.Index >= r.commit {
		return q
	}
	known := min(int(r.commit-q.Previous.Index), len(q.Entries))
	q.Entries = q.Entries[known:]
	term, _ := r.log.term(r.commit)
	q.Previous = waxwingseam.LogPosition{Index: r.commit, Term: term}
	return q
}

// hint returns the last entry that may be equal to the leader's, at or before
// a position that differs.
func (r *replicator) hint(p waxwingseam.LogPosition) waxwingseam.LogIndex {
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

// receiveAppended takes in a follower's answer.
func (r *replicator) receiveAppended(from waxwingseam.StorageID, v waxwingseam.AppendReply) {
	if r.role != waxwingseam.RoleLeader {
		return
	}
	p, ok := r.progress[from]
	if !ok {
		return
	}
	p.silent = 0
	p.round = max(p.round, v.Round)
	r.releaseReads()
	if !v.Accepted {
		r.stepBack(from, p, v)
		return
	}
	p.accept(v.Match)
	r.advanceCommit()
	r.promoteCandidate(from)
	if r.role == waxwingseam.RoleLeader {
		r.sendMore(from)
		r.offerLeadership(from)
	}
}

// stepBack finds where a follower's log goes on. One that lacks what it had
// accepted is asked no faster than by heartbeats.
func (r *replicator) stepBack(from waxwingseam.StorageID, p *progress, v waxwingseam.AppendReply) {
	if p.snapshot > 0 {
		return
	}
	before := p.next
	p.reject(v.Hint)
	if p.next < before {
		r.sendMore(from)
	}
}

// sendMore sends what a member still lacks.
func (r *replicator) sendMore(to waxwingseam.StorageID) {
	m, ok := r.members.latest().Member(to)
	if ok && r.progress[to].next <= r.log.last().Index {
		r.sendAppend(m)
	}
}

// advanceCommit commits what a majority holds durably; an entry of an earlier
// term only together with one of this term.
func (r *replicator) advanceCommit() {
	var matches []waxwingseam.LogIndex
	for _, m := range r.members.latest().Members {
		switch {
		case !m.Voter:
		case m.Storage == r.self:
			matches = append(matches, r.persisted)
		default:
			matches = append(matches, r.progress[m.Storage].match)
		}
	}
	i := quorumMatch(matches)
	if term, ok := r.log.term(i); !ok || term != r.state.Term || i <= r.commit {
		return
	}
	r.commitUpTo(i)
	r.releaseReads()
	r.broadcast()
	r.leaveIfRemoved()
}

// commitUpTo applies the entries up to an index.
func (r *replicator) commitUpTo(i waxwingseam.LogIndex) {
	if i <= r.commit {
		return
	}
	r.commit = i
	for r.applied < r.commit {
		r.applied++
		r.apply(r.log.at(r.applied))
	}
	r.askSnapshot()
}

func (r *replicator) apply(e waxwingseam.LogEntry) {
	r.emit(waxwingseam.ApplyEntry{Entry: e, Request: r.requests[e.Index]})
	delete(r.requests, e.Index)
	r.appliedBytes += len(e.Command)
}

// propose appends a command to the leader's log.
func (r *replicator) propose(e waxwingseam.CommandProposed) {
	if !r.appends() {
		r.refuse(e.ID, r.whyNotLeader())
		return
	}
	if !r.copied() {
		r.refuse(e.ID, waxwingseam.ReasonNoQuorum)
		return
	}
	i := r.append(waxwingseam.LogEntry{Kind: waxwingseam.EntryCommand, Command: e.Command})
	r.requests[i] = e.ID
	r.broadcast()
}

// appends reports whether the replica takes new entries.
func (r *replicator) appends() bool {
	return r.role == waxwingseam.RoleLeader && r.handover.ticks == 0
}

func (r *replicator) whyNotLeader() waxwingseam.ReplicaReason {
	if r.leader == "" {
		return waxwingseam.ReasonNoQuorum
	}
	return waxwingseam.ReasonNotLeader
}

func (r *replicator) stop(i waxwingseam.LogIndex, text string) {
	r.emit(waxwingseam.StopReplica{Index: i, Text: text})
}
