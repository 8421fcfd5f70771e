package waxwingseam

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strings"
)

// Term numbers the leaderships of a cluster's log, counted from 1.
type Term uint64

// LogIndex numbers the entries of a cluster's log, counted from 1.
type LogIndex uint64

// ClusterID identifies a cluster over all its life.
type ClusterID string

// StorageID identifies one formatted data folder. Votes and log entries belong
// to a storage and not to a host: an emptied disk gets a new one.
type StorageID string

// EntryKind says what a log entry holds.
type EntryKind uint8

const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryMembership holds a membership, in force once it is in the log.
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

// ValidEntriesAfter reports whether entries go on from a position without a gap, and each
// holds what its kind needs.
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

// LogPosition is the index of an entry with its term.
type LogPosition struct {
	Index LogIndex `cbor:"1,keyasint"`
	Term  Term     `cbor:"2,keyasint"`
}

// Member is one replica of a cluster.
type Member struct {
	Replica ReplicaID      `cbor:"1,keyasint" json:"replica"`
	Storage StorageID      `cbor:"2,keyasint" json:"storage"`
	Address netip.AddrPort `cbor:"3,keyasint" json:"address"`
	// Voter is set while the replica counts in quorums.
	Voter bool `cbor:"4,keyasint,omitempty" json:"voter"`
	// Candidate is set on a learner that becomes a voter once it holds all
	// that is committed.
	Candidate bool `cbor:"5,keyasint,omitempty" json:"candidate"`
}

// Membership lists the replicas of a cluster, ordered by storage.
type Membership struct {
	Members []Member `cbor:"1,keyasint" json:"members"`
}

// Member returns the member with a storage.
func (m Membership) Member(id StorageID) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(v Member) bool { return v.Storage == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// Replica returns the member of a replica's name.
func (m Membership) Replica(id ReplicaID) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(v Member) bool { return v.Replica == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// IsVoter reports whether a storage is that of a voter.
func (m Membership) IsVoter(id StorageID) bool {
	v, ok := m.Member(id)
	return ok && v.Voter
}

// Voters returns how many members vote.
func (m Membership) Voters() int {
	n := 0
	for _, v := range m.Members {
		if v.Voter {
			n++
		}
	}
	return n
}

// Quorum returns how many voters are a majority.
func (m Membership) Quorum() int {
	return m.Voters()/2 + 1
}

// With returns a membership in which a member is added or replaced.
func (m Membership) With(member Member) Membership {
	out := m.Without(member.Storage)
	i, _ := slices.BinarySearchFunc(out.Members, member, func(a, b Member) int {
		return strings.Compare(string(a.Storage), string(b.Storage))
	})
	out.Members = slices.Insert(out.Members, i, member)
	return out
}

// Without returns a membership that lacks a storage.
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
)

// MembershipChange asks for another membership. To promote or remove, the
// member's storage is enough.
type MembershipChange struct {
	Kind   ChangeKind `cbor:"1,keyasint"`
	Member Member     `cbor:"2,keyasint"`
}

// ReplicaState is what a replica must hold durably besides its log.
type ReplicaState struct {
	Term Term `cbor:"1,keyasint"`
	// Vote is the candidate voted for in the term; empty without one.
	Vote StorageID `cbor:"2,keyasint,omitempty"`
}

// ReplicaSnapshot is the state machine's state after an entry.
type ReplicaSnapshot struct {
	LogPosition
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// ReplicaRole is what a replica does in the present term.
type ReplicaRole string

// The roles of a replica.
const (
	RoleFollower     ReplicaRole = "follower"
	RolePreCandidate ReplicaRole = "pre-candidate"
	RoleCandidate    ReplicaRole = "candidate"
	RoleLeader       ReplicaRole = "leader"
)

// PeerStatus is a leader's view of a member.
type PeerStatus struct {
	Member
	// Match is the last entry known to be durable there.
	Match LogIndex `json:"match"`
	// SilentTicks counts the ticks since its last answer.
	SilentTicks int `json:"silent-ticks"`
}

// ReplicaStatus describes a replica at one moment.
type ReplicaStatus struct {
	Cluster  ClusterID    `json:"cluster"`
	Self     Member       `json:"self"`
	Role     ReplicaRole  `json:"role"`
	Term     Term         `json:"term"`
	Leader   StorageID    `json:"leader"`
	Last     LogIndex     `json:"last"`
	Commit   LogIndex     `json:"commit"`
	Applied  LogIndex     `json:"applied"`
	Snapshot LogIndex     `json:"snapshot"`
	Members  []PeerStatus `json:"members"`
	// Settled is set while the members are those of a committed membership.
	Settled bool          `json:"settled"`
	Refused ReplicaReason `json:"refused,omitempty"`
}

// Voters returns how many members vote.
func (s ReplicaStatus) Voters() int {
	n := 0
	for _, v := range s.Members {
		if v.Voter {
			n++
		}
	}
	return n
}

// LeaderMember returns the leader's entry among the members.
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
	// ReasonOutcomeUnknown: the command may yet be applied, or never.
	ReasonOutcomeUnknown ReplicaReason = "outcome-unknown"
	// ReasonChangePending: an earlier membership change is not committed.
	ReasonChangePending ReplicaReason = "change-pending"
	// ReasonBadChange: the membership change is not possible.
	ReasonBadChange ReplicaReason = "bad-change"
	// ReasonQuorumAtRisk: too few of the voters left have answered lately.
	ReasonQuorumAtRisk ReplicaReason = "quorum-at-risk"
	// ReasonLearnerBehind: the learner lacks committed entries.
	ReasonLearnerBehind ReplicaReason = "learner-behind"
	// ReasonReplicaInUse: a live replica has the name.
	ReasonReplicaInUse ReplicaReason = "replica-in-use"
	// ReasonCommandTooLarge: the command exceeds the largest entry.
	ReasonCommandTooLarge ReplicaReason = "command-too-large"
	// ReasonClusterMismatch: the message is for another cluster.
	ReasonClusterMismatch ReplicaReason = "cluster-mismatch"
	// ReasonStorageMismatch: the message is for another storage.
	ReasonStorageMismatch ReplicaReason = "storage-mismatch"
	// ReasonRemoved: the replica is no member any more.
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

// Applier is the state machine behind the log. Its methods are called by one
// goroutine, in the order of the log.
type Applier interface {
	// Apply carries out a committed command; the same commands in the same
	// order give the same answers on each replica.
	Apply(index LogIndex, command []byte) (answer []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Proposer runs one replica.
type Proposer interface {
	// Serve runs the replica until the context ends or its disk fails. The
	// messenger must go on until Serve has returned: a leader hands over first.
	Serve(ctx context.Context) error
	// Propose has a command applied and returns the state machine's answer. An
	// error is a ReplicaError or that of the context; unless its reason is
	// ReasonOutcomeUnknown, the command is never applied.
	Propose(ctx context.Context, command []byte) (answer []byte, err error)
	// ReadIndex returns once this replica has applied all that was committed
	// before the call, as a quorum has confirmed.
	ReadIndex(ctx context.Context) error
	// ChangeMembership changes the members of the cluster.
	ChangeMembership(ctx context.Context, change MembershipChange) error
	// HandOver asks another voter to lead, if this replica does.
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

// ReplicaReasonOf returns the reason in an error's chain; empty without one.
func ReplicaReasonOf(err error) ReplicaReason {
	var e *ReplicaError
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}
