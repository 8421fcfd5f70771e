// Package replicator decides for one replica of the replicated log: Raft as a
// reducer, after Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm" (2014), with pre-vote, check-quorum, read index and
// single-server membership changes as in Ongaro's thesis (2014).
package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// The defaults of a Config.
const (
	DefaultHeartbeatTicks  = 4
	DefaultElectionTicks   = 16
	DefaultSnapshotEntries = 1024
	DefaultSnapshotBytes   = 32 << 20
	DefaultKeepEntries     = 128
	DefaultKeepBytes       = 4 << 20
	DefaultMessageBytes    = 1 << 20
	// DefaultRetireTicks spans the restart of a host's processes.
	DefaultRetireTicks = 80
)

// Config holds what a replica starts from and its limits.
type Config struct {
	Identity waxwingseam.ReplicaIdentity
	Recovery waxwingseam.Recovery
	// HeartbeatTicks is the time between two heartbeats.
	HeartbeatTicks int
	// ElectionTicks is the least time without a leader before an election, and
	// the longest that a leader goes on without a quorum.
	ElectionTicks int
	// SnapshotEntries and SnapshotBytes bound the entries applied since the
	// last snapshot.
	SnapshotEntries int
	SnapshotBytes   int
	// KeepEntries and KeepBytes bound the entries kept behind a snapshot for
	// followers that lag.
	KeepEntries int
	KeepBytes   int
	// MessageBytes bounds the commands in one message, but for a single
	// larger one.
	MessageBytes int
	// Tolerated is how many replicas may lose their disks at once. Commands are
	// taken in only while a quorum is larger than that, and voters beyond twice
	// that and one give way once they are silent; 0 for neither.
	Tolerated int
	// RetireTicks is how long such a voter is silent before.
	RetireTicks int
}

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.KeepBytes, DefaultKeepBytes)
	setDefault(&c.MessageBytes, DefaultMessageBytes)
	setDefault(&c.RetireTicks, DefaultRetireTicks)
	return c
}

func setDefault(v *int, value int) {
	if *v == 0 {
		*v = value
	}
}

type replicator struct {
	config  Config
	self    waxwingseam.StorageID
	log     *log
	members *membershipLog

	state  waxwingseam.ReplicaState
	role   waxwingseam.ReplicaRole
	leader waxwingseam.StorageID
	// elapsed counts the ticks since the leader was heard, or since an
	// election began; timeout is when the next election begins;
	// it is 0 until the first tick.
	elapsed int
	timeout int

	commit    waxwingseam.LogIndex
	applied   waxwingseam.LogIndex
	persisted waxwingseam.LogIndex
	snapshot  waxwingseam.LogPosition
	// appliedBytes counts the commands applied since the last snapshot.
	appliedBytes int
	// taking is set while the state machine's snapshot is awaited.
	taking bool

	votes    map[waxwingseam.StorageID]bool
	progress map[waxwingseam.StorageID]*progress
	// requests are the local requests whose entries are in a leader's log.
	requests map[waxwingseam.LogIndex]waxwingseam.RequestID
	reads    []read
	round    uint64
	handover handover
	// beat counts the ticks since the last round of heartbeats.
	beat int

	output output
}

// output collects the effects of one event.
type output struct {
	random   uint64
	durable  waxwingseam.ReplicaState
	appended []waxwingseam.LogEntry
	effects  []waxwingseam.Effect
}

// New returns a replica in the state that its journal held.
func New(config Config) waxwingseam.Replicator {
	config = config.withDefaults()
	recovery := config.Recovery
	r := &replicator{
		config:   config,
		self:     config.Identity.Storage,
		log:      newLog(recovery.Base, recovery.Entries),
		members:  newMembershipLog(recovery.Snapshot, recovery.Entries),
		state:    recovery.State,
		role:     waxwingseam.RoleFollower,
		commit:   recovery.Snapshot.Index,
		applied:  recovery.Snapshot.Index,
		snapshot: recovery.Snapshot.LogPosition,
		requests: map[waxwingseam.LogIndex]waxwingseam.RequestID{},
	}
	r.output.durable = r.state
	r.persisted = r.log.last().Index
	return r
}

// Reduce implements waxwingseam.Reducer.
func (r *replicator) Reduce(e waxwingseam.Event) []waxwingseam.Effect {
	r.output.random = e.Stamped().Random
	r.output.effects = nil
	r.output.appended = nil
	switch v := e.(type) {
	case waxwingseam.ReplicaTicked:
		r.tick()
	case waxwingseam.ReplicaMessageArrived:
		r.receive(v.Message)
	case waxwingseam.SnapshotArrived:
		r.install(v)
	case waxwingseam.SnapshotTaken:
		r.compact(v)
	case waxwingseam.ReplicaPersisted:
		r.markPersisted(v)
	case waxwingseam.CommandProposed:
		r.propose(v)
	case waxwingseam.MembershipProposed:
		r.proposeMembership(v)
	case waxwingseam.ReadAsked:
		r.askRead(v)
	case waxwingseam.HandoverAsked:
		r.handOver()
	}
	return r.finish()
}

// finish puts what must be durable in front of the other effects.
func (r *replicator) finish() []waxwingseam.Effect {
	if r.output.durable == r.state && len(r.output.appended) == 0 {
		return r.output.effects
	}
	persist := waxwingseam.PersistReplica{
		State:   r.state,
		Entries: r.output.appended,
	}
	r.output.durable = r.state
	return append([]waxwingseam.Effect{persist}, r.output.effects...)
}

func (r *replicator) emit(e waxwingseam.Effect) {
	r.output.effects = append(r.output.effects, e)
}

// send addresses a message and emits it.
func (r *replicator) send(to waxwingseam.StorageID, m waxwingseam.ReplicaMessage) {
	m.From = r.self
	m.To = to
	m.Term = r.state.Term
	early := m.AppendRequest != nil
	r.emit(waxwingseam.SendReplicaMessage{Message: m, BeforePersist: early})
}

// others calls f for each member but this replica, in a fixed order.
func (r *replicator) others(f func(m waxwingseam.Member)) {
	for _, m := range r.members.latest().Members {
		if m.Storage != r.self {
			f(m)
		}
	}
}

// append adds an entry to the leader's own log.
func (r *replicator) append(e waxwingseam.LogEntry) waxwingseam.LogIndex {
	e.Index = r.log.last().Index + 1
	e.Term = r.state.Term
	r.addEntries([]waxwingseam.LogEntry{e})
	return e.Index
}

// addEntries puts entries into the log, in place of those from the first on.
func (r *replicator) addEntries(entries []waxwingseam.LogEntry) {
	first := entries[0].Index
	r.persisted = min(r.persisted, first-1)
	before := r.members.latest()
	r.members.truncate(first)
	r.log.replace(entries)
	r.members.add(entries)
	r.output.appended = append(r.output.appended, entries...)
	r.adoptMembership(before)
}

// markPersisted counts the leader's own entries, and a candidate's own vote,
// only once they are durable.
func (r *replicator) markPersisted(e waxwingseam.ReplicaPersisted) {
	r.persisted = min(e.Last, r.log.last().Index)
	if r.role == waxwingseam.RoleCandidate && e.State == r.state {
		r.countVote(r.self, true)
		return
	}
	if r.role == waxwingseam.RoleLeader {
		r.advanceCommit()
	}
}
