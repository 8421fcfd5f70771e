// Package journaler stores a replica's identity, state, log and snapshot in a
// data folder.
//
// A generation consists of a snapshot file and a log file; the first generation
// has only a log file. Each Persist appends one record to the log file and syncs
// it, so only the last record can be torn. Each Compact starts a new generation.
package journaler

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

const (
	identityFile    = "identity"
	logPrefix       = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

// generation numbers the pairs of snapshot file and log file, starting at 1.
type generation uint64

func (g generation) logFile() string {
	return fmt.Sprintf("%s%016d", logPrefix, uint64(g))
}

func (g generation) snapshotFile() string {
	return fmt.Sprintf("%s%016d", snapshotPrefix, uint64(g))
}

// header is the first record of a log file.
type header struct {
	Generation generation `cbor:"1,keyasint"`
	// Snapshot is the position of the last entry in the generation's snapshot;
	// its index is 0 if there is no snapshot.
	Snapshot waxwingseam.LogPosition `cbor:"2,keyasint"`
	// Base is the position of the entry before the first one in the file.
	Base waxwingseam.LogPosition `cbor:"3,keyasint"`
	// Storage is the storage ID of the replica's identity.
	Storage waxwingseam.StorageID `cbor:"4,keyasint"`
}

// batch is a record after the header in a log file. The first batch is written
// together with the header, the others by Persist.
type batch struct {
	State   waxwingseam.ReplicaState `cbor:"1,keyasint"`
	Entries []waxwingseam.LogEntry   `cbor:"2,keyasint,omitempty"`
}

type journal struct {
	disk       waxwingseam.Disk
	identity   waxwingseam.ReplicaIdentity
	generation generation
	// file is the log file. It is nil after a write that found no room; end is where the
	// last acknowledged record in it ends.
	file     waxwingseam.DiskFile
	end      int64
	snapshot waxwingseam.ReplicaSnapshot
	// compacting is set while a Compact that found no room is to be repeated. The files of
	// the next generation may be in place already.
	compacting bool
	// stale are the files of earlier generations that are still to be removed.
	stale []string
	// terminalError is returned by all writes after Close and after an error other than a
	// FullError.
	terminalError error
}

// Format writes a log file with bootstrap as its first batch, and then the
// identity, into a folder that is not formatted; otherwise it fails. For a
// replica that joins a cluster, bootstrap is empty.
func Format(disk waxwingseam.Disk, identity waxwingseam.ReplicaIdentity, bootstrap waxwingseam.PersistReplica) error {
	formatted, err := Formatted(disk)
	if err != nil {
		return err
	}
	if formatted {
		return trace.AlreadyExists("the data folder already contains a replica")
	}
	j := &journal{
		disk:       disk,
		identity:   identity,
		generation: 1,
	}
	first := header{Generation: j.generation, Storage: identity.Storage}
	if err := j.writeLog(first, batch(bootstrap)); err != nil {
		return err
	}
	if err := j.file.Close(); err != nil {
		return trace.ConvertSystemError(err)
	}
	return WriteIdentity(disk, identity)
}

// WriteIdentity writes or replaces the identity in a folder. The storage ID must
// not change, because the log file contains it as well.
func WriteIdentity(disk waxwingseam.Disk, identity waxwingseam.ReplicaIdentity) error {
	data, err := encodeRecord(identity)
	if err != nil {
		return err
	}
	return writeFile(disk, identityFile, data)
}

// Formatted reports whether a folder contains a replica. Format writes the
// identity file last, so a folder without it contains no acknowledged data.
func Formatted(disk waxwingseam.Disk) (bool, error) {
	names, err := disk.List()
	if err != nil {
		return false, trace.ConvertSystemError(err)
	}
	for _, n := range names {
		if n == identityFile {
			return true, nil
		}
	}
	return false, nil
}

// Erase removes all files from a folder. It removes the identity first, so that
// a partly erased folder does not count as formatted.
func Erase(disk waxwingseam.Disk) error {
	names, err := disk.List()
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(eraseOrder(a), eraseOrder(b))
	})
	for _, name := range names {
		if err := disk.Remove(name); err != nil {
			return trace.ConvertSystemError(err)
		}
		if err := disk.Sync(); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

func eraseOrder(name string) int {
	if name == identityFile {
		return 0
	}
	return 1
}

// Identity implements waxwingseam.Journal.
func (j *journal) Identity() waxwingseam.ReplicaIdentity {
	return j.identity
}

// Snapshot implements waxwingseam.Journal.
func (j *journal) Snapshot() waxwingseam.ReplicaSnapshot {
	return j.snapshot
}

// Persist implements waxwingseam.Journal.
func (j *journal) Persist(p waxwingseam.PersistReplica) error {
	if j.terminalError == nil && j.compacting {
		j.terminalError = trace.BadParameter("a compaction that found no room was not repeated")
	}
	if j.terminalError != nil {
		return j.terminalError
	}
	return j.checked(j.append(batch(p)))
}

// checked returns an error, and makes it terminal unless the write may be repeated.
func (j *journal) checked(err error) error {
	if !IsFull(err) {
		j.terminalError = err
	}
	return err
}

func (j *journal) append(b batch) error {
	data, err := encodeRecord(b)
	if err != nil {
		return err
	}
	if err := j.reopen(); err != nil {
		return err
	}
	name := j.generation.logFile()
	if _, err := j.file.Write(data); err != nil {
		return j.discard(trace.Wrap(diskError(err), "%s: write failed", name))
	}
	if err := j.file.Sync(); err != nil {
		return j.discard(trace.Wrap(diskError(err), "%s: sync failed", name))
	}
	j.end += int64(len(data))
	return nil
}

// reopen opens the log file after a write that found no room. It syncs the truncated file, so
// that no part of that write can stand where the next one is cut short.
func (j *journal) reopen() error {
	if j.file != nil {
		return nil
	}
	file, err := j.disk.Append(j.generation.logFile(), j.end)
	if err != nil {
		return diskError(err)
	}
	j.file = file
	if err := file.Sync(); err != nil {
		return j.discard(diskError(err))
	}
	return nil
}

// discard closes the log file after a failed write and returns the error of the write.
func (j *journal) discard(err error) error {
	file := j.file
	j.file = nil
	return errors.Join(err, file.Close())
}

// Compact implements waxwingseam.Journal. It removes the old generation only
// after the new one is durable.
func (j *journal) Compact(p waxwingseam.PersistSnapshot) error {
	if j.terminalError != nil {
		return j.terminalError
	}
	err := j.checked(j.compact(p))
	j.compacting = err != nil
	return err
}

func (j *journal) compact(p waxwingseam.PersistSnapshot) error {
	next := j.generation + 1
	data, err := encodeRecord(p.Snapshot)
	if err != nil {
		return err
	}
	if err := writeFile(j.disk, next.snapshotFile(), data); err != nil {
		return err
	}
	head := header{
		Generation: next,
		Snapshot:   p.Snapshot.LogPosition,
		Base:       p.Base,
		Storage:    j.identity.Storage,
	}
	old := j.file
	if err := j.writeLog(head, batch{State: p.State, Entries: p.Entries}); err != nil {
		return err
	}
	j.stale = append(j.stale, j.generation.logFile())
	if j.snapshot.Index > 0 {
		j.stale = append(j.stale, j.generation.snapshotFile())
	}
	j.generation, j.snapshot = next, p.Snapshot
	if old != nil {
		if err := old.Close(); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return j.removeStale()
}

// removeStale removes the files of earlier generations. What a full disk refuses to remove
// is left for the next compaction.
func (j *journal) removeStale() error {
	for len(j.stale) > 0 {
		if j.stale[0] == j.generation.logFile() || j.stale[0] == j.generation.snapshotFile() {
			// The file was replaced since it was found.
			j.stale = j.stale[1:]
			continue
		}
		err := diskError(j.disk.Remove(j.stale[0]))
		if IsFull(err) {
			return nil
		}
		if err != nil {
			return err
		}
		j.stale = j.stale[1:]
	}
	return nil
}

// writeLog writes the log file of a generation and opens it for appending.
func (j *journal) writeLog(head header, b batch) error {
	data, err := encodeRecord(head)
	if err != nil {
		return err
	}
	first, err := encodeRecord(b)
	if err != nil {
		return err
	}
	data = append(data, first...)
	name := head.Generation.logFile()
	if err := writeFile(j.disk, name, data); err != nil {
		return err
	}
	file, err := j.disk.Append(name, int64(len(data)))
	if err != nil {
		return diskError(err)
	}
	j.file, j.end = file, int64(len(data))
	return nil
}

// Close implements waxwingseam.Journal.
func (j *journal) Close() error {
	if j.terminalError == nil {
		j.terminalError = trace.Errorf("the journal is closed")
	}
	var err error
	if j.file != nil {
		err = j.file.Close()
	}
	return trace.NewAggregate(trace.ConvertSystemError(err), trace.ConvertSystemError(j.disk.Close()))
}
