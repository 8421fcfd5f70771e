package receiver

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/admitter"
	"waxwingseam.example/waxwingseam/budgeter"
	"waxwingseam.example/waxwingseam/limiter"
	"waxwingseam.example/waxwingseam/pacer"
	"waxwingseam.example/waxwingseam/reducer"
)

// fakeDeduplicator returns the records that a test sets.
type fakeDeduplicator struct {
	byID    map[waxwingseam.CallID]waxwingseam.Record
	refused int
}

func (f *fakeDeduplicator) Arrive(_ *waxwingseam.Context, call waxwingseam.Call) waxwingseam.Record {
	v, ok := f.byID[call.ID]
	if !ok {
		f.set(call.ID, waxwingseam.CallStateWaiting)
		return waxwingseam.Record{Owner: call.ID}
	}
	return v
}

func (f *fakeDeduplicator) set(id waxwingseam.CallID, s waxwingseam.CallState) {
	f.byID[id] = waxwingseam.Record{State: s, Owner: id}
}

func (f *fakeDeduplicator) Refuse(_ *waxwingseam.Context, id waxwingseam.CallID) {
	f.refused++
	delete(f.byID, id)
}

func (f *fakeDeduplicator) Start(_ *waxwingseam.Context, id waxwingseam.CallID) {
	f.set(id, waxwingseam.CallStateRunning)
}

func (f *fakeDeduplicator) Finish(_ *waxwingseam.Context, id waxwingseam.CallID, v waxwingseam.Result) bool {
	f.byID[id] = waxwingseam.Record{State: waxwingseam.CallStateFinished, Owner: id, Result: v}
	return true
}

func (f *fakeDeduplicator) Fence(_ *waxwingseam.Context, id waxwingseam.CallID, _ time.Time) bool {
	state := f.byID[id].State
	if state == waxwingseam.CallStateRunning || state == waxwingseam.CallStateFinished {
		return true
	}
	f.set(id, waxwingseam.CallStateFenced)
	return false
}

func (f *fakeDeduplicator) Expire(*waxwingseam.Context) []waxwingseam.CallID { return nil }

// fakeDrainer is a drainer that announces nothing.
type fakeDrainer struct{ leaving bool }

func (d *fakeDrainer) Drain(_ *waxwingseam.Context, undo bool) { d.leaving = !undo }
func (d *fakeDrainer) SetWithdrawn(*waxwingseam.Context, bool) {}

func (d *fakeDrainer) Starting() bool                                        { return false }
func (d *fakeDrainer) SetStatedLeaving(_ *waxwingseam.Context, leaving bool) { d.leaving = leaving }

func (d *fakeDrainer) Leaving() bool { return d.leaving }

// fakeTracker reports the whole allowance of each run as unspent.
type fakeTracker struct {
	waxwingseam.Tracker
	calls map[waxwingseam.CallID]waxwingseam.Call
}

func (f *fakeTracker) Begin(call waxwingseam.Call)          { f.calls[call.ID] = call }
func (f *fakeTracker) RefusedBelow(waxwingseam.CallID) bool { return false }

func (f *fakeTracker) Refused(time.Time, waxwingseam.Place) waxwingseam.Permille { return 0 }

func (f *fakeTracker) CallsBelow(waxwingseam.CallID) uint32 { return 0 }

func (f *fakeTracker) ParentRun(e waxwingseam.CallArrived) waxwingseam.CallID { return e.Parent }

func (f *fakeTracker) Unspent(id waxwingseam.CallID) waxwingseam.Allowance {
	return f.calls[id].Allowance
}

// harness runs a receiver whose clock and records the test controls.
type harness struct {
	reducer waxwingseam.Reducer
	records *fakeDeduplicator
	now     time.Time
	// suspended is for how long the process has been suspended.
	suspended time.Duration
}

func newHarness() *harness {
	return newHarnessWith(&fakeTracker{calls: map[waxwingseam.CallID]waxwingseam.Call{}}, nil)
}

// newHarnessWith uses the default apportioner if there is none.
func newHarnessWith(runs waxwingseam.Tracker, apportioner waxwingseam.Apportioner) *harness {
	h := &harness{
		records: &fakeDeduplicator{byID: map[waxwingseam.CallID]waxwingseam.Record{}},
		now:     time.Unix(1000, 0),
	}
	callPacer := pacer.New()
	h.reducer = reducer.New(reducer.Config{
		Self: waxwingseam.Server{Name: "fees-1", Service: "fees", Incarnation: 7},
		Workers: []waxwingseam.PrioritizedWorker{{Priority: Priority, Worker: New(Config{
			Admitter:     admitter.New(admitter.Config{Limiter: limiter.NewFixed(), Apportioner: apportioner, Pacer: callPacer}),
			Pacer:        callPacer,
			Deduplicator: h.records,
			Drainer:      &fakeDrainer{},
			Tracker:      runs,
			Gate: budgeter.New(budgeter.Config{
				Budget: waxwingseam.RetryBudget{Window: time.Second, Slack: 2},
			}),
		})}},
	})
	h.reducer.Reduce(waxwingseam.SetAdopted{Stamp: h.stamp(), Set: &waxwingseam.Set{
		Revision:       1,
		Services:       []waxwingseam.Service{{Name: "fees", Slots: 1}},
		RequestClasses: []waxwingseam.RequestClass{{Name: "fee", Service: "fees", WaitLimit: "short"}},
		WaitLimits:     []waxwingseam.WaitLimit{{Name: "short", Wait: 100 * time.Millisecond, Waiting: 1}},
	}})
	return h
}

func (h *harness) stamp() waxwingseam.Stamp {
	return waxwingseam.Stamp{Now: h.now, Suspended: h.suspended}
}

func (h *harness) call(id uint64) waxwingseam.Call {
	return waxwingseam.Call{
		ID: waxwingseam.NewCallID(0, id), Service: "fees", Class: "fee", Allowance: 2,
		Rank: waxwingseam.Rank{Importance: 3, Order: id}, Deadline: h.now.Add(time.Second),
	}
}

// reduce returns a summary of an event's effects without timers.
func (h *harness) reduce(e waxwingseam.Event) string {
	var out []string
	for _, v := range h.reducer.Reduce(e) {
		switch x := v.(type) {
		case waxwingseam.Run:
			out = append(out, fmt.Sprintf("run %d.%d", x.Call.ID[15], x.Attempt))
		case waxwingseam.AnswerAttempt:
			out = append(out, fmt.Sprintf("answer %d.%d %v %s unspent %d",
				x.ID[15], x.Attempt, x.Result.Outcome, x.Result.Reason, x.Result.Unspent))
		case waxwingseam.JoinRun:
			out = append(out, fmt.Sprintf("join %d.%d to %d", x.ID[15], x.Attempt, x.Owner[15]))
		case waxwingseam.CancelRun:
			out = append(out, fmt.Sprintf("cancel %d", x.ID[15]))
		case waxwingseam.AnswerFence:
			out = append(out, fmt.Sprintf("fence %d started %v", x.ID[15], x.Started))
		}
	}
	return strings.Join(out, "; ")
}

func (h *harness) arrive(id uint64, attempt waxwingseam.Attempt) string {
	return h.reduce(waxwingseam.AttemptArrived{Stamp: h.stamp(), Call: h.call(id), Attempt: attempt})
}

func (h *harness) end(id uint64) string {
	return h.reduce(waxwingseam.RunEnded{
		Stamp: h.stamp(), ID: waxwingseam.NewCallID(0, id), Elapsed: 10 * time.Millisecond,
		Result: waxwingseam.Result{Status: 200},
	})
}

func (h *harness) fireAdmissionTimer(after time.Duration) string {
	h.now = h.now.Add(after)
	return h.reduce(waxwingseam.TimerFired{Stamp: h.stamp(), Timer: waxwingseam.TimerID{Purpose: TimerAdmission}})
}

// TestArrivalsRunWaitOrAreRefused guards against calls that are left without an
// answer, and against records that remain after a refusal.
func TestArrivalsRunWaitOrAreRefused(t *testing.T) {
	h := newHarness()
	qt.Assert(t, h.arrive(1, 1), qt.Equals, "run 1.1")
	qt.Assert(t, h.arrive(2, 1), qt.Equals, "")
	qt.Assert(t, h.arrive(3, 1), qt.Equals, "answer 3.1 did-not-run overloaded unspent 2")
	qt.Assert(t, h.end(1), qt.Equals, "answer 1.1 completed  unspent 2; run 2.1")
	qt.Assert(t, h.arrive(4, 1), qt.Equals, "")
	qt.Assert(t, h.fireAdmissionTimer(100*time.Millisecond), qt.Equals, "answer 4.1 did-not-run wait-limit unspent 2")
	qt.Assert(t, h.records.refused, qt.Equals, 2)
}

// TestSuspendedNodeStartsNoExpiredCall suspends the node while calls wait and run. Those
// whose deadlines have passed meanwhile must not start or go on.
func TestSuspendedNodeStartsNoExpiredCall(t *testing.T) {
	h := newHarness()
	arrive := func(id uint64, timeout time.Duration) string {
		call := h.call(id)
		call.Deadline = h.now.Add(timeout)
		return h.reduce(waxwingseam.AttemptArrived{Stamp: h.stamp(), Call: call, Attempt: 1})
	}
	qt.Assert(t, arrive(1, 3*time.Second), qt.Equals, "run 1.1")
	qt.Assert(t, arrive(2, time.Second), qt.Equals, "")
	h.suspended = 2 * time.Second
	qt.Assert(t, h.end(1), qt.Equals, "answer 2.1 did-not-run deadline unspent 2; answer 1.1 completed  unspent 2")
	qt.Assert(t, arrive(3, time.Second), qt.Equals, "run 3.1")
	qt.Assert(t, arrive(4, 3*time.Second), qt.Equals, "")
	h.suspended += 2 * time.Second
	qt.Assert(t, h.end(5), qt.Equals, "cancel 3")
	qt.Assert(t, h.end(3), qt.Equals, "answer 3.1 completed  unspent 2; run 4.1")
}

// TestRetryBudgetRefusesRepeatedCalls checks that a call that another server
// may have run is refused once this node has used its share of the service's
// retry budget.
func TestRetryBudgetRefusesRepeatedCalls(t *testing.T) {
	h := newHarness()
	repeated := func(id uint64) string {
		call := h.call(id)
		call.Repeated = true
		return h.reduce(waxwingseam.AttemptArrived{Stamp: h.stamp(), Call: call, Attempt: 2})
	}
	qt.Assert(t, repeated(5), qt.Equals, "run 5.2")
	qt.Assert(t, repeated(5), qt.Equals, "join 5.2 to 5")
	qt.Assert(t, repeated(2), qt.Equals, "answer 2.2 did-not-run retry-budget unspent 0")
	qt.Assert(t, h.end(5), qt.Equals, "answer 5.2 completed  unspent 2")
	h.now = h.now.Add(2 * time.Second)
	qt.Assert(t, repeated(3), qt.Equals, "run 3.2")
}

// TestRefusedCallsSpendNoRetryBudget guards against a retry budget that is used up by
// repeated calls which never reach the backend server.
func TestRefusedCallsSpendNoRetryBudget(t *testing.T) {
	h := newHarness()
	h.state(1, waxwingseam.Statement{Limited: true, Rate: 10})
	repeated := func(id uint64) string {
		call := h.call(id)
		call.Repeated = true
		return h.reduce(waxwingseam.AttemptArrived{Stamp: h.stamp(), Call: call, Attempt: 2})
	}
	for id := range uint64(5) {
		qt.Assert(t, repeated(id), qt.Contains, "did-not-run rate-limited")
	}
	h.now = h.now.Add(100 * time.Millisecond)
	qt.Assert(t, repeated(9), qt.Equals, "run 9.2")
}

// TestResentAttemptsShareOneRun guards against a second run of a resent call, and
// against a did-not-run answer for a call whose reply was dropped.
func TestResentAttemptsShareOneRun(t *testing.T) {
	h := newHarness()
	qt.Assert(t, h.arrive(1, 1), qt.Equals, "run 1.1")
	qt.Assert(t, h.arrive(1, 2), qt.Equals, "join 1.2 to 1")
	qt.Assert(t, h.end(1), qt.Equals, "answer 1.1 completed  unspent 2; answer 1.2 completed  unspent 2")
	qt.Assert(t, h.arrive(1, 3), qt.Equals, "join 1.3 to 1; answer 1.3 completed  unspent 2")
	h.records.set(waxwingseam.NewCallID(0, 1), waxwingseam.CallStateReplyDropped)
	qt.Assert(t, h.arrive(1, 4), qt.Equals, "answer 1.4 may-have-run  unspent 0")
}

// TestJoinedRunSurvivesCancelledOwner guards against the cancellation of a run
// while the attempt of a joined call still waits for its answer.
func TestJoinedRunSurvivesCancelledOwner(t *testing.T) {
	h := newHarness()
	h.arrive(1, 1)
	h.records.byID[waxwingseam.NewCallID(0, 2)] = waxwingseam.Record{
		State: waxwingseam.CallStateRunning, Owner: waxwingseam.NewCallID(0, 1),
	}
	qt.Assert(t, h.arrive(2, 1), qt.Equals, "join 2.1 to 1")
	cancel := func(id uint64) string {
		return h.reduce(waxwingseam.AttemptCancelled{Stamp: h.stamp(), ID: waxwingseam.NewCallID(0, id), Attempt: 1})
	}
	qt.Assert(t, cancel(1), qt.Equals, "")
	qt.Assert(t, cancel(2), qt.Equals, "cancel 1")
}

// TestFenceRefusesWaitingCall guards against a call that starts after a fence was
// answered with the statement that it had not started.
func TestFenceRefusesWaitingCall(t *testing.T) {
	h := newHarness()
	h.arrive(1, 1)
	h.arrive(2, 1)
	fence := func(id uint64) string {
		return h.reduce(waxwingseam.FenceAsked{Stamp: h.stamp(), ID: waxwingseam.NewCallID(0, id)})
	}
	qt.Assert(t, fence(1), qt.Equals, "fence 1 started true")
	qt.Assert(t, fence(2), qt.Equals, "answer 2.1 did-not-run fenced unspent 0; fence 2 started false")
	qt.Assert(t, h.end(1), qt.Equals, "answer 1.1 completed  unspent 2")
	qt.Assert(t, h.arrive(2, 2), qt.Equals, "answer 2.2 did-not-run fenced unspent 0")
}

// TestRefusalsBeforeAdmission guards against runs of calls for another
// incarnation, past their deadline or during a drain, and against a drain that
// is not undone.
func TestRefusalsBeforeAdmission(t *testing.T) {
	h := newHarness()
	stale := waxwingseam.AttemptArrived{Stamp: h.stamp(), Call: h.call(1), Attempt: 1, Incarnation: 6}
	qt.Assert(t, h.reduce(stale), qt.Equals, "answer 1.1 may-have-run incarnation unspent 0")
	late := waxwingseam.AttemptArrived{Stamp: h.stamp(), Call: h.call(2), Attempt: 1}
	late.Call.Deadline = h.now
	qt.Assert(t, h.reduce(late), qt.Equals, "answer 2.1 did-not-run deadline unspent 0")
	h.reduce(waxwingseam.DrainAsked{Stamp: h.stamp()})
	qt.Assert(t, h.arrive(3, 1), qt.Equals, "answer 3.1 did-not-run draining unspent 0")
	h.reduce(waxwingseam.DrainAsked{Stamp: h.stamp(), Undo: true})
	qt.Assert(t, h.arrive(4, 1), qt.Equals, "run 4.1")
}

// TestRetryAfterIsSpread guards against refused callers that are all told to
// retry at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	h := newHarness()
	h.arrive(1, 1)
	h.arrive(2, 1)
	seen := map[time.Duration]bool{}
	for id := range uint64(20) {
		stamp := waxwingseam.Stamp{Now: h.now, Random: id}
		e := waxwingseam.AttemptArrived{Stamp: stamp, Call: h.call(10 + id), Attempt: 1}
		answer := h.reducer.Reduce(e)[0].(waxwingseam.AnswerAttempt)
		after := answer.Result.RetryAfter
		qt.Assert(t, after >= minRetryAfter && after < 2*minRetryAfter, qt.IsTrue, qt.Commentf("%v", after))
		seen[after] = true
	}
	qt.Assert(t, len(seen) > 10, qt.IsTrue, qt.Commentf("%d distinct values", len(seen)))
}

// TestDrainRefusesWaitingCalls checks that a drain refuses a queued call at
// once, so that its sender tries another server, and leaves the running call
// alone.
func TestDrainRefusesWaitingCalls(t *testing.T) {
	h := newHarness()
	arrive := func(id uint64) string {
		return h.reduce(waxwingseam.AttemptArrived{Stamp: h.stamp(), Call: h.call(id), Attempt: 1})
	}
	qt.Assert(t, arrive(1), qt.Equals, "run 1.1")
	qt.Assert(t, arrive(2), qt.Equals, "")
	qt.Assert(t, h.reduce(waxwingseam.DrainAsked{Stamp: h.stamp()}), qt.Equals, "answer 2.1 did-not-run draining unspent 2")
	qt.Assert(t, arrive(3), qt.Equals, "answer 3.1 did-not-run draining unspent 0")
}

// TestServiceSlots checks that the last slots of a server that reports its own
// slots stay free if its service declares none, because a nearly full server
// slows down. Slots that an operator declares are all used.
func TestServiceSlots(t *testing.T) {
	for _, v := range []struct {
		name               string
		reported, declared int
		want               int
	}{
		{"reported", 32, 0, 30},
		{"few", 1, 0, 1},
		{"declared", 0, 32, 32},
		{"both", 16, 32, 16},
		{"none known", 0, 0, 0},
	} {
		t.Run(v.name, func(t *testing.T) {
			got := serviceSlots(waxwingseam.Service{Slots: v.declared}, waxwingseam.Server{Slots: v.reported})
			qt.Assert(t, got, qt.Equals, v.want)
		})
	}
}
