package admitter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// run is a call at the backend server.
type run struct {
	depth  int
	waited time.Duration
}

// runs counts the calls at the backend server.
type runs struct {
	byID    map[waxwingseam.CallID]run
	byDepth [depths]int
}

func newRuns() runs {
	return runs{byID: map[waxwingseam.CallID]run{}}
}

func (r *runs) len() int {
	return len(r.byID)
}

func (r *runs) add(t *waxwingseam.Ticket, waited time.Duration) {
	_, depth := level(t)
	r.byID[t.ID] = run{
		depth:  depth,
		waited: waited,
	}
	r.byDepth[depth]++
}

func (r *runs) remove(id waxwingseam.CallID) (run, bool) {
	v, ok := r.byID[id]
	if ok {
		delete(r.byID, id)
		r.byDepth[v.depth]--
	}
	return v, ok
}
