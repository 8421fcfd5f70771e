package experimenter

import (
	"container/heap"
	"time"
)

// task is a function to run at a virtual time.
type task struct {
	at  time.Time
	seq uint64
	do  func()
}

// scheduler runs tasks in the order of their virtual times, and tasks of the
// same time in the order in which they were added.
type scheduler struct {
	tasks taskHeap
	now   time.Time
	seq   uint64
}

// after schedules a function to run after a delay.
func (s *scheduler) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.tasks, task{at: s.now.Add(max(d, 0)), seq: s.seq, do: do})
}

// runUntil runs all tasks due before a time.
func (s *scheduler) runUntil(end time.Time) {
	for len(s.tasks) > 0 && s.tasks[0].at.Before(end) {
		t := heap.Pop(&s.tasks).(task)
		s.now = t.at
		t.do()
	}
	s.now = end
}

// taskHeap is a min-heap of tasks by time and order of addition.
type taskHeap []task

// Len implements heap.Interface.
func (x taskHeap) Len() int { return len(x) }

// Less implements heap.Interface.
func (x taskHeap) Less(i, j int) bool {
	if !x[i].at.Equal(x[j].at) {
		return x[i].at.Before(x[j].at)
	}
	return x[i].seq < x[j].seq
}

// Swap implements heap.Interface.
func (x taskHeap) Swap(i, j int) { x[i], x[j] = x[j], x[i] }

// Push implements heap.Interface.
func (x *taskHeap) Push(v any) { *x = append(*x, v.(task)) }

// Pop implements heap.Interface.
func (x *taskHeap) Pop() any {
	old := *x
	last := old[len(old)-1]
	old[len(old)-1] = task{}
	*x = old[:len(old)-1]
	return last
}
