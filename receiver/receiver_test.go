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
	"waxwingseam.example/waxwingseam/reducer"
)

// records is a deduplicator that answers what a test sets.
type records struct {
	byID    map[waxwingseam.CallID]waxwingseam.Record
	refused int
}

func (r *records) Arrive(_ *waxwingseam.Context, call waxwingseam.Call) waxwingseam.Record {
	v, ok := r.byID[call.ID]
	if !ok {
		r.set(call.ID, waxwingseam.CallStateWaiting)
		return waxwingseam.Record{Owner: call.ID}
	}
	return v
}

func (r *records) set(id waxwingseam.CallID, s waxwingseam.CallState) {
	r.byID[id] = waxwingseam.Record{State: s, Owner: id}
}

func (r *records) Refuse(_ *waxwingseam.Context, id waxwingseam.CallID) {
	r.refused++
	delete(r.byID, id)
}

func (r *records) Start(_ *waxwingseam.Context, id waxwingseam.CallID) {
	r.set(id, waxwingseam.CallStateRunning)
}

func (r *records) Finish(_ *waxwingseam.Context, id waxwingseam.CallID, v waxwingseam.Result) bool {
	r.byID[id] = waxwingseam.Record{State: waxwingseam.CallStateFinished, Owner: id, Result: v}
	return true
}

func (r *records) Fence(_ *waxwingseam.Context, id waxwingseam.CallID, _ time.Time) bool {
	standing := r.byID[id].State
	if standing == waxwingseam.CallStateRunning || standing == waxwingseam.CallStateFinished {
		return true
	}
	r.set(id, waxwingseam.CallStateFenced)
	return false
}

func (r *records) Expire(*waxwingseam.Context) []waxwingseam.CallID { return nil }

// door is a drainer.
type door struct{ leaving bool }

func (d *door) Drain(_ *waxwingseam.Context, undo bool) { d.leaving = !undo }
func (d *door) SetWithdrawn(*waxwingseam.Context, bool) {}

func (d *door) Leaving() bool { return d.leaving }

// purse is a tracker in which each run has kept its whole allowance.
type purse struct {
	waxwingseam.Tracker
	calls map[waxwingseam.CallID]waxwingseam.Call
}

func (p *purse) Begin(call waxwingseam.Call)          { p.calls[call.ID] = call }
func (p *purse) RefusedBelow(waxwingseam.CallID) bool { return false }

func (p *purse) CallsBelow(waxwingseam.CallID) uint32 { return 0 }

func (p *purse) ParentRun(e waxwingseam.CallArrived) waxwingseam.CallID { return e.Parent }

func (p *purse) Unspent(id waxwingseam.CallID) waxwingseam.Allowance {
	return p.calls[id].Allowance
}

type bench struct {
	reducer waxwingseam.Reducer
	records *records
	now     time.Time
}

func newBench() *bench {
	b := &bench{
		records: &records{byID: map[waxwingseam.CallID]waxwingseam.Record{}},
		now:     time.Unix(1000, 0),
	}
	b.reducer = reducer.New(reducer.Config{
		Self: waxwingseam.Server{Name: "fees-1", Service: "fees", Incarnation: 7},
		Workers: []waxwingseam.PrioritizedWorker{{Priority: Priority, Worker: New(Config{
			Admitter:     admitter.New(admitter.Config{Limiter: limiter.NewFixed(), RootLimiter: limiter.NewFixed()}),
			Deduplicator: b.records,
			Drainer:      &door{},
			Tracker:      &purse{calls: map[waxwingseam.CallID]waxwingseam.Call{}},
			Gate: budgeter.New(budgeter.Config{
				Budget: waxwingseam.RetryBudget{Window: time.Second, Slack: 2},
			}),
		})}},
	})
	b.reducer.Reduce(waxwingseam.SetAdopted{Stamp: b.stamp(), Set: &waxwingseam.Set{
		Revision:       1,
		Services:       []waxwingseam.Service{{Name: "fees", Slots: 1}},
		RequestClasses: []waxwingseam.RequestClass{{Name: "fee", Service: "fees", WaitLimit: "short"}},
		WaitLimits:     []waxwingseam.WaitLimit{{Name: "short", Wait: 100 * time.Millisecond, Waiting: 1}},
	}})
	return b
}

func (b *bench) stamp() waxwingseam.Stamp {
	return waxwingseam.Stamp{Now: b.now}
}

func (b *bench) call(id uint64) waxwingseam.Call {
	return waxwingseam.Call{
		ID: waxwingseam.NewCallID(0, id), Service: "fees", Class: "fee", Allowance: 2,
		Rank: waxwingseam.Rank{Importance: 3, Order: id}, Deadline: b.now.Add(time.Second),
	}
}

// reduce returns the effects of an event in short, timers left out.
func (b *bench) reduce(e waxwingseam.Event) string {
	var out []string
	for _, v := range b.reducer.Reduce(e) {
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

func (b *bench) arrive(id uint64, attempt waxwingseam.Attempt) string {
	return b.reduce(waxwingseam.AttemptArrived{Stamp: b.stamp(), Call: b.call(id), Attempt: attempt})
}

func (b *bench) end(id uint64) string {
	return b.reduce(waxwingseam.RunEnded{
		Stamp: b.stamp(), ID: waxwingseam.NewCallID(0, id), Elapsed: 10 * time.Millisecond,
		Result: waxwingseam.Result{Status: 200},
	})
}

func (b *bench) expire(after time.Duration) string {
	b.now = b.now.Add(after)
	return b.reduce(waxwingseam.TimerFired{Stamp: b.stamp(), Timer: waxwingseam.TimerID{Purpose: TimerAdmission}})
}

func TestRunQueueAndRefuse(t *testing.T) {
	b := newBench()
	qt.Assert(t, b.arrive(1, 1), qt.Equals, "run 1.1")
	qt.Assert(t, b.arrive(2, 1), qt.Equals, "")
	qt.Assert(t, b.arrive(3, 1), qt.Equals, "answer 3.1 did-not-run overloaded unspent 2")
	qt.Assert(t, b.end(1), qt.Equals, "answer 1.1 completed  unspent 2; run 2.1")
	qt.Assert(t, b.arrive(4, 1), qt.Equals, "")
	qt.Assert(t, b.expire(100*time.Millisecond), qt.Equals, "answer 4.1 did-not-run wait-limit unspent 2")
	qt.Assert(t, b.records.refused, qt.Equals, 2)
}

// TestRepeatedCallsBeyondTheBudget refuses a call that another server may have
// run, once this node has handed out its share of the service's budget.
func TestRepeatedCallsBeyondTheBudget(t *testing.T) {
	b := newBench()
	repeated := func(id uint64) string {
		call := b.call(id)
		call.Repeated = true
		return b.reduce(waxwingseam.AttemptArrived{Stamp: b.stamp(), Call: call, Attempt: 2})
	}
	qt.Assert(t, repeated(5), qt.Equals, "run 5.2")
	qt.Assert(t, repeated(5), qt.Equals, "join 5.2 to 5")
	qt.Assert(t, repeated(2), qt.Equals, "answer 2.2 did-not-run retry-budget unspent 0")
	qt.Assert(t, b.end(5), qt.Equals, "answer 5.2 completed  unspent 2")
	b.now = b.now.Add(2 * time.Second)
	qt.Assert(t, repeated(3), qt.Equals, "run 3.2")
}

func TestResentAttempts(t *testing.T) {
	b := newBench()
	qt.Assert(t, b.arrive(1, 1), qt.Equals, "run 1.1")
	qt.Assert(t, b.arrive(1, 2), qt.Equals, "join 1.2 to 1")
	qt.Assert(t, b.end(1), qt.Equals, "answer 1.1 completed  unspent 2; answer 1.2 completed  unspent 2")
	qt.Assert(t, b.arrive(1, 3), qt.Equals, "join 1.3 to 1; answer 1.3 completed  unspent 2")
	b.records.set(waxwingseam.NewCallID(0, 1), waxwingseam.CallStateReplyDropped)
	qt.Assert(t, b.arrive(1, 4), qt.Equals, "answer 1.4 may-have-run  unspent 0")
}

func TestJoinByKeyOutlivesTheFirst(t *testing.T) {
	b := newBench()
	b.arrive(1, 1)
	b.records.byID[waxwingseam.NewCallID(0, 2)] = waxwingseam.Record{
		State: waxwingseam.CallStateRunning, Owner: waxwingseam.NewCallID(0, 1),
	}
	qt.Assert(t, b.arrive(2, 1), qt.Equals, "join 2.1 to 1")
	cancel := func(id uint64) string {
		return b.reduce(waxwingseam.AttemptCancelled{Stamp: b.stamp(), ID: waxwingseam.NewCallID(0, id), Attempt: 1})
	}
	qt.Assert(t, cancel(1), qt.Equals, "")
	qt.Assert(t, cancel(2), qt.Equals, "cancel 1")
}

func TestFenceStopsWaitingCall(t *testing.T) {
	b := newBench()
	b.arrive(1, 1)
	b.arrive(2, 1)
	fence := func(id uint64) string {
		return b.reduce(waxwingseam.FenceAsked{Stamp: b.stamp(), ID: waxwingseam.NewCallID(0, id)})
	}
	qt.Assert(t, fence(1), qt.Equals, "fence 1 started true")
	qt.Assert(t, fence(2), qt.Equals, "answer 2.1 did-not-run fenced unspent 0; fence 2 started false")
	qt.Assert(t, b.end(1), qt.Equals, "answer 1.1 completed  unspent 2")
	qt.Assert(t, b.arrive(2, 2), qt.Equals, "answer 2.2 did-not-run fenced unspent 0")
}

func TestBarred(t *testing.T) {
	b := newBench()
	stale := waxwingseam.AttemptArrived{Stamp: b.stamp(), Call: b.call(1), Attempt: 1, Incarnation: 6}
	qt.Assert(t, b.reduce(stale), qt.Equals, "answer 1.1 may-have-run incarnation unspent 0")
	late := waxwingseam.AttemptArrived{Stamp: b.stamp(), Call: b.call(2), Attempt: 1}
	late.Call.Deadline = b.now
	qt.Assert(t, b.reduce(late), qt.Equals, "answer 2.1 did-not-run deadline unspent 0")
	b.reduce(waxwingseam.DrainAsked{Stamp: b.stamp()})
	qt.Assert(t, b.arrive(3, 1), qt.Equals, "answer 3.1 did-not-run draining unspent 0")
	b.reduce(waxwingseam.DrainAsked{Stamp: b.stamp(), Undo: true})
	qt.Assert(t, b.arrive(4, 1), qt.Equals, "run 4.1")
}

func TestRefusedCallersComeBackApart(t *testing.T) {
	b := newBench()
	b.arrive(1, 1)
	b.arrive(2, 1)
	seen := map[time.Duration]bool{}
	for id := range uint64(20) {
		stamp := waxwingseam.Stamp{Now: b.now, Random: id}
		e := waxwingseam.AttemptArrived{Stamp: stamp, Call: b.call(10 + id), Attempt: 1}
		answer := b.reducer.Reduce(e)[0].(waxwingseam.AnswerAttempt)
		after := answer.Result.RetryAfter
		qt.Assert(t, after >= minRetryAfter && after < 2*minRetryAfter, qt.IsTrue, qt.Commentf("%v", after))
		seen[after] = true
	}
	qt.Assert(t, len(seen) > 10, qt.IsTrue, qt.Commentf("%d times told", len(seen)))
}

// TestWaitingMovesOnWhenTheServerLeaves drains a node with a call in its queue:
// the call is refused at once, so that its sender goes to another server, and
// the running one goes on.
func TestWaitingMovesOnWhenTheServerLeaves(t *testing.T) {
	b := newBench()
	arrive := func(id uint64) string {
		return b.reduce(waxwingseam.AttemptArrived{Stamp: b.stamp(), Call: b.call(id), Attempt: 1})
	}
	qt.Assert(t, arrive(1), qt.Equals, "run 1.1")
	qt.Assert(t, arrive(2), qt.Equals, "")
	qt.Assert(t, b.reduce(waxwingseam.DrainAsked{Stamp: b.stamp()}), qt.Equals, "answer 2.1 did-not-run draining unspent 2")
	qt.Assert(t, arrive(3), qt.Equals, "answer 3.1 did-not-run draining unspent 0")
}

// TestLastSlotsStayFree fills a server that reports its slots itself and slows
// down when nearly full: the last ones stay free, as they cost more than they
// give. Slots that operators set are used up.
func TestLastSlotsStayFree(t *testing.T) {
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
			got := announcedSlots(waxwingseam.Service{Slots: v.declared}, waxwingseam.Server{Slots: v.reported})
			qt.Assert(t, got, qt.Equals, v.want)
		})
	}
}
