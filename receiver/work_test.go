package receiver

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// endWithLoad ends a run of a time, and returns the load in the answer.
func (h *harness) endWithLoad(id uint64, elapsed time.Duration, load waxwingseam.BackendLoad) waxwingseam.Load {
	for _, x := range h.reducer.Reduce(waxwingseam.RunEnded{
		Stamp: h.stamp(), ID: waxwingseam.NewCallID(0, id), Elapsed: elapsed,
		Result: waxwingseam.Result{Outcome: waxwingseam.OutcomeCompleted, Status: 200}, Load: load,
	}) {
		if v, ok := x.(waxwingseam.AnswerAttempt); ok {
			return v.Result.Load
		}
	}
	return waxwingseam.Load{}
}

// runs runs calls of a time one after another, and returns the load in the last answer.
func (h *harness) runs(first, n uint64, elapsed time.Duration, load waxwingseam.BackendLoad) (last waxwingseam.Load) {
	for id := first; id < first+n; id++ {
		h.arrive(id, 1)
		h.now = h.now.Add(elapsed)
		last = h.endWithLoad(id, elapsed, load)
	}
	return last
}

// TestNoWorkIsStatedWithoutPace guards against answers that differ for backend servers
// which state no pace.
func TestNoWorkIsStatedWithoutPace(t *testing.T) {
	h := newHarness()
	load := h.runs(1, 20, 20*time.Millisecond, waxwingseam.ParseBackendLoad("1,0,8"))
	qt.Assert(t, load.Pace, qt.Equals, uint16(0))
	qt.Assert(t, load.WorkLeft, qt.Equals, time.Duration(0))
}

// TestRemainingWorkFollowsPace guards against a remaining work that leaves out what waits,
// or the pace of the server at this moment, and against costs that are learned at a slow
// pace and count twice.
func TestRemainingWorkFollowsPace(t *testing.T) {
	h := newHarness()
	h.runs(1, 50, 20*time.Millisecond, waxwingseam.ParseBackendLoad("1,0,8,100"))
	// The pace of the answers before holds for a run.
	h.runs(60, 1, 20*time.Millisecond, waxwingseam.ParseBackendLoad("1,0,8,200"))
	h.runs(61, 50, 40*time.Millisecond, waxwingseam.ParseBackendLoad("1,0,8,200"))
	h.arrive(200, 1)
	h.arrive(201, 1)
	h.now = h.now.Add(40 * time.Millisecond)
	load := h.endWithLoad(200, 40*time.Millisecond, waxwingseam.ParseBackendLoad("1,1,8,200"))
	qt.Assert(t, load.Pace, qt.Equals, uint16(200))
	qt.Assert(t, load.WorkLeft > 35*time.Millisecond && load.WorkLeft < 45*time.Millisecond, qt.IsTrue, qt.Commentf("%v", load.WorkLeft))
	h.now = h.now.Add(2 * time.Second)
	load = h.endWithLoad(201, 2*time.Second, waxwingseam.BackendLoad{})
	qt.Assert(t, load.Pace, qt.Equals, uint16(100))
	qt.Assert(t, load.WorkLeft, qt.Equals, time.Duration(0))
}
