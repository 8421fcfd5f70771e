package replicator

import (
	"slices"

	"waxwingseam.example/waxwingseam"
)

// log is the part of the log that is held in memory.
type log struct {
	// base is the entry before the first of entries.
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

// term returns an entry's term; false for one that is not held.
func (l *log) term(i waxwingseam.LogIndex) (waxwingseam.Term, bool) {
	if i == l.base.Index {
		return l.base.Term, true
	}
	if i < l.base.Index || i > l.last().Index {
		return 0, false
	}
	return l.entries[i-l.base.Index-1].Term, true
}

// holds reports whether the log has the entry of a position.
func (l *log) holds(p waxwingseam.LogPosition) bool {
	term, ok := l.term(p.Index)
	return ok && term == p.Term
}

// at returns an entry that is held.
func (l *log) at(i waxwingseam.LogIndex) waxwingseam.LogEntry {
	return l.entries[i-l.base.Index-1]
}

// from returns entries from an index on, the first and then as many as fit
// into a number of bytes.
func (l *log) from(i waxwingseam.LogIndex, limit int) []waxwingseam.LogEntry {
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

// replace puts entries in place of those from the first one's index on. The
// array is copied where entries go, since effects may still refer to it.
func (l *log) replace(entries []waxwingseam.LogEntry) {
	keep := entries[0].Index - l.base.Index - 1
	if int(keep) < len(l.entries) {
		l.entries = slices.Clone(l.entries[:keep])
	}
	l.entries = append(l.entries, entries...)
}

// compact drops the entries up to an index.
func (l *log) compact(i waxwingseam.LogIndex) {
	if i <= l.base.Index {
		return
	}
	term, _ := l.term(i)
	l.entries = slices.Clone(l.entries[i-l.base.Index:])
	l.base = waxwingseam.LogPosition{Index: i, Term: term}
}

// reset starts the log anew behind a position.
func (l *log) reset(p waxwingseam.LogPosition) {
	l.base = p
	l.entries = nil
}

// keepFrom returns the index up to which entries may go, so that at most a
// number of entries and bytes stays in front of upTo.
func (l *log) keepFrom(upTo waxwingseam.LogIndex, entries, bytes int) waxwingseam.LogIndex {
	i := upTo
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
