package deduplicator

import (
	"container/heap"
	"time"

	"waxwingseam.example/waxwingseam"
)

// instant is a time in nanoseconds, a third of the size of a time.Time: there
// are two in each record.
type instant int64

func instantOf(t time.Time) instant {
	return instant(t.UnixNano())
}

// after returns the instant a duration later.
func (i instant) after(d time.Duration) instant {
	return i + instant(d)
}

// due is one appointment to look at a record again.
type due struct {
	at instant
	id waxwingseam.CallID
}

// schedule orders appointments by time.
type schedule []due

// Len implements heap.Interface.
func (s schedule) Len() int { return len(s) }

// Less implements heap.Interface.
func (s schedule) Less(i, j int) bool { return s[i].at < s[j].at }

// Swap implements heap.Interface.
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(due)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}

// add enters an appointment.
func (s *schedule) add(d due) {
	heap.Push(s, d)
}

// next takes out the first appointment not after now; false without one.
func (s *schedule) next(now instant) (due, bool) {
	if len(*s) == 0 || (*s)[0].at > now {
		return due{}, false
	}
	return heap.Pop(s).(due), true
}
