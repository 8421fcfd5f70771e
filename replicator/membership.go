package replicator

import (
	"maps"

	"waxwingseam.example/waxwingseam"
)

// membershipHistory holds the memberships in the log. The latest one is in
// force, even before it is committed.
type membershipHistory struct {
	versions []membershipVersion
}

type membershipVersion struct {
	index      waxwingseam.LogIndex
	membership waxwingseam.Membership
}

func newMembershipHistory(s waxwingseam.ReplicaSnapshot, entries []waxwingseam.LogEntry) *membershipHistory {
	l := &membershipHistory{}
	l.reset(s)
	l.add(entries)
	return l
}

func (l *membershipHistory) reset(s waxwingseam.ReplicaSnapshot) {
	l.versions = []membershipVersion{{index: s.Index, membership: s.Membership}}
}

// add records the memberships among entries that are appended to the log.
func (l *membershipHistory) add(entries []waxwingseam.LogEntry) {
	for _, e := range entries {
		if e.Kind == waxwingseam.EntryMembership && e.Index > l.versions[0].index {
			l.versions = append(l.versions, membershipVersion{index: e.Index, membership: *e.Membership})
		}
	}
}

// truncate drops the memberships from an index on.
func (l *membershipHistory) truncate(i waxwingseam.LogIndex) {
	n := len(l.versions)
	for n > 1 && l.versions[n-1].index >= i {
		n--
	}
	l.versions = l.versions[:n]
}

func (l *membershipHistory) latest() waxwingseam.Membership {
	return l.versions[len(l.versions)-1].membership
}

// previous returns the membership before the latest one; false if it is not known.
func (l *membershipHistory) previous() (waxwingseam.Membership, bool) {
	if len(l.versions) < 2 {
		return waxwingseam.Membership{}, false
	}
	return l.versions[len(l.versions)-2].membership, true
}

// latestIndex returns the index of the latest membership.
func (l *membershipHistory) latestIndex() waxwingseam.LogIndex {
	return l.versions[len(l.versions)-1].index
}

// at returns the membership that was in force at an index.
func (l *membershipHistory) at(i waxwingseam.LogIndex) waxwingseam.Membership {
	return l.since(i)[0]
}

// since returns the membership that was in force at an index, and all later
// ones.
func (l *membershipHistory) since(i waxwingseam.LogIndex) []waxwingseam.Membership {
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

// compact drops the memberships that were replaced at or before an index.
func (l *membershipHistory) compact(i waxwingseam.LogIndex) {
	for len(l.versions) > 1 && l.versions[1].index <= i {
		l.versions = l.versions[1:]
	}
}

// proposeMembership appends the membership that results from a change to the
// leader's log.
func (r *replicator) proposeMembership(e waxwingseam.MembershipProposed) {
	if !r.acceptsProposals() {
		r.refuse(e.ID, r.notLeaderReason())
		return
	}
	next, reason := r.membershipAfter(e.Change)
	if reason != "" {
		r.refuse(e.ID, reason)
		return
	}
	if next == nil && r.memberships.latestIndex() <= r.commit {
		r.emit(waxwingseam.AnswerRequest{ID: e.ID, Index: r.commit})
		return
	}
	if next == nil || r.changePending() {
		r.refuse(e.ID, waxwingseam.ReasonChangePending)
		return
	}
	if !r.hasResponsiveQuorum(*next) {
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

// changePending reports whether a membership change must wait until the
// previous one is committed, or until the leader has committed an entry of its
// own term (Ongaro's correction of single-server changes).
func (r *replicator) changePending() bool {
	term, ok := r.log.term(r.commit)
	return !ok || term != r.state.Term || r.memberships.latestIndex() > r.commit
}

// hasResponsiveQuorum reports whether a quorum of the voters of the next membership
// has replied within ElectionTicks, and one of the latest membership if that must agree to the
// change. Without this check, a removal while another voter's disk is lost could leave the log
// without a quorum permanently.
func (r *replicator) hasResponsiveQuorum(next waxwingseam.Membership) bool {
	responds := func(id waxwingseam.StorageID) bool {
		p := r.progress[id]
		return id == r.self || p != nil && p.confirmedRound > 0 && !p.isSilent(r.config.ElectionTicks)
	}
	latest := r.memberships.latest()
	if r.config.ToleratedLosses > 0 && latest.Voters()%2 == 0 && countVoters(latest, responds) < latest.Quorum() {
		return false
	}
	return countVoters(next, responds) >= next.Quorum()
}

// membershipAfter returns the membership after a change, or nil if the change
// alters nothing. A reason is returned if the change is not possible.
func (r *replicator) membershipAfter(c waxwingseam.MembershipChange) (*waxwingseam.Membership, waxwingseam.ReplicaReason) {
	switch c.Kind {
	case waxwingseam.ChangeAddLearner:
		return r.withLearner(c.Member)
	case waxwingseam.ChangePromote:
		return r.withVoter(c.Member.Storage)
	case waxwingseam.ChangeRemove:
		return r.without(c.Member.Storage)
	case waxwingseam.ChangeRetire:
		if r.hasSurplusVoter() {
			return r.without(c.Member.Storage)
		}
		return nil, ""
	}
	return nil, waxwingseam.ReasonBadChange
}

// withLearner returns the membership in which a replica is added as a learner,
// or in which a known replica has a new address. A known replica with a new
// storage has lost its disk: its old storage is removed, and so is its vote.
func (r *replicator) withLearner(m waxwingseam.Member) (*waxwingseam.Membership, waxwingseam.ReplicaReason) {
	if m.Storage == "" || m.Replica == "" {
		return nil, waxwingseam.ReasonBadChange
	}
	m.Voter = false
	next := r.memberships.latest()
	old, known := next.Replica(m.Replica)
	switch {
	case !known:
	case old.Storage == m.Storage:
		return r.withAddress(old, m)
	case !r.isSilent(old.Storage):
		return nil, waxwingseam.ReasonReplicaInUse
	case old.Voter && next.Voters() == 1:
		return nil, waxwingseam.ReasonBadChange
	default:
		next = next.Without(old.Storage)
	}
	next = next.With(m)
	return &next, ""
}

// withAddress returns the membership in which a member has a new address and
// its old role.
func (r *replicator) withAddress(old, m waxwingseam.Member) (*waxwingseam.Membership, waxwingseam.ReplicaReason) {
	if old.Address == m.Address {
		return nil, ""
	}
	old.Address = m.Address
	next := r.memberships.latest().With(old)
	return &next, ""
}

// isSilent reports whether a member has not replied for more than
// ElectionTicks, or its storage is not at its address any more.
func (r *replicator) isSilent(id waxwingseam.StorageID) bool {
	p, ok := r.progress[id]
	return ok && p.isSilent(r.config.ElectionTicks)
}

// withVoter returns the membership in which a learner is a voter. The learner
// must have all committed entries.
func (r *replicator) withVoter(id waxwingseam.StorageID) (*waxwingseam.Membership, waxwingseam.ReplicaReason) {
	m, ok := r.memberships.latest().Member(id)
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
	next := r.memberships.latest().With(m)
	return &next, ""
}

func (r *replicator) without(id waxwingseam.StorageID) (*waxwingseam.Membership, waxwingseam.ReplicaReason) {
	m, ok := r.memberships.latest().Member(id)
	if !ok {
		return nil, ""
	}
	next := r.memberships.latest().Without(id)
	if m.Voter && next.Voters() == 0 {
		return nil, waxwingseam.ReasonBadChange
	}
	return &next, ""
}

// promoteCandidate promotes a learner that is a candidate for voting once it
// has all committed entries.
func (r *replicator) promoteCandidate(id waxwingseam.StorageID) {
	if !r.acceptsProposals() {
		return
	}
	m, _ := r.memberships.latest().Member(id)
	if !m.Candidate || m.Voter || r.changePending() {
		return
	}
	next, reason := r.withVoter(id)
	if next != nil && reason == "" && r.hasResponsiveQuorum(*next) {
		r.appendMembership(*next)
	}
}

// adoptMembership emits the latest membership if it differs from the previous
// one. At a leader it also adds and removes the progress of members.
func (r *replicator) adoptMembership(previous waxwingseam.Membership) {
	current := r.memberships.latest()
	if sameMembers(previous, current) {
		return
	}
	r.emit(waxwingseam.AdoptMembership{Membership: current})
	r.updateProgress()
}

// updateProgress adds and removes the progress of members at a leader.
func (r *replicator) updateProgress() {
	if r.role != waxwingseam.RoleLeader {
		return
	}
	peers := map[waxwingseam.StorageID]bool{}
	r.forEachPeer(func(m waxwingseam.Member) {
		peers[m.Storage] = true
		if r.progress[m.Storage] == nil {
			r.progress[m.Storage] = newProgress(r.log.last().Index)
		}
	})
	maps.DeleteFunc(r.progress, func(id waxwingseam.StorageID, _ *progress) bool { return !peers[id] })
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

// stepDownIfRemoved ends the leadership once the removal of this replica, or of
// its vote, is committed.
func (r *replicator) stepDownIfRemoved() {
	if r.memberships.latestIndex() <= r.commit && !r.memberships.latest().IsVoter(r.self) {
		r.becomeFollower(r.state.Term, "")
	}
}
