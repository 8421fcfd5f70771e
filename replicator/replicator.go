// Package replicator implements Raft as a reducer for one replica of the
// replicated log. It follows Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm" (2014), with pre-vote, check-quorum, read
// index and single-server membership changes as in Ongaro's thesis (2014).
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
	// DefaultRemovalTicks is shorter than the time in which a replica joins, less that of an
	// election, so that two hosts that are replaced in turn do not both count.
	DefaultRemovalTicks = 32
)

// Config holds the identity, the recovered state and the limits of a replica.
// Limits of 0 are replaced by the defaults, except ToleratedLosses.
type Config struct {
	Identity waxwingseam.ReplicaIdentity
	Recovery waxwingseam.Recovery
	// HeartbeatTicks is the number of ticks between two heartbeats.
	HeartbeatTicks int
	// ElectionTicks is the minimum number of ticks without a leader before an
	// election, and the maximum number for which a leader stays in its role
	// without a quorum. An election may begin earlier after a start or at the
	// leader's request.
	ElectionTicks int
	// SnapshotEntries and SnapshotBytes bound the entries that are applied
	// before a new snapshot is requested.
	SnapshotEntries int
	SnapshotBytes   int
	// KeepEntries and KeepBytes bound the entries that a snapshot covers and
	// that stay in the log for followers that lag behind.
	KeepEntries int
	KeepBytes   int
	// MessageBytes bounds the size of the commands in one message. A single
	// command that is larger is sent alone.
	MessageBytes int
	// ToleratedLosses is how many replicas may lose their disks at once. Commands
	// are accepted only while the quorum is larger than this number, and silent
	// voters in excess of 2*ToleratedLosses+1 are removed. At 0 neither rule applies.
	ToleratedLosses int
	// RemovalTicks is the number of ticks without a reply after which a voter
	// in excess of 2*ToleratedLosses+1 is removed.
	RemovalTicks int
}

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.KeepBytes, DefaultKeepBytes)
	setDefault(&c.MessageBytes, DefaultMessageBytes)
	setDefault(&c.RemovalTicks, DefaultRemovalTicks)
	return c
}

func setDefault(v *int, value int) {
	if *v == 0 {
		*v = value
	}
}

type replicator struct {
	config      Config
	self        waxwingseam.StorageID
	log         *log
	memberships *membershipHistory

	state  waxwingseam.ReplicaState
	role   waxwingseam.ReplicaRole
	leader waxwingseam.StorageID
	// electionElapsed counts the ticks since the election timer was reset. An
	// election starts when it reaches electionTimeout, which is 0 until the
	// first tick.
	electionElapsed int
	electionTimeout int

	commit    waxwingseam.LogIndex
	applied   waxwingseam.LogIndex
	persisted waxwingseam.LogIndex
	snapshot  waxwingseam.LogPosition
	// appliedBytes is the size of the commands applied since the last snapshot.
	appliedBytes int
	// snapshotPending is set while a requested snapshot of the state machine
	// has not arrived.
	snapshotPending bool

	votes map[waxwingseam.StorageID]vote
	// claimed are the voters whose disks were lost before the campaign of the candidate or
	// leader began.
	claimed []waxwingseam.StorageID
	// lost are the storages of disks that were lost.
	lost map[waxwingseam.StorageID]bool
	// inTouch is set once the replica has accepted entries from a leader, or committed some
	// as the leader, since it started.
	inTouch  bool
	progress map[waxwingseam.StorageID]*progress
	// requests maps entries of a leader's log to the local requests that
	// proposed them.
	requests     map[waxwingseam.LogIndex]waxwingseam.RequestID
	pendingReads []pendingRead
	round        uint64
	handover     handover
	// heartbeatElapsed counts the ticks since the last round of heartbeats.
	heartbeatElapsed int

	output output
}

// output collects the effects of one event.
type output struct {
	random uint64
	// durable is the state in the latest effect that persists it.
	durable  waxwingseam.ReplicaState
	appended []waxwingseam.LogEntry
	effects  []waxwingseam.Effect
}

// New returns a replica in the state recovered from its journal.
func New(config Config) waxwingseam.Replicator {
	config = config.withDefaults()
	recovery := config.Recovery
	r := &replicator{
		config:      config,
		self:        config.Identity.Storage,
		log:         newLog(recovery.Base, recovery.Entries),
		memberships: newMembershipHistory(recovery.Snapshot, recovery.Entries),
		state:       recovery.State,
		role:        waxwingseam.RoleFollower,
		commit:      recovery.Snapshot.Index,
		applied:     recovery.Snapshot.Index,
		snapshot:    recovery.Snapshot.LogPosition,
		requests:    map[waxwingseam.LogIndex]waxwingseam.RequestID{},
		lost:        map[waxwingseam.StorageID]bool{},
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
		r.installSnapshot(v)
	case waxwingseam.SnapshotTaken:
		r.compactLog(v)
	case waxwingseam.ReplicaPersisted:
		r.markPersisted(v)
	case waxwingseam.CommandProposed:
		r.appendCommand(v)
	case waxwingseam.MembershipProposed:
		r.proposeMembership(v)
	case waxwingseam.ReadAsked:
		r.startRead(v)
	case waxwingseam.HandoverAsked:
		r.startHandover()
	case waxwingseam.StorageMismatched:
		r.markMismatched(v)
	case waxwingseam.SnapshotFailed:
		r.retrySnapshot(v.To)
	}
	return r.finish()
}

// finish returns the effects of the event, preceded by a PersistReplica if
// there is a state or there are entries to persist.
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

// send sets the sender, the receiver and the term of a message and emits it.
// Append requests do not wait until the leader's own entries are durable, and an offer of the
// lead binds nobody.
func (r *replicator) send(to waxwingseam.StorageID, m waxwingseam.ReplicaMessage) {
	m.From = r.self
	m.To = to
	m.Term = r.state.Term
	beforePersist := m.AppendRequest != nil || m.Handover != nil
	r.emit(waxwingseam.SendReplicaMessage{Message: m, BeforePersist: beforePersist})
}

// vote is the answer to a vote request. afterLoss is set if it may count for an election by
// half of the voters.
type vote struct {
	granted   bool
	afterLoss bool
}

// forEachPeer calls f for each member except this replica, in a fixed order. A voter that a
// pending membership removes is still a peer.
func (r *replicator) forEachPeer(f func(m waxwingseam.Member)) {
	for _, m := range r.members() {
		if m.Storage != r.self {
			f(m)
		}
	}
}

// append adds an entry to the leader's own log and returns its index.
func (r *replicator) append(e waxwingseam.LogEntry) waxwingseam.LogIndex {
	e.Index = r.log.last().Index + 1
	e.Term = r.state.Term
	r.addEntries([]waxwingseam.LogEntry{e})
	return e.Index
}

// addEntries replaces the log's entries from the index of entries[0] on, and
// adopts the membership that is then the latest.
func (r *replicator) addEntries(entries []waxwingseam.LogEntry) {
	first := entries[0].Index
	r.persisted = min(r.persisted, first-1)
	previous := r.memberships.latest()
	r.memberships.truncate(first)
	r.log.truncateAndAppend(entries)
	r.memberships.add(entries)
	r.output.appended = append(r.output.appended, entries...)
	r.adoptMembership(previous)
}

// markPersisted records that entries and state are durable. A leader's own
// entries and a candidate's own vote count only from then on.
func (r *replicator) markPersisted(e waxwingseam.ReplicaPersisted) {
	r.persisted = min(e.Last, r.log.last().Index)
	if r.role == waxwingseam.RoleCandidate && e.State == r.state {
		r.countVote(r.self, r.ownVote())
		return
	}
	if r.role == waxwingseam.RoleLeader {
		r.advanceCommit()
	}
}
