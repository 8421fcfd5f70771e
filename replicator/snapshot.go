package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// askSnapshot asks for a snapshot once enough has been applied since the last.
func (r *replicator) askSnapshot() {
	if r.taking || !r.snapshotDue() {
		return
	}
	r.taking = true
	r.emit(waxwingseam.TakeSnapshot{Index: r.applied})
}

func (r *replicator) snapshotDue() bool {
	return r.applied-r.snapshot.Index >= waxwingseam.LogIndex(r.config.SnapshotEntries) ||
		r.appliedBytes >= r.config.SnapshotBytes
}

// compact drops the entries that a snapshot of this replica covers.
func (r *replicator) compact(e waxwingseam.SnapshotTaken) {
	r.taking = false
	r.appliedBytes = 0
	term, ok := r.log.term(e.Index)
	if !ok || e.Index <= r.snapshot.Index {
		return
	}
	r.snapshot = waxwingseam.LogPosition{Index: e.Index, Term: term}
	snapshot := waxwingseam.ReplicaSnapshot{
		LogPosition: r.snapshot,
		Membership:  r.members.at(e.Index),
		Data:        e.Data,
	}
	r.members.compact(e.Index)
	r.log.compact(r.log.keepFrom(e.Index, r.config.KeepEntries, r.config.KeepBytes))
	r.persistSnapshot(snapshot, false)
}

// install takes a leader's snapshot in place of what this replica has.
func (r *replicator) install(e waxwingseam.SnapshotArrived) {
	if e.Term < r.state.Term {
		return
	}
	if e.Term > r.state.Term || r.role != waxwingseam.RoleFollower || r.leader != e.From {
		r.follow(e.Term, e.From)
	}
	r.resetTimeout()
	if e.Snapshot.Index > r.commit {
		r.restore(e.Snapshot)
	}
	r.send(e.From, waxwingseam.ReplicaMessage{AppendReply: &waxwingseam.AppendReply{
		Accepted: true,
		Match:    r.commit,
	}})
}

func (r *replicator) restore(s waxwingseam.ReplicaSnapshot) {
	before := r.members.latest()
	if r.log.holds(s.LogPosition) {
		r.log.compact(s.Index)
	} else {
		r.log.reset(s.LogPosition)
	}
	r.members.reset(s)
	r.members.add(r.log.entries)
	r.snapshot = s.LogPosition
	r.commit = s.Index
	r.applied = s.Index
	r.persisted = r.log.last().Index
	r.taking = false
	r.appliedBytes = 0
	r.persistSnapshot(s, true)
	r.adoptMembership(before)
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
