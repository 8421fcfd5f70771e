package waxwingseam

// The kinds of effects at a replica.
const (
	KindPersistReplica     Kind = "persist-replica"
	KindPersistSnapshot    Kind = "persist-snapshot"
	KindSendReplicaMessage Kind = "send-replica-message"
	KindSendSnapshot       Kind = "send-snapshot"
	KindApplyEntry         Kind = "apply-entry"
	KindTakeSnapshot       Kind = "take-snapshot"
	KindAnswerRequest      Kind = "answer-request"
	KindRefuseRequest      Kind = "refuse-request"
	KindAdoptMembership    Kind = "adopt-membership"
	KindStopReplica        Kind = "stop-replica"
)

// PersistReplica makes a state and entries durable; the entries replace those
// from the first one's index on.
type PersistReplica struct {
	State   ReplicaState
	Entries []LogEntry
}

// PersistSnapshot makes a snapshot durable, with the log that goes on from it.
type PersistSnapshot struct {
	State    ReplicaState
	Snapshot ReplicaSnapshot
	// Base is the entry before the first of Entries.
	Base    LogPosition
	Entries []LogEntry
	// Restore is set when the state machine must take the snapshot's data.
	Restore bool
}

// SendReplicaMessage sends a message. It must wait for what is to be persisted
// before it, unless BeforePersist is set.
type SendReplicaMessage struct {
	Message       ReplicaMessage
	BeforePersist bool `cbor:"Early"`
}

// SendSnapshot sends the latest durable snapshot.
type SendSnapshot struct {
	To   StorageID
	Term Term
}

// ApplyEntry hands a committed entry to the state machine.
type ApplyEntry struct {
	Entry LogEntry
	// Request is the local request that proposed the entry; 0 without one.
	Request RequestID
}

// TakeSnapshot asks for the state machine's state after the entry.
type TakeSnapshot struct {
	Index LogIndex
}

// AnswerRequest ends a read, or a change that alters nothing.
type AnswerRequest struct {
	ID    RequestID
	Index LogIndex
}

// RefuseRequest ends a request that was not carried out.
type RefuseRequest struct {
	ID     RequestID
	Reason ReplicaReason
}

// AdoptMembership tells where the members are.
type AdoptMembership struct {
	Membership Membership
}

// StopReplica stops a replica whose log contradicts what was committed.
type StopReplica struct {
	Index LogIndex
	Text  string
}

// Kind implements Effect.
func (PersistReplica) Kind() Kind { return KindPersistReplica }

// Kind implements Effect.
func (PersistSnapshot) Kind() Kind { return KindPersistSnapshot }

// Kind implements Effect.
func (SendReplicaMessage) Kind() Kind { return KindSendReplicaMessage }

// Kind implements Effect.
func (SendSnapshot) Kind() Kind { return KindSendSnapshot }

// Kind implements Effect.
func (ApplyEntry) Kind() Kind { return KindApplyEntry }

// Kind implements Effect.
func (TakeSnapshot) Kind() Kind { return KindTakeSnapshot }

// Kind implements Effect.
func (AnswerRequest) Kind() Kind { return KindAnswerRequest }

// Kind implements Effect.
func (RefuseRequest) Kind() Kind { return KindRefuseRequest }

// Kind implements Effect.
func (AdoptMembership) Kind() Kind { return KindAdoptMembership }

// Kind implements Effect.
func (StopReplica) Kind() Kind { return KindStopReplica }
