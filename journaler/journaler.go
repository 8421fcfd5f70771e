// Package journaler keeps a replica's identity, state, log and snapshot in one
// data folder.
//
// A generation is a snapshot file, which may be missing for the first, and a
// log file. Each Persist adds one record to the log file and syncs it, so only
// the last record can be torn. Each Compact starts a new generation.
package journaler

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

const (
	identityFile    = "identity"
	logPrefix       = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

// generation numbers the pairs of a snapshot and a log, counted from 1.
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
	// Snapshot is the entry that the generation's snapshot ends with; its
	// index is 0 without a snapshot.
	Snapshot waxwingseam.LogPosition `cbor:"2,keyasint"`
	// Base is the entry before the first one in the file.
	Base waxwingseam.LogPosition `cbor:"3,keyasint"`
	// Storage is the identity's storage.
	Storage waxwingseam.StorageID `cbor:"4,keyasint"`
}

// batch is each later record of a log file: what one Persist made durable.
type batch struct {
	State   waxwingseam.ReplicaState `cbor:"1,keyasint"`
	Entries []waxwingseam.LogEntry   `cbor:"2,keyasint,omitempty"`
}

type journal struct {
	disk       waxwingseam.Disk
	identity   waxwingseam.ReplicaIdentity
	generation generation
	file       waxwingseam.DiskFile
	snapshot   waxwingseam.ReplicaSnapshot
	// failed is the first error; the journal takes nothing after it.
	failed error
}

// Format writes an identity, and the bootstrap that a new cluster starts from,
// into an empty folder. The bootstrap of a replica that joins is empty.
func Format(disk waxwingseam.Disk, identity waxwingseam.ReplicaIdentity, bootstrap waxwingseam.PersistReplica) error {
	formatted, err := Formatted(disk)
	if err != nil {
		return err
	}
	if formatted {
		return trace.AlreadyExists("the data folder holds a replica already")
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
	return Identify(disk, identity)
}

// Identify replaces the identity in a folder; its storage must stay.
func Identify(disk waxwingseam.Disk, identity waxwingseam.ReplicaIdentity) error {
	data, err := record(identity)
	if err != nil {
		return err
	}
	return writeFile(disk, identityFile, data)
}

// Formatted reports whether a folder holds a replica. The identity file is
// written last, so a folder without one holds nothing that was promised.
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

// Open reads a formatted folder. A torn last record of the log is cut, since
// nothing depended on it; any other damage is an error that names its place.
func Open(disk waxwingseam.Disk) (waxwingseam.Journal, waxwingseam.Recovery, error) {
	j := &journal{disk: disk}
	recovery, err := j.open()
	if err != nil {
		return nil, waxwingseam.Recovery{}, err
	}
	return j, recovery, nil
}

func (j *journal) open() (waxwingseam.Recovery, error) {
	var recovery waxwingseam.Recovery
	if err := readOne(j.disk, identityFile, &j.identity); err != nil {
		return recovery, err
	}
	names, err := j.disk.List()
	if err != nil {
		return recovery, trace.ConvertSystemError(err)
	}
	j.generation = latestGeneration(names)
	if j.generation == 0 {
		return recovery, trace.NotFound("the data folder has an identity and no log")
	}
	head, end, err := j.readLog(&recovery)
	if err != nil {
		return recovery, err
	}
	if err := j.readSnapshot(head); err != nil {
		return recovery, err
	}
	recovery.Snapshot = j.snapshot
	if err := j.removeOthers(names); err != nil {
		return recovery, err
	}
	j.file, err = j.disk.Append(j.generation.logFile(), end)
	if err != nil {
		return recovery, trace.ConvertSystemError(err)
	}
	return recovery, trace.ConvertSystemError(j.file.Sync())
}

// latestGeneration returns the highest number of a complete log file.
func latestGeneration(names []string) generation {
	var latest generation
	for _, n := range names {
		number, ok := strings.CutPrefix(n, logPrefix)
		if !ok {
			continue
		}
		g, err := strconv.ParseUint(number, 10, 64)
		if err == nil {
			latest = max(latest, generation(g))
		}
	}
	return latest
}

// readLog reads the log file and returns its header and where it ends.
func (j *journal) readLog(recovery *waxwingseam.Recovery) (header, int64, error) {
	var head header
	name := j.generation.logFile()
	data, err := j.disk.ReadFile(name)
	if err != nil {
		return head, 0, trace.ConvertSystemError(err)
	}
	r := &recordReader{name: name, data: data}
	if err := r.next(&head); err != nil {
		return head, 0, err
	}
	if head.Generation != j.generation || head.Storage != j.identity.Storage {
		return head, 0, trace.BadParameter("%s belongs to storage %s, generation %d", name, head.Storage, head.Generation)
	}
	recovery.Base = head.Base
	for r.more() {
		var b batch
		if err := r.next(&b); err != nil {
			return head, 0, err
		}
		if err := replay(recovery, b); err != nil {
			return head, 0, trace.Wrap(err, "%s", r.place())
		}
	}
	return head, int64(r.offset), r.damage
}

// replay adds a batch to what was recovered.
func replay(recovery *waxwingseam.Recovery, b batch) error {
	recovery.State = b.State
	if len(b.Entries) == 0 {
		return nil
	}
	first := b.Entries[0].Index
	next := recovery.Base.Index + waxwingseam.LogIndex(len(recovery.Entries)) + 1
	if first <= recovery.Base.Index || first > next {
		return trace.BadParameter("entry %d does not follow entry %d", first, next-1)
	}
	recovery.Entries = recovery.Entries[:first-recovery.Base.Index-1]
	recovery.Entries = append(recovery.Entries, b.Entries...)
	return nil
}

func (j *journal) readSnapshot(head header) error {
	if head.Snapshot.Index == 0 {
		return nil
	}
	name := j.generation.snapshotFile()
	if err := readOne(j.disk, name, &j.snapshot); err != nil {
		return err
	}
	if j.snapshot.LogPosition != head.Snapshot {
		return trace.BadParameter("%s ends with entry %d, the log expects %d", name, j.snapshot.Index, head.Snapshot.Index)
	}
	return nil
}

// removeOthers removes the files of other generations and temporary ones.
func (j *journal) removeOthers(names []string) error {
	for _, n := range names {
		if n == identityFile || n == j.generation.logFile() || n == j.generation.snapshotFile() {
			continue
		}
		ours := strings.HasPrefix(n, logPrefix) || strings.HasPrefix(n, snapshotPrefix) || strings.HasSuffix(n, temporarySuffix)
		if !ours {
			continue
		}
		if err := j.disk.Remove(n); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
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
	if j.failed != nil {
		return j.failed
	}
	j.failed = j.append(batch(p))
	return j.failed
}

func (j *journal) append(b batch) error {
	data, err := record(b)
	if err != nil {
		return err
	}
	if _, err := j.file.Write(data); err != nil {
		return trace.Wrap(trace.ConvertSystemError(err), "%s: write failed", j.generation.logFile())
	}
	if err := j.file.Sync(); err != nil {
		return trace.Wrap(trace.ConvertSystemError(err), "%s: sync failed", j.generation.logFile())
	}
	return nil
}

// Compact implements waxwingseam.Journal. The old generation goes only once
// the new one is durable under its own names.
func (j *journal) Compact(p waxwingseam.PersistSnapshot) error {
	if j.failed != nil {
		return j.failed
	}
	j.failed = j.compact(p)
	return j.failed
}

func (j *journal) compact(p waxwingseam.PersistSnapshot) error {
	old := j.generation
	j.generation++
	data, err := record(p.Snapshot)
	if err != nil {
		return err
	}
	if err := writeFile(j.disk, j.generation.snapshotFile(), data); err != nil {
		return err
	}
	if err := j.file.Close(); err != nil {
		return trace.ConvertSystemError(err)
	}
	head := header{
		Generation: j.generation,
		Snapshot:   p.Snapshot.LogPosition,
		Base:       p.Base,
		Storage:    j.identity.Storage,
	}
	if err := j.writeLog(head, batch{State: p.State, Entries: p.Entries}); err != nil {
		return err
	}
	if err := j.disk.Remove(old.logFile()); err != nil {
		return trace.ConvertSystemError(err)
	}
	if j.snapshot.Index > 0 {
		if err := j.disk.Remove(old.snapshotFile()); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	j.snapshot = p.Snapshot
	return nil
}

// writeLog writes a new log file and leaves it open.
func (j *journal) writeLog(head header, b batch) error {
	data, err := record(head)
	if err != nil {
		return err
	}
	first, err := record(b)
	if err != nil {
		return err
	}
	data = append(data, first...)
	name := j.generation.logFile()
	if err := writeFile(j.disk, name, data); err != nil {
		return err
	}
	j.file, err = j.disk.Append(name, int64(len(data)))
	return trace.ConvertSystemError(err)
}

// Close implements waxwingseam.Journal.
func (j *journal) Close() error {
	if j.failed == nil {
		j.failed = trace.Errorf("the journal is closed")
	}
	return trace.NewAggregate(
		trace.ConvertSystemError(j.file.Close()),
		trace.ConvertSystemError(j.disk.Close()),
	)
}

// writeFile makes a file durable in one step under its own name.
func writeFile(disk waxwingseam.Disk, name string, data []byte) error {
	temporary := name + temporarySuffix
	file, err := disk.Create(temporary)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := fill(file, data); err != nil {
		return trace.Wrap(err, "%s", name)
	}
	if err := disk.Rename(temporary, name); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(disk.Sync())
}

func fill(file waxwingseam.DiskFile, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return trace.NewAggregate(err, file.Close())
	}
	if err := file.Sync(); err != nil {
		return trace.NewAggregate(err, file.Close())
	}
	return trace.ConvertSystemError(file.Close())
}

// readOne reads a file that holds one whole record.
func readOne(disk waxwingseam.Disk, name string, v any) error {
	data, err := disk.ReadFile(name)
	if err != nil {
		return trace.Wrap(trace.ConvertSystemError(err), "%s", name)
	}
	r := &recordReader{name: name, data: data}
	if err := r.next(v); err != nil {
		return err
	}
	if r.offset < len(data) {
		return trace.BadParameter("%s: more than one record", r.place())
	}
	return nil
}

// record encodes a value as one record.
func record(v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return seal(payload), nil
}
