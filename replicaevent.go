package waxwingseam

// The kinds of events at a replica.
const (
	KindReplicaTicked         Kind = "replica-ticked"
	KindReplicaMessageArrived Kind = "replica-message-arrived"
	KindSnapshotArrived       Kind = "snapshot-arrived"
	KindSnapshotTaken         Kind = "snapshot-taken"
	KindReplicaPersisted      Kind = "replica-persisted"
	KindCommandProposed       Kind = "command-proposed"
	KindMembershipProposed    Kind = "membership-proposed"
	KindReadAsked             Kind = "read-asked"
	KindHandoverAsked         Kind = "handover-asked"
	KindStorageMismatched     Kind = "storage-mismatched"
	KindSnapshotFailed        Kind = "snapshot-failed"
)

// RequestID numbers the requests to one incarnation of a replica; 0 is none.
type RequestID uint64

// ReplicaTicked says that one tick has passed. A replica counts ticks and reads
// no time of day, so that clock jumps do not affect it.
type ReplicaTicked struct {
	Stamp
}

// ReplicaMessageArrived is a message from another replica.
type ReplicaMessageArrived struct {
	Stamp
	Message ReplicaMessage
}

// SnapshotArrived is a complete snapshot from a leader.
type SnapshotArrived struct {
	Stamp
	From     StorageID
	Term     Term
	Snapshot ReplicaSnapshot
}

// SnapshotTaken is the state machine's state after an applied entry.
type SnapshotTaken struct {
	Stamp
	Index LogIndex
	Data  []byte
}

// ReplicaPersisted says that the data of all persist effects emitted so far is
// durable.
type ReplicaPersisted struct {
	Stamp
	State ReplicaState
	// Last is the index of the last durable entry.
	Last LogIndex
}

// CommandProposed asks to append a command to the log.
type CommandProposed struct {
	Stamp
	ID      RequestID
	Command []byte
}

// MembershipProposed asks for a change of the membership.
type MembershipProposed struct {
	Stamp
	ID     RequestID
	Change MembershipChange
}

// ReadAsked asks for a log index that covers all entries committed before it.
type ReadAsked struct {
	Stamp
	ID RequestID
}

// HandoverAsked asks a leader to hand over its leadership to another voter.
type HandoverAsked struct {
	Stamp
}

// StorageMismatched says that the process at a member's address refused a message since it
// does not have the member's storage. Replica is the name of the replica in that process; if it
// is the member's, the disk with the storage was lost.
type StorageMismatched struct {
	Stamp
	Storage StorageID
	Replica ReplicaID
}

// SnapshotFailed says that a snapshot did not reach a member.
type SnapshotFailed struct {
	Stamp
	To StorageID
}

// Kind implements Event.
func (ReplicaTicked) Kind() Kind { return KindReplicaTicked }

// Kind implements Event.
func (ReplicaMessageArrived) Kind() Kind { return KindReplicaMessageArrived }

// Kind implements Event.
func (SnapshotArrived) Kind() Kind { return KindSnapshotArrived }

// Kind implements Event.
func (SnapshotTaken) Kind() Kind { return KindSnapshotTaken }

// Kind implements Event.
func (ReplicaPersisted) Kind() Kind { return KindReplicaPersisted }

// Kind implements Event.
func (CommandProposed) Kind() Kind { return KindCommandProposed }

// Kind implements Event.
func (MembershipProposed) Kind() Kind { return KindMembershipProposed }

// Kind implements Event.
func (ReadAsked) Kind() Kind { return KindReadAsked }

// Kind implements Event.
func (HandoverAsked) Kind() Kind { return KindHandoverAsked }

// Kind implements Event.
func (StorageMismatched) Kind() Kind { return KindStorageMismatched }

// Kind implements Event.
func (SnapshotFailed) Kind() Kind { return KindSnapshotFailed }
