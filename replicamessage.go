package waxwingseam

// ReplicaMessage is a message between two replicas; one of its bodies is set.
type ReplicaMessage struct {
	// From and To are not encoded, because they are sent once for many
	// messages.
	From StorageID `cbor:"-"`
	To   StorageID `cbor:"-"`
	// Term is the sender's current term.
	Term          Term           `cbor:"3,keyasint"`
	VoteRequest   *VoteRequest   `cbor:"4,keyasint,omitempty"`
	VoteReply     *VoteReply     `cbor:"5,keyasint,omitempty"`
	AppendRequest *AppendRequest `cbor:"6,keyasint,omitempty"`
	AppendReply   *AppendReply   `cbor:"7,keyasint,omitempty"`
	Handover      *Handover      `cbor:"8,keyasint,omitempty"`
}

// VoteRequest asks for a vote, or whether one would be granted.
type VoteRequest struct {
	// PreVote is set for a pre-vote, which does not bind the voter.
	PreVote bool `cbor:"1,keyasint,omitempty"`
	// Handover is set when the leader itself asked for the election.
	Handover bool `cbor:"2,keyasint,omitempty"`
	// Term is the term of the election.
	Term Term `cbor:"3,keyasint"`
	// Last is the position of the candidate's last entry.
	Last LogPosition `cbor:"4,keyasint"`
	// LostDisks are voters whose disks the candidate knows to be lost. The vote may then
	// count for an election by half of the voters.
	LostDisks []StorageID `cbor:"5,keyasint,omitempty"`
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	PreVote bool `cbor:"1,keyasint,omitempty"`
	Granted bool `cbor:"2,keyasint,omitempty"`
	// Term is the term of the request.
	Term Term `cbor:"3,keyasint"`
	// AfterLoss is set if the vote may count for an election by half of the voters, as it
	// was given after the disks in LostDisks of the request were lost.
	AfterLoss bool `cbor:"4,keyasint,omitempty"`
}

// AppendRequest replicates entries; without entries it is a heartbeat.
type AppendRequest struct {
	// Previous is the position of the entry before Entries.
	Previous LogPosition `cbor:"1,keyasint"`
	Entries  []LogEntry  `cbor:"2,keyasint,omitempty"`
	Commit   LogIndex    `cbor:"3,keyasint"`
	// Round numbers the leader's rounds of heartbeats.
	Round uint64 `cbor:"4,keyasint"`
}

// AppendReply answers an AppendRequest or a snapshot.
type AppendReply struct {
	Accepted bool `cbor:"1,keyasint,omitempty"`
	// Match is the index of the last entry that is durable and equals the
	// leader's.
	Match LogIndex `cbor:"2,keyasint,omitempty"`
	// Hint is the index of the last entry that may equal the leader's, if
	// Accepted is unset.
	Hint LogIndex `cbor:"3,keyasint,omitempty"`
	// Round is the round of the request.
	Round uint64 `cbor:"4,keyasint,omitempty"`
}

// Handover asks a follower to start an election at once.
type Handover struct{}
