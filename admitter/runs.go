package admitter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// run is a call at the backend server.
type run struct {
	importance int
	depth      int
	waited     time.Duration
}

// runs counts the calls at the backend server.
type runs struct {
	byID   map[waxwingseam.CallID]run
	counts [importances][depths]int
}

func newRuns() runs {
	return runs{byID: map[waxwingseam.CallID]run{}}
}

func (r *runs) len() int {
	return len(r.byID)
}

func (r *runs) add(t *waxwingseam.Ticket, waited time.Duration) {
	importance, depth := level(t)
	r.byID[t.ID] = run{
		importance: importance,
		depth:      depth,
		waited:     waited,
	}
	r.counts[importance][depth]++
}

func (r *runs) remove(id waxwingseam.CallID) (run, bool) {
	v, ok := r.byID[id]
	if ok {
		delete(r.byID, id)
		r.counts[v.importance][v.depth]--
	}
	return v, ok
}

// upTo counts the runs of at least an importance and at most a depth.
func (r *runs) upTo(importance, depth int) int {
	n := 0
	for i := importance; i < importances; i++ {
		for d := 0; d <= depth; d++ {
			n += r.counts[i][d]
		}
	}
	return n
}
