package admitter

import (
	"container/heap"

	"waxwingseam.example/waxwingseam"
)

const (
	importances = int(waxwingseam.MaxImportance) + 1
	// depths is the number of depths told apart; deeper calls count as the last.
	depths = 16
)

// queue holds the waiting tickets of one backend server.
type queue struct {
	lanes  [importances][depths]lane
	expiry expiry
	byID   map[waxwingseam.CallID]*waiting
	// roots counts the waiting tickets of depth 0, counts all of an importance.
	roots  int
	counts [importances]int
	free   []*waiting
}

func newQueue() queue {
	return queue{byID: map[waxwingseam.CallID]*waiting{}}
}

// level returns the indices of a ticket's lane.
func level(t *waxwingseam.Ticket) (importance, depth int) {
	return min(int(t.Rank.Importance), importances-1), min(int(t.Depth), depths-1)
}

func (q *queue) len() int {
	return len(q.expiry)
}

func (q *queue) add(v waiting) {
	w := q.allocate()
	*w = v
	importance, depth := level(&w.ticket)
	q.lanes[importance][depth].add(w)
	q.byID[w.ticket.ID] = w
	heap.Push(&q.expiry, w)
	q.counts[importance]++
	if depth == 0 {
		q.roots++
	}
}

// remove takes a ticket out and returns its value.
func (q *queue) remove(w *waiting) waiting {
	importance, depth := level(&w.ticket)
	q.lanes[importance][depth].remove(w)
	delete(q.byID, w.ticket.ID)
	heap.Remove(&q.expiry, w.place)
	q.counts[importance]--
	if depth == 0 {
		q.roots--
	}
	v := *w
	q.free = append(q.free, w)
	return v
}

func (q *queue) allocate() *waiting {
	if len(q.free) == 0 {
		return &waiting{}
	}
	w := q.free[len(q.free)-1]
	q.free = q.free[:len(q.free)-1]
	return w
}

// worst returns the ticket to give up first: of the least importance, roots
// before deeper calls, and the last in order; nil when nothing waits. Where
// only roots come into question, deeper calls are passed over.
func (q *queue) worst(onlyRoots bool) *waiting {
	end := depths
	if onlyRoots {
		end = 1
	}
	for i := range importances {
		if q.counts[i] == 0 {
			continue
		}
		for d := range end {
			if l := &q.lanes[i][d]; !l.empty() {
				return l.last()
			}
		}
	}
	return nil
}
