package admitter

// expiry orders waiting tickets by the end of their wait; it is a heap.
type expiry []*waiting

// Len implements heap.Interface.
func (x expiry) Len() int { return len(x) }

// Less implements heap.Interface.
func (x expiry) Less(i, j int) bool { return x[i].until.Before(x[j].until) }

// Swap implements heap.Interface.
func (x expiry) Swap(i, j int) {
	x[i], x[j] = x[j], x[i]
	x[i].place = i
	x[j].place = j
}

// Push implements heap.Interface.
func (x *expiry) Push(v any) {
	w := v.(*waiting)
	w.place = len(*x)
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
