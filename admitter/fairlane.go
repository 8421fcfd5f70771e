package admitter

import (
	"container/heap"

	"waxwingseam.example/waxwingseam"
)

// flow holds the waiting tickets of one account in one lane, in order of service.
type flow struct {
	lane
	share *accountShare
	// serviceIndex and evictionIndex are the indices of the flow in the heaps of its lane.
	serviceIndex  int
	evictionIndex int
}

// fairLane holds the waiting tickets of one importance and one depth. Among accounts, the
// one with the smallest start tag is served first; within an account, the order of
// service decides. Without accounts, all tickets are in one flow.
type fairLane struct {
	flows map[waxwingseam.AccountName]*flow
	// byService has the flow to serve next first, byBacklog the one to evict from.
	byService serviceHeap
	byBacklog backlogHeap
	// reusable holds the memory of the last flow that became empty.
	reusable *flow
}

func (l *fairLane) empty() bool {
	return len(l.byService) == 0
}

// add inserts a ticket into the flow of its account.
func (l *fairLane) add(w *queuedTicket) {
	account := w.ticket.Account
	f, ok := l.flows[account]
	if !ok {
		f = l.reusable
		if l.reusable = nil; f == nil {
			f = &flow{}
		}
		f.share = w.share
		f.add(w)
		if l.flows == nil {
			l.flows = map[waxwingseam.AccountName]*flow{}
		}
		l.flows[account] = f
		heap.Push(&l.byService, f)
		heap.Push(&l.byBacklog, f)
		w.share.addFlow(l, f)
		return
	}
	f.add(w)
	l.fix(f)
}

// fix restores the order of the heaps after a change of one flow.
func (l *fairLane) fix(f *flow) {
	if len(l.byService) == 1 {
		return
	}
	heap.Fix(&l.byService, f.serviceIndex)
	heap.Fix(&l.byBacklog, f.evictionIndex)
}

func (l *fairLane) remove(w *queuedTicket) {
	account := w.ticket.Account
	f, ok := l.flows[account]
	if !ok {
		return
	}
	f.remove(w)
	if !f.empty() {
		l.fix(f)
		return
	}
	heap.Remove(&l.byService, f.serviceIndex)
	heap.Remove(&l.byBacklog, f.evictionIndex)
	delete(l.flows, account)
	f.share.removeFlow(f)
	f.share = nil
	l.reusable = f
}

// first returns the ticket to serve next.
func (l *fairLane) first() *queuedTicket {
	return l.byService[0].first()
}

// last returns the ticket to evict first: the last one of the account that has most
// tickets waiting for its weight.
func (l *fairLane) last() *queuedTicket {
	return l.byBacklog[0].last()
}

// backlog returns how many tickets of the flow wait for each unit of its account's weight,
// without the first one: an account of little weight may have one waiting, too.
func (f *flow) backlog() float64 {
	return float64(len(f.tickets)-1) / f.share.weight
}

// backlogWith returns the backlog of an account's flow with one more ticket.
func (l *fairLane) backlogWith(t *waxwingseam.Ticket, weight float64) float64 {
	n := 0
	if f, ok := l.flows[t.Account]; ok {
		n = len(f.tickets)
	}
	return float64(n) / weight
}

// serviceHeap is a heap of flows by start tag, then by the order of their first tickets.
type serviceHeap []*flow

// Len implements heap.Interface.
func (h serviceHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h serviceHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.share.start != b.share.start {
		return a.share.start < b.share.start
	}
	return a.first().ticket.Rank.Before(b.first().ticket.Rank)
}

// Swap implements heap.Interface.
func (h serviceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].serviceIndex, h[j].serviceIndex = i, j
}

// Push implements heap.Interface.
func (h *serviceHeap) Push(v any) {
	f := v.(*flow)
	f.serviceIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *serviceHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// backlogHeap is a heap of flows by backlog, the largest first, then by the order of their
// last tickets, the latest first.
type backlogHeap []*flow

// Len implements heap.Interface.
func (h backlogHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h backlogHeap) Less(i, j int) bool {
	a, b := h[i].backlog(), h[j].backlog()
	if a != b {
		return a > b
	}
	return h[j].last().ticket.Rank.Before(h[i].last().ticket.Rank)
}

// Swap implements heap.Interface.
func (h backlogHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].evictionIndex, h[j].evictionIndex = i, j
}

// Push implements heap.Interface.
func (h *backlogHeap) Push(v any) {
	f := v.(*flow)
	f.evictionIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *backlogHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
