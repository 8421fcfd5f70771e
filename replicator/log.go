package replicator

import (
	"slices"

	"waxwingseam.example/waxwingseam"
)

// log is the part of the replicated log that is in memory.
type log struct {
	// base is the position of the entry that precedes entries.
	base    waxwingseam.LogPosition
	entries []waxwingseam.LogEntry
}

func newLog(base waxwingseam.LogPosition, entries []waxwingseam.LogEntry) *log {
	return &log{
		base:    base,
		entries: slices.Clone(entries),
	}
}

// last returns the position of the last entry.
func (l *log) last() waxwingseam.LogPosition {
	if len(l.entries) == 0 {
		return l.base
	}
	e := l.entries[len(l.entries)-1]
	return waxwingseam.LogPosition{Index: e.Index, Term: e.Term}
}

// term returns the term at an index, or false if the index is not in memory.
func (l *log) term(i waxwingseam.LogIndex) (waxwingseam.Term, bool) {
	if i == l.base.Index {
		return l.base.Term, true
	}
	if i < l.base.Index || i > l.last().Index {
		return 0, false
	}
	return l.entries[i-l.base.Index-1].Term, true
}

// contains reports whether the log has an entry with the index and term of a
// position.
func (l *log) contains(p waxwingseam.LogPosition) bool {
	term, ok := l.term(p.Index)
	return ok && term == p.Term
}

// at returns the entry at an index, which must be in memory.
func (l *log) at(i waxwingseam.LogIndex) waxwingseam.LogEntry {
	return l.entries[i-l.base.Index-1]
}

// entriesFrom returns the entries from an index on: the first one, and as many
// more as fit into a number of bytes.
func (l *log) entriesFrom(i waxwingseam.LogIndex, limit int) []waxwingseam.LogEntry {
	if i > l.last().Index {
		return nil
	}
	tail := l.entries[i-l.base.Index-1:]
	size := 0
	for n, e := range tail {
		size += len(e.Command)
		if n > 0 && size > limit {
			return slices.Clip(tail[:n])
		}
	}
	return slices.Clip(tail)
}

// truncateAndAppend drops the entries from the index of entries[0] on and
// appends entries, which must not be empty. Truncation copies the array,
// because effects may still refer to it.
func (l *log) truncateAndAppend(entries []waxwingseam.LogEntry) {
	kept := entries[0].Index - l.base.Index - 1
	if int(kept) < len(l.entries) {
		l.entries = slices.Clone(l.entries[:kept])
	}
	l.entries = append(l.entries, entries...)
}

// compact drops the entries up to and including an index.
func (l *log) compact(i waxwingseam.LogIndex) {
	if i <= l.base.Index {
		return
	}
	term, _ := l.term(i)
	l.entries = slices.Clone(l.entries[i-l.base.Index:])
	l.base = waxwingseam.LogPosition{Index: i, Term: term}
}

// reset empties the log; the next entry follows the given position.
func (l *log) reset(p waxwingseam.LogPosition) {
	l.base = p
	l.entries = nil
}

// compactionIndex returns the index up to which entries can be dropped. The
// entries that then remain up to snapshotIndex are within the given number and
// size.
func (l *log) compactionIndex(snapshotIndex waxwingseam.LogIndex, entries, bytes int) waxwingseam.LogIndex {
	i := snapshotIndex
	for i > l.base.Index && entries > 0 {
		bytes -= len(l.at(i).Command)
		if bytes < 0 {
			return i
		}
		entries--
		i--
	}
	return i
}
