package admitter

// expiryHeap is a min-heap of queued tickets, ordered by the time at which they
// expire.
type expiryHeap []*queuedTicket

// Len implements heap.Interface.
func (x expiryHeap) Len() int { return len(x) }

// Less implements heap.Interface.
func (x expiryHeap) Less(i, j int) bool { return x[i].expiresAt.Before(x[j].expiresAt) }

// Swap implements heap.Interface.
func (x expiryHeap) Swap(i, j int) {
	x[i], x[j] = x[j], x[i]
	x[i].expiryIndex = i
	x[j].expiryIndex = j
}

// Push implements heap.Interface.
func (x *expiryHeap) Push(v any) {
	w := v.(*queuedTicket)
	w.expiryIndex = len(*x)
	*x = append(*x, w)
}

// Pop implements heap.Interface.
func (x *expiryHeap) Pop() any {
	old := *x
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*x = old[:len(old)-1]
	return last
}
