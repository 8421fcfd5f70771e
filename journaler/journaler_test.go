package journaler

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

var identity = waxwingseam.ReplicaIdentity{Cluster: "k", Replica: "a", Storage: "s"}

// entries returns entries of a term with commands longer than a sector.
func entries(term waxwingseam.Term, from, to waxwingseam.LogIndex) []waxwingseam.LogEntry {
	var out []waxwingseam.LogEntry
	for i := from; i <= to; i++ {
		command := strings.Repeat(fmt.Sprintf("command %d of term %d;", i, term), 60)
		out = append(out, waxwingseam.LogEntry{Index: i, Term: term, Command: []byte(command)})
	}
	return out
}

// change is one call to Persist or Compact.
type change struct {
	persist *waxwingseam.PersistReplica
	compact *waxwingseam.PersistSnapshot
}

func persist(term waxwingseam.Term, from, to waxwingseam.LogIndex) change {
	return change{persist: &waxwingseam.PersistReplica{
		State:   waxwingseam.ReplicaState{Term: term, Vote: "s"},
		Entries: entries(term, from, to),
	}}
}

func compact(term waxwingseam.Term, base, at, last waxwingseam.LogIndex) change {
	return change{compact: &waxwingseam.PersistSnapshot{
		State: waxwingseam.ReplicaState{Term: term},
		Snapshot: waxwingseam.ReplicaSnapshot{
			LogPosition: waxwingseam.LogPosition{Index: at, Term: term},
			Data:        fmt.Appendf(nil, "state %d", at),
		},
		Base:    waxwingseam.LogPosition{Index: base, Term: term},
		Entries: entries(term, base+1, last),
	}}
}

// testChanges contains each kind of change: a vote alone, entries, entries that
// replace others, and snapshots with and without later entries.
var testChanges = []change{
	persist(1, 1, 0),
	persist(1, 1, 3),
	persist(2, 3, 5),
	compact(2, 2, 4, 5),
	persist(2, 6, 7),
	persist(3, 7, 7),
	compact(3, 9, 9, 9),
	persist(3, 10, 10),
}

func (v change) apply(j waxwingseam.Journal) error {
	if v.compact != nil {
		return j.Compact(*v.compact)
	}
	return j.Persist(*v.persist)
}

// recoveryAfter returns the expected recovery after the first n changes.
func recoveryAfter(n int) waxwingseam.Recovery {
	var r waxwingseam.Recovery
	for _, v := range testChanges[:n] {
		if v.compact != nil {
			r = waxwingseam.Recovery{State: v.compact.State, Snapshot: v.compact.Snapshot, Base: v.compact.Base, Entries: v.compact.Entries}
			continue
		}
		_ = replay(&r, batch(*v.persist))
		r.Entries = slices.Clone(r.Entries)
	}
	return r
}

// applyChanges formats a disk and applies testChanges. It returns how many of
// them succeeded, or -1 if formatting failed.
func applyChanges(d waxwingseam.Disk) (int, error) {
	if err := Format(d, identity, waxwingseam.PersistReplica{}); err != nil {
		return -1, err
	}
	j, _, err := Open(d)
	if err != nil {
		return 0, err
	}
	for i, v := range testChanges {
		if err := v.apply(j); err != nil {
			if again := v.apply(j); again == nil {
				return i, fmt.Errorf("a failed journal accepted a change")
			}
			return i, err
		}
	}
	return len(testChanges), nil
}

func equal(a, b waxwingseam.Recovery) bool {
	return fmt.Sprintf("%+v", a) == fmt.Sprintf("%+v", b)
}

// TestRecoveryAfterFailureAtEachStep fails the disk at each step and in each loss
// mode. The recovery must contain all acknowledged changes, and may contain the
// change in progress.
func TestRecoveryAfterFailureAtEachStep(t *testing.T) {
	reference := newCrashDisk()
	n, err := applyChanges(reference)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, len(testChanges))
	for step := 1; step <= reference.steps; step++ {
		for _, l := range lossModes {
			d := newCrashDisk()
			d.failAt, d.failure = step, errCrash
			acknowledged, err := applyChanges(d)
			qt.Assert(t, err, qt.ErrorMatches, "(?s).*the host failed.*")
			d.crash(l)
			checkRecovered(t, d, acknowledged, fmt.Sprintf("step %d, %s, after %d changes", step, l, acknowledged))
		}
	}
}

func checkRecovered(t *testing.T, d waxwingseam.Disk, acknowledged int, description string) {
	t.Helper()
	formatted, err := Formatted(d)
	qt.Assert(t, err, qt.IsNil)
	if !formatted {
		qt.Assert(t, acknowledged, qt.Equals, -1, qt.Commentf("%s", description))
		return
	}
	_, got, err := Open(d)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", description))
	acknowledged = max(acknowledged, 0)
	matches := equal(got, recoveryAfter(acknowledged)) || acknowledged < len(testChanges) && equal(got, recoveryAfter(acknowledged+1))
	qt.Assert(t, matches, qt.IsTrue, qt.Commentf("%s: %+v", description, got))
}

// TestFullDiskStopsTheJournal checks that a journal whose disk is full accepts
// no further change, and that all acknowledged changes are recovered.
func TestFullDiskStopsTheJournal(t *testing.T) {
	reference := newCrashDisk()
	_, _ = applyChanges(reference)
	for step := 1; step <= reference.steps; step++ {
		d := newCrashDisk()
		d.failAt, d.failure = step, errFull
		acknowledged, err := applyChanges(d)
		qt.Assert(t, err, qt.ErrorMatches, "(?s).*no space left on device.*")
		d.failAt = 0
		checkRecovered(t, d, acknowledged, fmt.Sprintf("step %d", step))
	}
}

// TestJournalStaysUnusableAfterFullDisk guards against a journal that accepts no change once
// its disk has room again, and against one that loses what it acknowledged, whether the host
// fails while the disk is full or later. The disk fills at each step in turn.
func TestJournalStaysUnusableAfterFullDisk(t *testing.T) {
	reference := newCrashDisk()
	_, _ = applyChanges(reference)
	formatting := newCrashDisk()
	_ = Format(formatting, identity, waxwingseam.PersistReplica{})
	for step := formatting.steps + 1; step <= reference.steps; step++ {
		for _, l := range lossModes {
			for _, failsWhileFull := range []bool{false, true} {
				fillDisk(t, step, l, failsWhileFull)
			}
		}
	}
}

// fillDisk applies testChanges to a disk that is full from a step on, until a change was
// refused twice.
func fillDisk(t *testing.T, step int, l lossMode, failsWhileFull bool) {
	t.Helper()
	description := fmt.Sprintf("step %d, %s, while full: %v", step, l, failsWhileFull)
	d := newCrashDisk()
	qt.Assert(t, Format(d, identity, waxwingseam.PersistReplica{}), qt.IsNil)
	d.failAt, d.failure = step, errFull
	j, _, err := Open(d)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", description))
	for i, v := range testChanges {
		if err := v.apply(j); err == nil {
			continue
		}
		qt.Assert(t, IsFull(v.apply(j)), qt.IsTrue, qt.Commentf("%s", description))
		if failsWhileFull {
			d.crash(l)
			checkRecovered(t, d, i, description)
			return
		}
		d.failAt = 0
		qt.Assert(t, v.apply(j), qt.IsNil, qt.Commentf("%s, change %d", description, i))
	}
	d.crash(l)
	checkRecovered(t, d, len(testChanges), description)
}

// TestOpenRejectsFlippedBits flips a bit in each byte of each file in turn. Open
// must return an error that names the file.
func TestOpenRejectsFlippedBits(t *testing.T) {
	d := newCrashDisk()
	_, err := applyChanges(d)
	qt.Assert(t, err, qt.IsNil)
	for name, n := range d.names {
		for i := range n.data {
			n.data[i] ^= 1 << (i % 8)
			_, _, err := Open(d)
			qt.Assert(t, err, qt.ErrorMatches, "(?s).*"+name+".*", qt.Commentf("%s, byte %d", name, i))
			n.data[i] ^= 1 << (i % 8)
		}
	}
	_, got, err := Open(d)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, equal(got, recoveryAfter(len(testChanges))), qt.IsTrue)
}

func TestOpenNamesMissingFile(t *testing.T) {
	for _, v := range []struct {
		name   string
		remove string
		want   string
	}{
		{"no snapshot", generation(3).snapshotFile(), "(?s).*snapshot-0000000000000003.*"},
		{"no log", generation(3).logFile(), "(?s).*an identity file but no log file.*"},
		{"no identity", identityFile, "(?s).*identity.*"},
	} {
		t.Run(v.name, func(t *testing.T) {
			d := newCrashDisk()
			_, err := applyChanges(d)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, d.Remove(v.remove), qt.IsNil)
			_, _, err = Open(d)
			qt.Assert(t, err, qt.ErrorMatches, v.want)
		})
	}
}

// TestFolderRecoversChanges checks that a folder recovers its changes, is open
// in one process at a time and is not formatted twice.
func TestFolderRecoversChanges(t *testing.T) {
	path := t.TempDir()
	disk, err := OpenFolder(path)
	qt.Assert(t, err, qt.IsNil)
	_, err = OpenFolder(path)
	qt.Assert(t, err, qt.ErrorMatches, ".*in use by another process.*")
	_, err = applyChanges(disk)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, disk.Close(), qt.IsNil)
	disk, err = OpenFolder(path)
	qt.Assert(t, err, qt.IsNil)
	j, got, err := Open(disk)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, equal(got, recoveryAfter(len(testChanges))), qt.IsTrue)
	qt.Assert(t, j.Identity(), qt.Equals, identity)
	qt.Assert(t, Format(disk, identity, waxwingseam.PersistReplica{}), qt.ErrorMatches, ".*already contains a replica")
	qt.Assert(t, j.Close(), qt.IsNil)
}

// FuzzOpen opens folders with arbitrary log files. Open must return an error or a
// recovery whose entries follow its base without a gap.
func FuzzOpen(f *testing.F) {
	d := newCrashDisk()
	_, err := applyChanges(d)
	qt.Assert(f, err, qt.IsNil)
	name := generation(3).logFile()
	whole := d.names[name].data
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add(frame([]byte{0xa0}))
	f.Fuzz(func(t *testing.T, data []byte) {
		fuzzed := newCrashDisk()
		for n, v := range d.names {
			fuzzed.names[n] = &inode{data: v.data}
		}
		fuzzed.names[name] = &inode{data: data}
		_, got, err := Open(fuzzed)
		if err != nil {
			return
		}
		qt.Assert(t, waxwingseam.ValidEntriesAfter(got.Base, got.Entries), qt.IsTrue)
	})
}
