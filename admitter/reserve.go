package admitter

import "time"

const (
	// reservePeriod is the time between two changes of the bounds.
	reservePeriod = 100 * time.Millisecond
	// reserveKeep is what one change keeps of what was seen before it.
	reserveKeep = 0.99
	// forgotten is the time that a depth not in use any more may still weigh.
	forgotten = time.Microsecond
	// reserveRuns times the limit is how many runs are seen before the bounds
	// follow them.
	reserveRuns = 2
	// nestedHold is how long depths stay bounded after a root came back to the
	// server while it ran there.
	nestedHold = 30 * time.Second
	// reserveParts is the part of the limit that each deeper depth has until
	// then.
	reserveParts = 16
)

// reserve keeps slots free for calls that come deeper in the chain, so that
// calls of admitted roots never wait on others of theirs for good. Slots are
// bounded by depth as buffers are by hops in structured buffer pools (Raubold
// and Haenle, 1976), each depth by its part of the time in which runs hold
// slots while nothing waits.
//
// Only depths whose roots come back to the server while they run there are
// bounded: where no root does, no run waits on a deeper one here, and a bound
// would keep slots idle for calls that have gone.
type reserve struct {
	// held sums that time by depth, older runs weighing less.
	held    [depths]time.Duration
	bounds  [depths]float64
	deepest int
	seen    [depths]bool
	runs    int
	updated time.Time
	// nested is when a root of each depth last came back at a deeper one.
	nested [depths]time.Time
}

// arrived notes a depth in use.
func (r *reserve) arrived(depth int) {
	r.seen[depth] = true
	r.deepest = max(r.deepest, depth)
}

// cameBack notes that a root which runs at one depth has come at a deeper one.
func (r *reserve) cameBack(now time.Time, from, to int) {
	for d := from; d < to; d++ {
		r.nested[d] = now
	}
}

// nests reports whether roots of a depth come back.
func (r *reserve) nests(now time.Time, depth int) bool {
	return !r.nested[depth].IsZero() && now.Sub(r.nested[depth]) < nestedHold
}

// finished takes in the end of a run that was served.
func (r *reserve) finished(now time.Time, depth int, held time.Duration) {
	r.held[depth] += held
	r.runs++
	if now.Sub(r.updated) < reservePeriod {
		return
	}
	r.updated = now
	r.update()
}

func (r *reserve) update() {
	var total, above time.Duration
	for _, held := range r.held {
		total += held
	}
	r.deepest = 0
	for d, held := range r.held {
		r.seen[d] = r.seen[d] && held > forgotten
		if r.seen[d] {
			r.deepest = d
		}
		above += held
		r.bounds[d] = float64(above) / float64(max(total, 1))
		r.held[d] = time.Duration(float64(held) * reserveKeep)
	}
}

// bound returns how many runs of a depth and above it may use of a limit: their
// part, yet one slot less than the next deeper depth.
func (r *reserve) bound(now time.Time, limit, depth int) int {
	if depth >= r.deepest || !r.nests(now, depth) {
		return limit
	}
	if r.runs < reserveRuns*limit {
		return r.first(limit, depth)
	}
	return max(min(int(r.bounds[depth]*float64(limit)+0.5), limit-1), 1)
}

// first returns the bound of a depth while little has been seen.
func (r *reserve) first(limit, depth int) int {
	deeper := 0
	for _, seen := range r.seen[depth+1:] {
		if seen {
			deeper++
		}
	}
	return max(limit-deeper*max(limit/reserveParts, 1), 1)
}
