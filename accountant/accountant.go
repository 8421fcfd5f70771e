// Package accountant adds up the slot time of a backend server: how long its runs held
// slots, by what became of them, and how long slots stood idle while the node refused
// calls for lack of capacity.
package accountant

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// Fate is what became of a run.
type Fate string

// The fates of runs.
const (
	FateSucceeded Fate = "succeeded"
	FateFailed    Fate = "failed"
	FateCancelled Fate = "cancelled"
)

// window is the time over which idle slots are compared with refused calls.
const window = 100 * time.Millisecond

// Config holds the functions to which an Accountant reports.
type Config struct {
	// Spend receives the time for which an ended run held its slot.
	Spend func(class waxwingseam.ClassName, fate Fate, d time.Duration)
	// Idle receives slot time that stood idle while the node refused calls for lack of
	// capacity, at most a mean run for each refused call.
	Idle func(d time.Duration)
	// Cancelled receives each cancelled run when it ends; it may be nil.
	Cancelled func(r CancelledRun)
}

// Accountant observes the reducer of a node. It is not safe for concurrent use.
type Accountant struct {
	spend func(class waxwingseam.ClassName, fate Fate, d time.Duration)
	idle  func(d time.Duration)
	// cancel receives each cancelled run when it ends.
	cancel func(r CancelledRun)
	runs   map[waxwingseam.CallID]run
	// load is the last one that the node sent.
	load waxwingseam.Load
	// windowEnd is when the current window ends, and updated until when its idle time
	// has been counted.
	windowEnd time.Time
	updated   time.Time
	idleTime  time.Duration
	refused   int
}

// CancelledRun describes a run that was cancelled and has ended.
type CancelledRun struct {
	Call      waxwingseam.CallID
	RequestID string
	Class     waxwingseam.ClassName
	// Ran is the time from the hand-over to the cancellation, and Stopped the time from
	// the cancellation to the end.
	Ran, Stopped time.Duration
}

// run is an open run at the backend server.
type run struct {
	request string
	class   waxwingseam.ClassName
	started time.Time
	// cancelled is when the run was cancelled; zero if it was not.
	cancelled time.Time
}

// New returns an Accountant.
func New(config Config) *Accountant {
	if config.Cancelled == nil {
		config.Cancelled = func(CancelledRun) {}
	}
	return &Accountant{spend: config.Spend, idle: config.Idle, cancel: config.Cancelled, runs: map[waxwingseam.CallID]run{}}
}

// Observe implements runner.Observer.
func (a *Accountant) Observe(e waxwingseam.Event, effects []waxwingseam.Effect) {
	now := e.Stamped().Now
	a.advance(now)
	if v, ok := e.(waxwingseam.RunEnded); ok {
		a.ended(v)
	}
	for _, x := range effects {
		switch v := x.(type) {
		case waxwingseam.Run:
			a.runs[v.Call.ID] = run{request: v.Call.RequestID, class: v.Call.Class, started: now}
		case waxwingseam.CancelRun:
			if r, ok := a.runs[v.ID]; ok && r.cancelled.IsZero() {
				r.cancelled = now
				a.runs[v.ID] = r
			}
		case waxwingseam.AnswerAttempt:
			a.answered(v.Result)
		}
	}
}

func (a *Accountant) ended(e waxwingseam.RunEnded) {
	r, ok := a.runs[e.ID]
	if !ok {
		return
	}
	delete(a.runs, e.ID)
	fate := FateFailed
	switch {
	case !r.cancelled.IsZero():
		fate = FateCancelled
		a.cancel(CancelledRun{
			Call:      e.ID,
			RequestID: r.request,
			Class:     r.class,
			Ran:       r.cancelled.Sub(r.started),
			Stopped:   e.Now.Sub(r.cancelled),
		})
	case e.Result.Succeeded():
		fate = FateSucceeded
	}
	a.spend(r.class, fate, e.Elapsed)
}

func (a *Accountant) answered(r waxwingseam.Result) {
	a.load = r.Load
	if r.Outcome != waxwingseam.OutcomeDidNotRun {
		return
	}
	switch r.Reason {
	case waxwingseam.ReasonOverloaded, waxwingseam.ReasonEvicted, waxwingseam.ReasonWaitLimit:
		a.refused++
	}
}

// advance counts the idle slot time up to now, and closes a window that is over.
func (a *Accountant) advance(now time.Time) {
	if until := earlier(now, a.windowEnd); until.After(a.updated) {
		a.idleTime += time.Duration(a.freeSlots()) * until.Sub(a.updated)
		a.updated = until
	}
	if now.Before(a.windowEnd) {
		return
	}
	if d := min(a.idleTime, time.Duration(a.refused)*a.load.ServiceTime); d > 0 {
		a.idle(d)
	}
	a.idleTime, a.refused = 0, 0
	a.updated, a.windowEnd = now, now.Add(window)
}

// freeSlots returns the slots in which runs could start.
func (a *Accountant) freeSlots() int {
	if a.load.Leaving || a.load.Statement != nil {
		return 0
	}
	return max(int(a.load.Limit)-len(a.runs), 0)
}

func earlier(x, y time.Time) time.Time {
	if y.Before(x) {
		return y
	}
	return x
}
