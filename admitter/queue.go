package admitter

import (
	"container/heap"

	"waxwingseam.example/waxwingseam"
)

const (
	importanceCount = int(waxwingseam.MaxImportance) + 1
	// depthCount is the number of distinct depths; deeper calls are assigned to
	// the last one.
	depthCount = 16
)

// queue holds the waiting tickets of one backend server.
type queue struct {
	lanes  [importanceCount][depthCount]fairLane
	expiry expiryHeap
	byID   map[waxwingseam.CallID]*queuedTicket
	// roots counts the waiting tickets of depth 0, byImportance those of each
	// importance.
	roots        int
	byImportance [importanceCount]int
	// reusable holds the memory of removed tickets for new ones.
	reusable []*queuedTicket
}

func newQueue() queue {
	return queue{byID: map[waxwingseam.CallID]*queuedTicket{}}
}

// laneIndices returns the indices of a ticket's lane.
func laneIndices(t *waxwingseam.Ticket) (importance, depth int) {
	return min(int(t.Rank.Importance), importanceCount-1), min(int(t.Depth), depthCount-1)
}

func (q *queue) len() int {
	return len(q.expiry)
}

func (q *queue) add(v queuedTicket) {
	w := q.allocate()
	*w = v
	importance, depth := laneIndices(&w.ticket)
	q.lanes[importance][depth].add(w)
	q.byID[w.ticket.ID] = w
	heap.Push(&q.expiry, w)
	q.byImportance[importance]++
	if depth == 0 {
		q.roots++
	}
}

// remove deletes a ticket and returns its value; w itself is reused for another
// ticket.
func (q *queue) remove(w *queuedTicket) queuedTicket {
	importance, depth := laneIndices(&w.ticket)
	q.lanes[importance][depth].remove(w)
	delete(q.byID, w.ticket.ID)
	heap.Remove(&q.expiry, w.expiryIndex)
	q.byImportance[importance]--
	if depth == 0 {
		q.roots--
	}
	v := *w
	q.reusable = append(q.reusable, w)
	return v
}

func (q *queue) allocate() *queuedTicket {
	if len(q.reusable) == 0 {
		return &queuedTicket{}
	}
	w := q.reusable[len(q.reusable)-1]
	q.reusable = q.reusable[:len(q.reusable)-1]
	return w
}

// worst returns the ticket to evict first, or nil if there is none: of the
// lowest importance, then of the smallest depth, then the last in order of
// service. If onlyRoots is set, it considers only roots.
func (q *queue) worst(onlyRoots bool) *queuedTicket {
	end := depthCount
	if onlyRoots {
		end = 1
	}
	for i := range importanceCount {
		if q.byImportance[i] == 0 {
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

// backlogExceeds reports whether the account of a waiting ticket has a larger backlog in
// the ticket's lane than the account of t would have there with t, whose weight is given.
func (q *queue) backlogExceeds(w *queuedTicket, t *waxwingseam.Ticket, weight float64) bool {
	importance, depth := laneIndices(&w.ticket)
	l := &q.lanes[importance][depth]
	return l.flows[w.ticket.Account].backlog() > l.backlogWith(t, weight)
}
