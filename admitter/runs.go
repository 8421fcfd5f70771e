package admitter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// run is a call that runs at the backend server.
type run struct {
	root   waxwingseam.RootID
	class  waxwingseam.ClassName
	depth  int
	waited time.Duration
	// callingRoot is set for a root of a class that may make calls.
	callingRoot bool
}

// runs indexes the running calls of the backend server.
type runs struct {
	byID    map[waxwingseam.CallID]run
	byDepth [depthCount]int
	// callingRoots counts the running calls with callingRoot set.
	callingRoots int
	byRoot       map[waxwingseam.RootID]rootRuns
}

// rootRuns counts the running calls of one root. The field shallowest is the
// smallest depth at which the root has run since it last had no running call.
type rootRuns struct {
	count      int
	shallowest int
}

func newRuns() runs {
	return runs{
		byID:   map[waxwingseam.CallID]run{},
		byRoot: map[waxwingseam.RootID]rootRuns{},
	}
}

func (r *runs) len() int {
	return len(r.byID)
}

func (r *runs) add(t *waxwingseam.Ticket, waited time.Duration, callingRoot bool) {
	_, depth := laneIndices(t)
	r.byID[t.ID] = run{
		root:        t.Root,
		class:       t.Class,
		depth:       depth,
		waited:      waited,
		callingRoot: callingRoot,
	}
	if callingRoot {
		r.callingRoots++
	}
	r.byDepth[depth]++
	v, ok := r.byRoot[t.Root]
	if !ok || depth < v.shallowest {
		v.shallowest = depth
	}
	v.count++
	r.byRoot[t.Root] = v
}

func (r *runs) remove(id waxwingseam.CallID) (run, bool) {
	v, ok := r.byID[id]
	if !ok {
		return v, false
	}
	delete(r.byID, id)
	r.byDepth[v.depth]--
	if v.callingRoot {
		r.callingRoots--
	}
	remaining := r.byRoot[v.root]
	remaining.count--
	if remaining.count > 0 {
		r.byRoot[v.root] = remaining
	} else {
		delete(r.byRoot, v.root)
	}
	return v, true
}

// shallowestAbove returns the smallest depth at which a root has run, and
// reports whether the root is running and that depth is smaller than the given
// one.
func (r *runs) shallowestAbove(root waxwingseam.RootID, depth int) (int, bool) {
	v, ok := r.byRoot[root]
	return v.shallowest, ok && v.shallowest < depth
}
