package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// requestSnapshot requests a snapshot of the state machine once enough entries
// have been applied since the last one.
func (r *replicator) requestSnapshot() {
	if r.snapshotPending || !r.snapshotDue() {
		return
	}
	r.snapshotPending = true
	r.emit(waxwingseam.TakeSnapshot{Index: r.applied})
}

func (r *replicator) snapshotDue() bool {
	return r.applied-r.snapshot.Index >= waxwingseam.LogIndex(r.config.SnapshotEntries) ||
		r.appliedBytes >= r.config.SnapshotBytes
}

// compactLog persists a snapshot taken by this replica and drops the entries
// that it covers, except for those kept for lagging followers.
func (r *replicator) compactLog(e waxwingseam.SnapshotTaken) {
	r.snapshotPending = false
	r.appliedBytes = 0
	term, ok := r.log.term(e.Index)
	if !ok || e.Index <= r.snapshot.Index {
		return
	}
	r.snapshot = waxwingseam.LogPosition{Index: e.Index, Term: term}
	snapshot := waxwingseam.ReplicaSnapshot{
		LogPosition: r.snapshot,
		Membership:  r.memberships.at(e.Index),
		Data:        e.Data,
	}
	r.memberships.compact(e.Index)
	r.log.compact(r.log.compactionIndex(e.Index, r.config.KeepEntries, r.config.KeepBytes))
	r.persistSnapshot(snapshot, false)
}

// installSnapshot replaces the log and the state of this replica with a
// leader's snapshot, unless the snapshot is older than what is committed here.
func (r *replicator) installSnapshot(e waxwingseam.SnapshotArrived) {
	if e.Term < r.state.Term {
		return
	}
	if e.Term > r.state.Term || r.role != waxwingseam.RoleFollower || r.leader != e.From {
		r.becomeFollower(e.Term, e.From)
	}
	r.resetElectionTimer()
	if e.Snapshot.Index > r.commit {
		r.restoreSnapshot(e.Snapshot)
	}
	r.send(e.From, waxwingseam.ReplicaMessage{AppendReply: &waxwingseam.AppendReply{
		Accepted: true,
		Match:    r.commit,
	}})
}

func (r *replicator) restoreSnapshot(s waxwingseam.ReplicaSnapshot) {
	previous := r.memberships.latest()
	if r.log.contains(s.LogPosition) {
		r.log.compact(s.Index)
	} else {
		r.log.reset(s.LogPosition)
	}
	r.memberships.reset(s)
	r.memberships.add(r.log.entries)
	r.snapshot = s.LogPosition
	r.commit = s.Index
	r.applied = s.Index
	r.persisted = r.log.last().Index
	r.snapshotPending = false
	r.appliedBytes = 0
	r.persistSnapshot(s, true)
	r.adoptMembership(previous)
}

func (r *replicator) persistSnapshot(s waxwingseam.ReplicaSnapshot, restore bool) {
	r.output.durable = r.state
	r.emit(waxwingseam.PersistSnapshot{
		State:    r.state,
		Snapshot: s,
		Base:     r.log.base,
		Entries:  r.log.entries,
		Restore:  restore,
	})
}
