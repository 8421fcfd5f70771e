package deduplicator

import (
	"container/heap"
	"time"

	"waxwingseam.example/waxwingseam"
)

// instant is a time in nanoseconds since the Unix epoch. It takes a third of
// the memory of a time.Time; each record has two.
type instant int64

func instantOf(t time.Time) instant {
	return instant(t.UnixNano())
}

// add returns the instant plus a duration.
func (i instant) add(d time.Duration) instant {
	return i + instant(d)
}

// expiryCheck is a scheduled check whether a record has expired.
type expiryCheck struct {
	at instant
	id waxwingseam.CallID
}

// schedule is a heap of expiry checks, earliest first.
type schedule []expiryCheck

// Len implements heap.Interface.
func (s schedule) Len() int { return len(s) }

// Less implements heap.Interface.
func (s schedule) Less(i, j int) bool { return s[i].at < s[j].at }

// Swap implements heap.Interface.
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(expiryCheck)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}

// add schedules a check.
func (s *schedule) add(check expiryCheck) {
	heap.Push(s, check)
}

// popDue removes and returns the earliest check that is due; false if none is.
func (s *schedule) popDue(now instant) (expiryCheck, bool) {
	if len(*s) == 0 || (*s)[0].at > now {
		return expiryCheck{}, false
	}
	return heap.Pop(s).(expiryCheck), true
}
