package apportioner

import (
	"maps"
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// rootLifetime is how long a root is remembered, at least, after its last call.
	rootLifetime = 2 * time.Second
	// callsTimeConstant is the time in which the weight of a call falls to 1/e in the
	// number of calls of a root.
	callsTimeConstant = 5 * time.Second
)

// roots tells the first call of a root from its later ones, and counts the calls of the
// roots by class. Later calls come only once earlier ones have been served, so that
// their rate tells nothing of the demand while calls wait; the first call stands for
// all of them.
type roots struct {
	current, previous map[waxwingseam.RootID]struct{}
	rotated           time.Time
	byClass           map[callKey]*callCount
}

// callKey identifies calls of roots that are much alike.
type callKey struct {
	class      waxwingseam.ClassName
	importance waxwingseam.Importance
}

// callCount counts calls and roots; older ones weigh less.
type callCount struct {
	updated time.Time
	calls   float64
	roots   float64
}

func newRoots() roots {
	return roots{
		current: map[waxwingseam.RootID]struct{}{},
		byClass: map[callKey]*callCount{},
	}
}

// observe records a call. For the first call of a root, it returns the mean number of
// calls that such a root makes; for the others, 0.
func (r *roots) observe(now time.Time, d *waxwingseam.Demand) float64 {
	first := r.add(now, d.Root)
	key := callKey{d.Class, d.Importance}
	n, ok := r.byClass[key]
	if !ok {
		maps.DeleteFunc(r.byClass, func(_ callKey, n *callCount) bool { return now.Sub(n.updated) >= classLifetime })
		n = &callCount{}
		r.byClass[key] = n
	}
	factor := math.Exp(-max(now.Sub(n.updated), 0).Seconds() / callsTimeConstant.Seconds())
	n.updated = now
	n.calls = n.calls*factor + 1
	n.roots *= factor
	if !first {
		return 0
	}
	n.roots++
	return n.calls / n.roots
}

// add remembers a root and reports whether it was unknown.
func (r *roots) add(now time.Time, id waxwingseam.RootID) bool {
	if now.Sub(r.rotated) >= rootLifetime {
		r.previous, r.current = r.current, make(map[waxwingseam.RootID]struct{}, len(r.current))
		r.rotated = now
	}
	if _, ok := r.current[id]; ok {
		return false
	}
	r.current[id] = struct{}{}
	_, ok := r.previous[id]
	return !ok
}
