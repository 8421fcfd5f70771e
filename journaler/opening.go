package journaler

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// Open opens the journal in a formatted folder. It truncates a torn last record
// of the log, which was never acknowledged. Any other damage to the files is an
// error that names the file. A full disk does not prevent it.
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
	if err := readRecordFile(j.disk, identityFile, &j.identity); err != nil {
		return recovery, err
	}
	names, err := j.disk.List()
	if err != nil {
		return recovery, trace.ConvertSystemError(err)
	}
	j.generation = latestGeneration(names)
	if j.generation == 0 {
		return recovery, trace.NotFound("the data folder has an identity file but no log file")
	}
	head, end, err := j.readLog(&recovery)
	if err != nil {
		return recovery, err
	}
	if err := j.readSnapshot(head); err != nil {
		return recovery, err
	}
	recovery.Snapshot = j.snapshot
	j.findStaleFiles(names)
	if err := j.removeStale(); err != nil {
		return recovery, err
	}
	j.end = end
	if err := j.reopen(); err != nil && !IsFull(err) {
		return recovery, err
	}
	return recovery, nil
}

// latestGeneration returns the highest generation that has a log file, or 0 if
// there is none. A log file gets its name only once it is complete.
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

// readLog reads the log file and returns its header and the offset at which its
// last whole record ends.
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
			return head, 0, trace.Wrap(err, "%s", r.position())
		}
	}
	return head, int64(r.offset), r.damage
}

// replay applies a batch to a recovery.
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
	if !waxwingseam.ValidEntriesAfter(waxwingseam.LogPosition{Index: first - 1}, b.Entries) {
		return trace.BadParameter("invalid entries after entry %d", first-1)
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
	if err := readRecordFile(j.disk, name, &j.snapshot); err != nil {
		return err
	}
	if j.snapshot.LogPosition != head.Snapshot {
		return trace.BadParameter("%s ends with entry %d, but the log file expects entry %d", name, j.snapshot.Index, head.Snapshot.Index)
	}
	return nil
}

// findStaleFiles lists temporary files and the files of other generations as stale.
func (j *journal) findStaleFiles(names []string) {
	for _, n := range names {
		if n == identityFile || n == j.generation.logFile() || n == j.generation.snapshotFile() {
			continue
		}
		if strings.HasPrefix(n, logPrefix) || strings.HasPrefix(n, snapshotPrefix) || strings.HasSuffix(n, temporarySuffix) {
			j.stale = append(j.stale, n)
		}
	}
}
