package experimenter

import (
	"container/heap"
	"time"
)

// entry is something to do at a virtual time.
type entry struct {
	at  time.Time
	seq uint64
	do  func()
}

// agenda orders entries by time, those of one time as they were added.
type agenda struct {
	entries entries
	now     time.Time
	seq     uint64
}

// after adds something to do once a time has passed.
func (a *agenda) after(d time.Duration, do func()) {
	a.seq++
	heap.Push(&a.entries, entry{at: a.now.Add(max(d, 0)), seq: a.seq, do: do})
}

// runUntil does everything due before a time.
func (a *agenda) runUntil(end time.Time) {
	for len(a.entries) > 0 && a.entries[0].at.Before(end) {
		e := heap.Pop(&a.entries).(entry)
		a.now = e.at
		e.do()
	}
	a.now = end
}

// entries is a heap.
type entries []entry

// Len implements heap.Interface.
func (x entries) Len() int { return len(x) }

// Less implements heap.Interface.
func (x entries) Less(i, j int) bool {
	if !x[i].at.Equal(x[j].at) {
		return x[i].at.Before(x[j].at)
	}
	return x[i].seq < x[j].seq
}

// Swap implements heap.Interface.
func (x entries) Swap(i, j int) { x[i], x[j] = x[j], x[i] }

// Push implements heap.Interface.
func (x *entries) Push(v any) { *x = append(*x, v.(entry)) }

// Pop implements heap.Interface.
func (x *entries) Pop() any {
	old := *x
	last := old[len(old)-1]
	old[len(old)-1] = entry{}
	*x = old[:len(old)-1]
	return last
}
