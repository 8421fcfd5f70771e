package waxwingseam

import "io"

// ReplicaIdentity is what a data folder says of itself.
type ReplicaIdentity struct {
	Cluster ClusterID `cbor:"1,keyasint"`
	Replica ReplicaID `cbor:"2,keyasint"`
	Storage StorageID `cbor:"3,keyasint"`
}

// Recovery is what a journal held when it was opened.
type Recovery struct {
	State    ReplicaState
	Snapshot ReplicaSnapshot
	// Base is the entry before the first of Entries.
	Base    LogPosition
	Entries []LogEntry
}

// Journal keeps a replica's state, log and snapshot durably. What a method
// was given is durable once it has returned nil; after an error the journal
// takes no more.
type Journal interface {
	// Identity returns the identity in the data folder.
	Identity() ReplicaIdentity
	// Persist adds a state and entries.
	Persist(p PersistReplica) error
	// Compact replaces the snapshot and the log.
	Compact(p PersistSnapshot) error
	// Snapshot returns the latest snapshot; its index is 0 without one.
	Snapshot() ReplicaSnapshot
	// Close releases the data folder.
	Close() error
}

// Disk is a folder of files that may forget what was not synced.
type Disk interface {
	// List returns the names of the files.
	List() ([]string, error)
	// ReadFile returns a file's whole content.
	ReadFile(name string) ([]byte, error)
	// Create opens a new, empty file.
	Create(name string) (DiskFile, error)
	// Append opens a file for writing at an offset and cuts what is behind.
	Append(name string, offset int64) (DiskFile, error)
	// Rename replaces a file in one step.
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
