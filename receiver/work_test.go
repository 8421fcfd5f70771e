package receiver

import (
	"strings"
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

// TestSlowServerSendsBackOnce guards against calls that stay at a server that has become
// slow, against calls that no server takes because each sends them back, and against calls
// that are sent back although their sender can't send them again.
func TestSlowServerSendsBackOnce(t *testing.T) {
	h := newHarness()
	arrive := func(id uint64, attempt waxwingseam.Attempt, change func(*waxwingseam.AttemptArrived)) string {
		e := waxwingseam.AttemptArrived{Stamp: h.stamp(), Call: h.call(id), Attempt: attempt}
		if change != nil {
			change(&e)
		}
		return h.reduce(e)
	}
	slow := waxwingseam.ParseBackendLoad("1,0,8,250")
	h.runs(1, 5, 10*time.Millisecond, slow)
	qt.Assert(t, arrive(10, 1, nil), qt.Equals, "run 10.1")
	h.endWithLoad(10, 10*time.Millisecond, slow)
	h.reducer.Reduce(waxwingseam.ServersUpdated{Stamp: h.stamp(), Servers: []waxwingseam.Server{{Name: "fees-2", Service: "fees"}}})
	qt.Assert(t, arrive(11, 1, nil), qt.Equals, "answer 11.1 did-not-run server-slow unspent 0")
	qt.Assert(t, arrive(11, 2, nil), qt.Equals, "run 11.2")
	h.endWithLoad(11, 10*time.Millisecond, slow)
	for i, change := range []func(e *waxwingseam.AttemptArrived){
		func(e *waxwingseam.AttemptArrived) { e.Call.Key = "key" },
		func(e *waxwingseam.AttemptArrived) { e.Call.Resumed = true },
		func(e *waxwingseam.AttemptArrived) { e.Call.Repeated = true },
		func(e *waxwingseam.AttemptArrived) { e.BodySize = 64 },
	} {
		id := uint64(20 + i)
		qt.Assert(t, strings.Contains(arrive(id, 1, change), "server-slow"), qt.IsFalse)
		h.endWithLoad(id, 10*time.Millisecond, slow)
	}
	h.endWithLoad(99, 0, slow)
	h.now = h.now.Add(2 * time.Second)
	qt.Assert(t, arrive(30, 1, nil), qt.Equals, "run 30.1")
}
