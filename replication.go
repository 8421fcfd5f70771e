package waxwingseam

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strings"
)

// Term numbers the leadership terms of a cluster, starting at 1.
type Term uint64

// LogIndex numbers the entries of a cluster's log, starting at 1.
type LogIndex uint64

// ClusterID identifies a cluster over its whole lifetime.
type ClusterID string

// StorageID identifies one formatted data folder. Votes and log entries belong
// to a storage and not to a host: a host whose disk was emptied gets a new one.
type StorageID string

// EntryKind says what a log entry holds.
type EntryKind uint8

const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryMembership holds a membership, which is in force once it is in the
	// log.
	EntryMembership
	// EntryEmpty holds nothing; a new leader appends one.
	EntryEmpty
)

// LogEntry is one entry of the replicated log.
type LogEntry struct {
	Index      LogIndex    `cbor:"1,keyasint"`
	Term       Term        `cbor:"2,keyasint"`
	Kind       EntryKind   `cbor:"3,keyasint,omitempty"`
	Command    []byte      `cbor:"4,keyasint,omitempty"`
	Membership *Membership `cbor:"5,keyasint,omitempty"`
}

// ValidEntriesAfter reports whether entries continue the log from a position
// without a gap, and each holds what its kind requires.
func ValidEntriesAfter(p LogPosition, entries []LogEntry) bool {
	for _, e := range entries {
		if e.Index != p.Index+1 || e.Term < p.Term {
			return false
		}
		if e.Kind == EntryMembership && e.Membership == nil {
			return false
		}
		p = LogPosition{Index: e.Index, Term: e.Term}
	}
	return true
}

// LogPosition is the index and the term of an entry.
type LogPosition struct {
	Index LogIndex `cbor:"1,keyasint"`
	Term  Term     `cbor:"2,keyasint"`
}

// Member is one replica of a cluster.
type Member struct {
	Replica ReplicaID      `cbor:"1,keyasint" json:"replica"`
	Storage StorageID      `cbor:"2,keyasint" json:"storage"`
	Address netip.AddrPort `cbor:"3,keyasint" json:"address"`
	// Voter is set while the replica counts towards quorums.
	Voter bool `cbor:"4,keyasint,omitempty" json:"voter"`
	// Candidate is set on a learner that becomes a voter once it holds all
	// committed entries.
	Candidate bool `cbor:"5,keyasint,omitempty" json:"candidate"`
}

// Membership lists the replicas of a cluster, ordered by storage.
type Membership struct {
	Members []Member `cbor:"1,keyasint" json:"members"`
}

// Member returns the member with a storage; false if there is none.
func (m Membership) Member(id StorageID) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(v Member) bool { return v.Storage == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// Replica returns the member with a replica ID; false if there is none.
func (m Membership) Replica(id ReplicaID) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(v Member) bool { return v.Replica == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// IsVoter reports whether a storage belongs to a voter.
func (m Membership) IsVoter(id StorageID) bool {
	v, ok := m.Member(id)
	return ok && v.Voter
}

// Voters returns the number of voters.
func (m Membership) Voters() int {
	n := 0
	for _, v := range m.Members {
		if v.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that are a majority.
func (m Membership) Quorum() int {
	return m.Voters()/2 + 1
}

// With returns a copy of the membership with a member added or replaced.
func (m Membership) With(member Member) Membership {
	out := m.Without(member.Storage)
	i, _ := slices.BinarySearchFunc(out.Members, member, func(a, b Member) int {
		return strings.Compare(string(a.Storage), string(b.Storage))
	})
	out.Members = slices.Insert(out.Members, i, member)
	return out
}

// Without returns a copy of the membership without the member of a storage.
func (m Membership) Without(id StorageID) Membership {
	members := slices.Clone(m.Members)
	return Membership{Members: slices.DeleteFunc(members, func(v Member) bool { return v.Storage == id })}
}

// ChangeKind names a membership change.
type ChangeKind string

// The membership changes; each alters at most one voter.
const (
	ChangeAddLearner ChangeKind = "add-learner"
	ChangePromote    ChangeKind = "promote"
	ChangeRemove     ChangeKind = "remove"
	// ChangeRetire removes a member that is about to stop, if the cluster has more voters
	// than the tolerated losses require. Otherwise it alters nothing.
	ChangeRetire ChangeKind = "retire"
)

// MembershipChange asks for a change of the membership. ChangePromote, ChangeRemove and
// ChangeRetire need only the field Storage of Member.
type MembershipChange struct {
	Kind   ChangeKind `cbor:"1,keyasint"`
	Member Member     `cbor:"2,keyasint"`
}

// ReplicaState is what a replica must store durably besides its log.
type ReplicaState struct {
	Term Term `cbor:"1,keyasint"`
	// Vote is the candidate voted for in the term; empty without one.
	Vote StorageID `cbor:"2,keyasint,omitempty"`
	// Settled is the index of the latest membership that is known to be committed; 0 if no
	// losses of disks are tolerated.
	Settled LogIndex `cbor:"3,keyasint,omitempty"`
}

// ReplicaSnapshot is the state machine's state after an entry.
type ReplicaSnapshot struct {
	LogPosition
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// ReplicaRole is the role of a replica in the current term.
type ReplicaRole string

// The roles of a replica.
const (
	RoleFollower     ReplicaRole = "follower"
	RolePreCandidate ReplicaRole = "pre-candidate"
	RoleCandidate    ReplicaRole = "candidate"
	RoleLeader       ReplicaRole = "leader"
)

// PeerStatus describes a member as the leader tracks it.
type PeerStatus struct {
	Member
	// Match is the index of the last entry known to be durable at the member.
	Match LogIndex `json:"match"`
	// SilentTicks counts the ticks since the member's last answer.
	SilentTicks int `json:"silent-ticks"`
}

// ReplicaStatus describes a replica at one moment.
type ReplicaStatus struct {
	Cluster ClusterID   `json:"cluster"`
	Self    Member      `json:"self"`
	Role    ReplicaRole `json:"role"`
	Term    Term        `json:"term"`
	Leader  StorageID   `json:"leader"`
	// Last, Commit, Applied and Snapshot are the indices of the last entry in the
	// log, of the last committed and applied entries, and of the last entry in the
	// latest snapshot.
	Last     LogIndex     `json:"last"`
	Commit   LogIndex     `json:"commit"`
	Applied  LogIndex     `json:"applied"`
	Snapshot LogIndex     `json:"snapshot"`
	Members  []PeerStatus `json:"members"`
	// Settled is set while the latest membership is committed.
	Settled bool `json:"settled"`
	// DiskFull is set while the replica stores nothing, as its disk has no room.
	DiskFull bool `json:"disk-full,omitempty"`
	// Refused is why the replica has not joined, or ReasonNoQuorum while no leader
	// is known; empty otherwise.
	Refused ReplicaReason `json:"refused,omitempty"`
}

// Voters returns the number of voters.
func (s ReplicaStatus) Voters() int {
	n := 0
	for _, v := range s.Members {
		if v.Voter {
			n++
		}
	}
	return n
}

// LeaderMember returns the leader; false if it is unknown or not a member.
func (s ReplicaStatus) LeaderMember() (Member, bool) {
	for _, v := range s.Members {
		if v.Storage == s.Leader && s.Leader != "" {
			return v.Member, true
		}
	}
	return Member{}, false
}

// ReplicaReason says in kebab case why a replica did not do what was asked.
type ReplicaReason string

// The reasons of a replica.
const (
	// ReasonNotLeader: nothing was appended; another replica leads.
	ReasonNotLeader ReplicaReason = "not-leader"
	// ReasonNoQuorum: nothing was appended; no leader is known.
	ReasonNoQuorum ReplicaReason = "no-quorum"
	// ReasonOutcomeUnknown: the command may or may not be applied later.
	ReasonOutcomeUnknown ReplicaReason = "outcome-unknown"
	// ReasonChangePending: an earlier membership change, or the first entry of
	// the leader's term, is not committed.
	ReasonChangePending ReplicaReason = "change-pending"
	// ReasonBadChange: the membership change is not possible.
	ReasonBadChange ReplicaReason = "bad-change"
	// ReasonQuorumAtRisk: too few of the remaining voters answered recently.
	ReasonQuorumAtRisk ReplicaReason = "quorum-at-risk"
	// ReasonLearnerBehind: the learner lacks committed entries.
	ReasonLearnerBehind ReplicaReason = "learner-behind"
	// ReasonReplicaInUse: a live replica already has the name.
	ReasonReplicaInUse ReplicaReason = "replica-in-use"
	// ReasonCommandTooLarge: the command exceeds the largest entry.
	ReasonCommandTooLarge ReplicaReason = "command-too-large"
	// ReasonClusterMismatch: the message is for another cluster.
	ReasonClusterMismatch ReplicaReason = "cluster-mismatch"
	// ReasonStorageMismatch: the message is for another storage.
	ReasonStorageMismatch ReplicaReason = "storage-mismatch"
	// ReasonRemoved: the replica is no longer a member.
	ReasonRemoved ReplicaReason = "removed"
	// ReasonStopped: the replica has stopped.
	ReasonStopped ReplicaReason = "stopped"
)

// Replicator is the reducer of one replica.
type Replicator interface {
	Reducer
	// Status describes the replica after the last event.
	Status() ReplicaStatus
}

// Applier is the state machine that the log drives. Its methods are called by
// one goroutine, in the order of the log.
type Applier interface {
	// Apply applies a committed command. The same commands in the same order
	// must yield the same answers on each replica.
	Apply(index LogIndex, command []byte) (answer []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Proposer runs one replica.
type Proposer interface {
	// Serve runs the replica until the context ends or its disk fails. The
	// messenger must run until Serve returns, because a leader hands over its
	// leadership first.
	Serve(ctx context.Context) error
	// Propose replicates a command and returns the state machine's answer. The
	// error is a ReplicaError or that of the context; unless its reason is
	// ReasonOutcomeUnknown, the command is never applied.
	Propose(ctx context.Context, command []byte) (answer []byte, err error)
	// ReadIndex returns once this replica has applied all entries that were
	// committed before the call, as confirmed by a quorum.
	ReadIndex(ctx context.Context) error
	// ChangeMembership changes the members of the cluster.
	ChangeMembership(ctx context.Context, change MembershipChange) error
	// HandOver asks another voter to take over if this replica is the leader.
	HandOver()
	// Status describes the replica.
	Status() ReplicaStatus
}

// ReplicaError says why a replica did not do what was asked.
type ReplicaError struct {
	Reason ReplicaReason
}

// Error implements error.
func (e *ReplicaError) Error() string {
	return "replica: " + string(e.Reason)
}

// ReplicaReasonOf returns the reason of the ReplicaError in an error's chain;
// empty without one.
func ReplicaReasonOf(err error) ReplicaReason {
	var e *ReplicaError
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}
