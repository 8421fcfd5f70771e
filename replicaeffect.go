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

// PersistReplica makes a state and entries durable. The entries replace the
// part of the log that begins at the index of the first entry.
type PersistReplica struct {
	State   ReplicaState
	Entries []LogEntry
}

// PersistSnapshot makes a snapshot durable, with the log that continues it.
type PersistSnapshot struct {
	State    ReplicaState
	Snapshot ReplicaSnapshot
	// Base is the position of the entry before Entries.
	Base    LogPosition
	Entries []LogEntry
	// Restore is set when the state machine must load the snapshot's data.
	Restore bool
}

// SendReplicaMessage sends a message. Unless BeforePersist is set, the message
// must wait until the data of earlier persist effects is durable.
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

// TakeSnapshot requests the state machine's state after the entry at Index.
type TakeSnapshot struct {
	Index LogIndex
}

// AnswerRequest answers a read, or a membership change that alters nothing.
type AnswerRequest struct {
	ID    RequestID
	Index LogIndex
}

// RefuseRequest ends a request that was not, or may not have been, carried out.
type RefuseRequest struct {
	ID     RequestID
	Reason ReplicaReason
}

// AdoptMembership updates the members and their addresses.
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
