package admitter

// expiry is a min-heap of waiting tickets, ordered by the time at which they
// expire.
type expiry []*waiting

// Len implements heap.Interface.
func (x expiry) Len() int { return len(x) }

// Less implements heap.Interface.
func (x expiry) Less(i, j int) bool { return x[i].expiresAt.Before(x[j].expiresAt) }

// Swap implements heap.Interface.
func (x expiry) Swap(i, j int) {
	x[i], x[j] = x[j], x[i]
	x[i].expiryIndex = i
	x[j].expiryIndex = j
}

// Push implements heap.Interface.
func (x *expiry) Push(v any) {
	w := v.(*waiting)
	w.expiryIndex = len(*x)
	*x = append(*x, w)
}

// Pop implements heap.Interface.
func (x *expiry) Pop() any {
	old := *x
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*x = old[:len(old)-1]
	return last
}
