package receiver

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// state reduces the statement in an answer to a run of the harness.
func (h *harness) state(handOver uint64, s waxwingseam.Statement) string {
	return h.reduce(waxwingseam.BackendStated{
		Stamp: h.stamp(), Backend: waxwingseam.BackendIncarnation{Node: 7}, HandOver: handOver, Statement: s,
	})
}

func limited(rate float64) waxwingseam.Statement {
	return waxwingseam.Statement{Limited: true, Rate: rate}
}

// arriveKnowing reduces an attempt whose sender knows a statement.
func (h *harness) arriveKnowing(id uint64, known waxwingseam.KnownStatement) string {
	return h.reduce(waxwingseam.AttemptArrived{Stamp: h.stamp(), Call: h.call(id), Attempt: 1, Known: &known})
}

// TestLimitOfLatestHandOverHolds guards against a late answer that brings back a limit
// which the server has changed since, and against text that ends a limit.
func TestLimitOfLatestHandOverHolds(t *testing.T) {
	h := newHarness()
	qt.Assert(t, h.arrive(1, 1), qt.Equals, "run 1.1")
	qt.Assert(t, h.state(5, limited(10)), qt.Equals, "")
	qt.Assert(t, h.end(1), qt.Equals, "answer 1.1 completed  unspent 2")
	qt.Assert(t, h.arrive(2, 1), qt.Equals, "answer 2.1 did-not-run rate-limited unspent 2")
	h.state(4, waxwingseam.Statement{})
	h.state(6, waxwingseam.Statement{Unreadable: "many"})
	qt.Assert(t, h.arrive(2, 1), qt.Equals, "answer 2.1 did-not-run rate-limited unspent 2")
	h.state(7, waxwingseam.Statement{})
	qt.Assert(t, h.arrive(2, 1), qt.Equals, "run 2.1")
}

// TestFreshNodeKeepsKnownLimit guards against a node that restarts beside a limited
// backend server and gives it the full load until the first answer, and against a
// sender whose knowledge is old or about another incarnation.
func TestFreshNodeKeepsKnownLimit(t *testing.T) {
	current := waxwingseam.BackendIncarnation{Node: 7}
	known := func(rate float64, age time.Duration) waxwingseam.KnownStatement {
		return waxwingseam.KnownStatement{Backend: current, Statement: limited(rate), Age: age}
	}
	h := newHarness()
	h.now = h.now.Add(time.Hour)
	other := known(1, 0)
	other.Backend.Node = 6
	qt.Assert(t, h.arriveKnowing(1, other), qt.Equals, "run 1.1")
	h.end(1)
	qt.Assert(t, h.arriveKnowing(2, known(10, time.Second)), qt.Equals, "answer 2.1 did-not-run rate-limited unspent 2")
	h.now = h.now.Add(100 * time.Millisecond)
	qt.Assert(t, h.arrive(2, 1), qt.Equals, "run 2.1")
	qt.Assert(t, h.end(2), qt.Equals, "answer 2.1 completed  unspent 2")
	qt.Assert(t, h.arriveKnowing(3, known(1000, time.Minute)), qt.Equals, "answer 3.1 did-not-run rate-limited unspent 2")
	h.state(1, waxwingseam.Statement{})
	qt.Assert(t, h.arriveKnowing(4, known(10, 0)), qt.Equals, "run 4.1")
}

// TestLeavingServerRefusesWaitingCalls guards against calls that start at a backend
// server after it has said that it is leaving, and against an earlier hand-over whose
// late answer takes that back.
func TestLeavingServerRefusesWaitingCalls(t *testing.T) {
	h := newHarness()
	qt.Assert(t, h.arrive(1, 1), qt.Equals, "run 1.1")
	qt.Assert(t, h.arrive(2, 1), qt.Equals, "")
	leaving := waxwingseam.Statement{Leaving: true}
	qt.Assert(t, h.state(1, leaving), qt.Equals, "answer 2.1 did-not-run draining unspent 2")
	h.state(2, waxwingseam.Statement{})
	qt.Assert(t, h.end(1), qt.Equals, "answer 1.1 completed  unspent 2")
	qt.Assert(t, h.arrive(3, 1), qt.Equals, "answer 3.1 did-not-run draining unspent 0")

	fresh := newHarness()
	known := waxwingseam.KnownStatement{Backend: waxwingseam.BackendIncarnation{Node: 7}, Statement: leaving, Age: time.Hour}
	qt.Assert(t, fresh.arriveKnowing(1, known), qt.Equals, "answer 1.1 did-not-run draining unspent 0")
}
