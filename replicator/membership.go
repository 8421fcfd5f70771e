package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// membershipLog keeps the memberships in the log; the latest is in force,
// committed or not.
type membershipLog struct {
	versions []membershipVersion
}

type membershipVersion struct {
	index      waxwingseam.LogIndex
	membership waxwingseam.Membership
}

func newMembershipLog(s waxwingseam.ReplicaSnapshot, entries []waxwingseam.LogEntry) *membershipLog {
	l := &membershipLog{}
	l.reset(s)
	l.add(entries)
	return l
}

func (l *membershipLog) reset(s waxwingseam.ReplicaSnapshot) {
	l.versions = []membershipVersion{{index: s.Index, membership: s.Membership}}
}

// add takes in the memberships among entries that go on from the log.
func (l *membershipLog) add(entries []waxwingseam.LogEntry) {
	for _, e := range entries {
		if e.Kind == waxwingseam.EntryMembership && e.Index > l.versions[0].index {
			l.versions = append(l.versions, membershipVersion{index: e.Index, membership: *e.Membership})
		}
	}
}

// truncate forgets the memberships from an index on.
func (l *membershipLog) truncate(i waxwingseam.LogIndex) {
	n := len(l.versions)
	for n > 1 && l.versions[n-1].index >= i {
		n--
	}
	l.versions = l.versions[:n]
}

func (l *membershipLog) latest() waxwingseam.Membership {
	return l.versions[len(l.versions)-1].membership
}

// changed returns the index of the latest membership.
func (l *membershipLog) changed() waxwingseam.LogIndex {
	return l.versions[len(l.versions)-1].index
}

// at returns the membership that was in force at an index.
func (l *membershipLog) at(i waxwingseam.LogIndex) waxwingseam.Membership {
	return l.since(i)[0]
}

// since returns the membership that was in force at an index, and all later
// ones.
func (l *membershipLog) since(i waxwingseam.LogIndex) []waxwingseam.Membership {
	n := len(l.versions) - 1
	for n > 0 && l.versions[n].index > i {
		n--
	}
	out := make([]waxwingseam.Membership, 0, len(l.versions)-n)
	for _, v := range l.versions[n:] {
		out = append(out, v.membership)
	}
	return out
}

// compact forgets the memberships that a later one up to an index replaced.
func (l *membershipLog) compact(i waxwingseam.LogIndex) {
	for len(l.versions) > 1 && l.versions[1].index <= i {
		l.versions = l.versions[1:]
	}
}

// proposeMembership appends another membership to the leader's log.
func (r *replicator) proposeMembership(e waxwingseam.MembershipProposed) {
	if !r.appends() {
		r.refuse(e.ID, r.whyNotLeader())
		return
	}
	next, reason := r.changed(e.Change)
	if reason != "" {
		r.refuse(e.ID, reason)
		return
	}
	if next == nil {
		r.emit(waxwingseam.AnswerRequest{ID: e.ID, Index: r.commit})
		return
	}
	if r.changePending() {
		r.refuse(e.ID, waxwingseam.ReasonChangePending)
		return
	}
	if !r.servable(*next) {
		r.refuse(e.ID, waxwingseam.ReasonQuorumAtRisk)
		return
	}
	i := r.appendMembership(*next)
	r.requests[i] = e.ID
}

func (r *replicator) appendMembership(m waxwingseam.Membership) waxwingseam.LogIndex {
	i := r.append(waxwingseam.LogEntry{Kind: waxwingseam.EntryMembership, Membership: &m})
	r.broadcast()
	return i
}

// changePending reports whether a membership change must wait: for the last
// one, and for the leader's first committed entry (Ongaro's correction of
// single-server changes).
func (r *replicator) changePending() bool {
	term, ok := r.log.term(r.commit)
	return !ok || term != r.state.Term || r.members.changed() > r.commit
}

// servable reports whether enough voters of a membership have answered lately
// to accept anything under it. Without that, a removal while another voter's
// disk is lost would leave the log without a quorum for good.
func (r *replicator) servable(m waxwingseam.Membership) bool {
	n := 0
	for _, v := range m.Members {
		p := r.progress[v.Storage]
		answers := p != nil && p.round > 0 && p.silent <= r.config.ElectionTicks
		if v.Voter && (v.Storage == r.self || answers) {
			n++
		}
	}
	return n >= m.Quorum()
}

// changed returns the membership after a change; nil when it alters nothing.
func (r *replicator) changed(c waxwingseam.MembershipChange) (*waxwingseam.Membership, waxwingseam.ReplicaReason) {
	switch c.Kind {
	case waxwingseam.ChangeAddLearner:
		return r.withLearner(c.Member)
	case waxwingseam.ChangePromote:
		return r.withVoter(c.Member.Storage)
	case waxwingseam.ChangeRemove:
		return r.without(c.Member.Storage)
	}
	return nil, waxwingseam.ReasonBadChange
}

// withLearner adds a replica, or gives a known one its new address. A replica
// that comes with another storage has lost its disk: the old storage goes, and
// with it its vote.
func (r *replicator) withLearner(m waxwingseam.Member) (*waxwingseam.Membership, waxwingseam.ReplicaReason) {
	if m.Storage == "" || m.Replica == "" {
		return nil, waxwingseam.ReasonBadChange
	}
	m.Voter = false
	next := r.members.latest()
	old, known := next.Replica(m.Replica)
	switch {
	case !known:
	case old.Storage == m.Storage:
		return r.withAddress(old, m)
	case !r.silent(old.Storage):
		return nil, waxwingseam.ReasonReplicaInUse
	case old.Voter && next.Voters() == 1:
		return nil, waxwingseam.ReasonBadChange
	default:
		next = next.Without(old.Storage)
	}
	next = next.With(m)
	return &next, ""
}

// withAddress keeps a member's standing and takes its new address.
func (r *replicator) withAddress(old, m waxwingseam.Member) (*waxwingseam.Membership, waxwingseam.ReplicaReason) {
	if old.Address == m.Address {
		return nil, ""
	}
	old.Address = m.Address
	next := r.members.latest().With(old)
	return &next, ""
}

// silent reports whether a member has not answered for an election timeout.
func (r *replicator) silent(id waxwingseam.StorageID) bool {
	p, ok := r.progress[id]
	return ok && p.silent > r.config.ElectionTicks
}

// withVoter promotes a learner that holds all that is committed.
func (r *replicator) withVoter(id waxwingseam.StorageID) (*waxwingseam.Membership, waxwingseam.ReplicaReason) {
	m, ok := r.members.latest().Member(id)
	switch {
	case !ok:
		return nil, waxwingseam.ReasonBadChange
	case m.Voter:
		return nil, ""
	case r.progress[id].match < r.commit:
		return nil, waxwingseam.ReasonLearnerBehind
	}
	m.Voter = true
	m.Candidate = false
	next := r.members.latest().With(m)
	return &next, ""
}

func (r *replicator) without(id waxwingseam.StorageID) (*waxwingseam.Membership, waxwingseam.ReplicaReason) {
	m, ok := r.members.latest().Member(id)
	if !ok {
		return nil, ""
	}
	next := r.members.latest().Without(id)
	if m.Voter && next.Voters() == 0 {
		return nil, waxwingseam.ReasonBadChange
	}
	return &next, ""
}

// promoteCandidate promotes a learner that asked to vote once it holds all
// that is committed.
func (r *replicator) promoteCandidate(id waxwingseam.StorageID) {
	if !r.appends() {
		return
	}
	m, _ := r.members.latest().Member(id)
	if !m.Candidate || m.Voter || r.changePending() {
		return
	}
	next, reason := r.withVoter(id)
	if next != nil && reason == "" && r.servable(*next) {
		r.appendMembership(*next)
	}
}

// adoptMembership keeps the progress of members only, and tells the runner.
func (r *replicator) adoptMembership(before waxwingseam.Membership) {
	now := r.members.latest()
	if sameMembers(before, now) {
		return
	}
	r.emit(waxwingseam.AdoptMembership{Membership: now})
	if r.role != waxwingseam.RoleLeader {
		return
	}
	for id := range r.progress {
		if _, ok := now.Member(id); !ok {
			delete(r.progress, id)
		}
	}
	r.others(func(m waxwingseam.Member) {
		if r.progress[m.Storage] == nil {
			r.progress[m.Storage] = newProgress(r.log.last().Index)
		}
	})
}

func sameMembers(a, b waxwingseam.Membership) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for i := range a.Members {
		if a.Members[i] != b.Members[i] {
			return false
		}
	}
	return true
}

// leaveIfRemoved ends a leadership whose own removal is committed.
func (r *replicator) leaveIfRemoved() {
	if r.members.changed() <= r.commit && !r.members.latest().IsVoter(r.self) {
		r.follow(r.state.Term, "")
	}
}
