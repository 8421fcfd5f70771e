package waxwingseam

import "io"

// ReplicaIdentity is the identity that is stored in a data folder.
type ReplicaIdentity struct {
	Cluster ClusterID `cbor:"1,keyasint"`
	Replica ReplicaID `cbor:"2,keyasint"`
	Storage StorageID `cbor:"3,keyasint"`
}

// Recovery is the content of a journal at the time it was opened.
type Recovery struct {
	State    ReplicaState
	Snapshot ReplicaSnapshot
	// Base is the position of the entry before Entries.
	Base    LogPosition
	Entries []LogEntry
}

// Journal stores a replica's state, log and snapshot durably. The data passed
// to a method is durable once the method has returned nil. After an error the
// journal accepts no more data, unless the disk was full: then the same call may be
// repeated until there is room, and must be before other data is accepted.
type Journal interface {
	// Identity returns the identity in the data folder.
	Identity() ReplicaIdentity
	// Persist stores a state and entries.
	Persist(p PersistReplica) error
	// Compact replaces the snapshot and the log.
	Compact(p PersistSnapshot) error
	// Snapshot returns the latest snapshot; its index is 0 if there is none.
	Snapshot() ReplicaSnapshot
	// Close releases the data folder.
	Close() error
}

// EndingJournal stores endings of backend servers durably. A failed write changes nothing
// and may be repeated.
type EndingJournal interface {
	// Append adds endings. They are durable once it has returned nil.
	Append(list []EndingsMessage) error
	// Rewrite replaces all endings.
	Rewrite(list []EndingsMessage) error
	// Size returns the number of bytes stored.
	Size() int64
	// Close releases the folder.
	Close() error
}

// Disk is a folder of files. A crash may lose data that was not synced.
type Disk interface {
	// List returns the names of the files.
	List() ([]string, error)
	// ReadFile returns a file's whole content.
	ReadFile(name string) ([]byte, error)
	// Create opens a new, empty file.
	Create(name string) (DiskFile, error)
	// Append truncates a file at an offset and opens it for writing there.
	Append(name string, offset int64) (DiskFile, error)
	// Rename atomically replaces a file.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// Sync makes the names of the files durable.
	Sync() error
	// Close releases the folder.
	Close() error
}

// DiskFile is a file open for writing.
type DiskFile interface {
	io.WriteCloser
	// Sync makes what was written durable.
	Sync() error
}
