package admitter

import "time"

const (
	// reservePeriod is the minimum time between two updates of the bounds.
	reservePeriod = 100 * time.Millisecond
	// reserveDecay multiplies the slot times at each update, so that older runs
	// weigh less.
	reserveDecay = 0.99
	// minSlotTime is the slot time at or below which a depth counts as unused.
	minSlotTime = time.Microsecond
	// reserveWarmupFactor times the limit is the number of runs after which the
	// bounds follow the slot times.
	reserveWarmupFactor = 2
	// nestingWindow is how long depths stay bounded after the arrival of a
	// nested call.
	nestingWindow = 30 * time.Second
	// initialReserveDivisor divides the limit to give the slots that are
	// reserved for each deeper depth until enough runs have ended.
	initialReserveDivisor = 16
)

// reserve keeps slots free for deeper calls, so that calls of admitted roots
// cannot wait for each other forever. It bounds the slots by depth, as
// structured buffer pools bound buffers by hop count (Raubold and Haenle,
// 1976). The bound follows from the slot time of each depth: the time in which
// runs hold slots, less the time that their further calls spend in queues.
//
// A call is nested if its root already runs at this server at a smaller depth.
// Only the depths above nested calls are bounded: without nested calls, no run
// waits for a deeper one at this server, and a bound would leave slots idle.
type reserve struct {
	// slotTime sums the slot times by depth; older runs weigh less.
	slotTime [depthCount]time.Duration
	// boundShares is the share of each depth and all smaller depths in the
	// total slot time.
	boundShares  [depthCount]float64
	deepest      int
	inUse        [depthCount]bool
	finishedRuns int
	updated      time.Time
	// lastNested is, for each depth, when a deeper call of a root that ran at
	// this depth or a smaller one last arrived.
	lastNested [depthCount]time.Time
}

// observeDepth marks a depth as in use.
func (r *reserve) observeDepth(depth int) {
	r.inUse[depth] = true
	r.deepest = max(r.deepest, depth)
}

// observeNesting records the arrival of a call at depth "to" whose root runs at
// depth "from".
func (r *reserve) observeNesting(now time.Time, from, to int) {
	for d := from; d < to; d++ {
		r.lastNested[d] = now
	}
}

// hasNesting reports whether a call deeper than the given depth, of a root that
// ran at that depth or a smaller one, arrived within nestingWindow.
func (r *reserve) hasNesting(now time.Time, depth int) bool {
	return !r.lastNested[depth].IsZero() && now.Sub(r.lastNested[depth]) < nestingWindow
}

// observeRun adds the slot time of a run that did not fail, and updates the
// bounds if reservePeriod has passed.
func (r *reserve) observeRun(now time.Time, depth int, slotTime time.Duration) {
	r.slotTime[depth] += slotTime
	r.finishedRuns++
	if now.Sub(r.updated) < reservePeriod {
		return
	}
	r.updated = now
	r.update()
}

func (r *reserve) update() {
	var total, cumulative time.Duration
	for _, slotTime := range r.slotTime {
		total += slotTime
	}
	r.deepest = 0
	for d, slotTime := range r.slotTime {
		r.inUse[d] = r.inUse[d] && slotTime > minSlotTime
		if r.inUse[d] {
			r.deepest = d
		}
		cumulative += slotTime
		r.boundShares[d] = float64(cumulative) / float64(max(total, 1))
		r.slotTime[d] = time.Duration(float64(slotTime) * reserveDecay)
	}
}

// bound returns how many slots of a limit the runs at a depth and all smaller
// depths may use. Without recent calls nested below the depth, that is the whole
// limit. Otherwise it is their share of the slot time, but at most one slot less
// than the limit; until enough runs have ended, it is initialBound.
func (r *reserve) bound(now time.Time, limit, depth int) int {
	if depth >= r.deepest || !r.hasNesting(now, depth) {
		return limit
	}
	if r.finishedRuns < reserveWarmupFactor*limit {
		return r.initialBound(limit, depth)
	}
	return max(min(int(r.boundShares[depth]*float64(limit)+0.5), limit-1), 1)
}

// initialBound returns the bound of a depth until enough runs have ended.
func (r *reserve) initialBound(limit, depth int) int {
	deeper := 0
	for _, inUse := range r.inUse[depth+1:] {
		if inUse {
			deeper++
		}
	}
	return max(limit-deeper*max(limit/initialReserveDivisor, 1), 1)
}
