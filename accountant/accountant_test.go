package accountant_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/accountant"
)

// account is what an Accountant has reported.
type account struct {
	spent map[waxwingseam.ClassName]map[accountant.Fate]time.Duration
	idle  time.Duration
}

func newAccount() (*accountant.Accountant, *account) {
	out := &account{spent: map[waxwingseam.ClassName]map[accountant.Fate]time.Duration{}}
	return accountant.New(accountant.Config{
		Spend: func(class waxwingseam.ClassName, fate accountant.Fate, d time.Duration) {
			if out.spent[class] == nil {
				out.spent[class] = map[accountant.Fate]time.Duration{}
			}
			out.spent[class][fate] += d
		},
		Idle: func(d time.Duration) { out.idle += d },
	}), out
}

// stamp returns a stamp some milliseconds after a start.
func stamp(milliseconds int) waxwingseam.Stamp {
	return waxwingseam.Stamp{Now: time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)}
}

func startRun(n uint64, class waxwingseam.ClassName) waxwingseam.Effect {
	return waxwingseam.Run{Call: waxwingseam.Call{ID: waxwingseam.NewCallID(1, n), Class: class}}
}

// TestSlotTimeByFate guards against slot time of runs that is missing or attributed to
// the wrong class or fate.
func TestSlotTimeByFate(t *testing.T) {
	a, got := newAccount()
	a.Observe(waxwingseam.TimerFired{Stamp: stamp(0)}, []waxwingseam.Effect{
		startRun(1, "lots"), startRun(2, "lots"), startRun(3, "lots"), startRun(4, "fees"), startRun(5, "fees"),
	})
	a.Observe(waxwingseam.TimerFired{Stamp: stamp(20)}, []waxwingseam.Effect{waxwingseam.CancelRun{ID: waxwingseam.NewCallID(1, 3)}})
	for i, r := range []waxwingseam.Result{
		{Status: 200},
		{Status: 500},
		{Status: 200},
		{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonServerRefused},
		{Status: 404},
		{Status: 200},
	} {
		// The last of them has not begun here.
		a.Observe(waxwingseam.RunEnded{Stamp: stamp(30), ID: waxwingseam.NewCallID(1, uint64(i+1)), Result: r, Elapsed: time.Duration(i+1) * time.Second}, nil)
	}
	qt.Assert(t, got.spent, qt.DeepEquals, map[waxwingseam.ClassName]map[accountant.Fate]time.Duration{
		"lots": {accountant.FateSucceeded: time.Second, accountant.FateFailed: 2 * time.Second, accountant.FateCancelled: 3 * time.Second},
		"fees": {accountant.FateFailed: 4 * time.Second, accountant.FateSucceeded: 5 * time.Second},
	})
	qt.Assert(t, got.idle, qt.Equals, time.Duration(0))
}

// TestIdleTimeOfRefusals guards against idle slots that are not seen while the node
// refuses calls, and against idle time beyond what the refused calls could have used.
func TestIdleTimeOfRefusals(t *testing.T) {
	load := waxwingseam.Load{Limit: 10, ServiceTime: 200 * time.Millisecond}
	for _, v := range []struct {
		name    string
		reason  waxwingseam.Reason
		load    waxwingseam.Load
		refused int
		want    time.Duration
	}{
		// Eight of ten slots are idle in the 100 ms of the window.
		{"many refusals", waxwingseam.ReasonOverloaded, load, 5, 800 * time.Millisecond},
		{"few refusals", waxwingseam.ReasonWaitLimit, load, 2, 400 * time.Millisecond},
		{"none", waxwingseam.ReasonOverloaded, load, 0, 0},
		{"for another reason", waxwingseam.ReasonDeadline, load, 5, 0},
		{"a full server", waxwingseam.ReasonOverloaded, waxwingseam.Load{Limit: 2, ServiceTime: time.Second}, 5, 0},
		{"a leaving server", waxwingseam.ReasonOverloaded, waxwingseam.Load{Limit: 10, ServiceTime: time.Second, Leaving: true}, 5, 0},
		{"a limited server", waxwingseam.ReasonOverloaded, waxwingseam.Load{Limit: 10, ServiceTime: time.Second, Statement: &waxwingseam.KnownStatement{}}, 5, 0},
	} {
		t.Run(v.name, func(t *testing.T) {
			a, got := newAccount()
			a.Observe(waxwingseam.TimerFired{Stamp: stamp(0)}, []waxwingseam.Effect{
				startRun(1, "lots"), startRun(2, "lots"),
				waxwingseam.AnswerAttempt{Result: waxwingseam.Result{Status: 200, Load: v.load}},
			})
			// Idle slots before the refusals do not count.
			a.Observe(waxwingseam.TimerFired{Stamp: stamp(100)}, nil)
			a.Observe(waxwingseam.TimerFired{Stamp: stamp(200)}, nil)
			refusal := waxwingseam.AnswerAttempt{Result: waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: v.reason, Load: v.load}}
			for range v.refused {
				a.Observe(waxwingseam.TimerFired{Stamp: stamp(210)}, []waxwingseam.Effect{refusal})
			}
			for at := 220; at <= 1000; at += 20 {
				a.Observe(waxwingseam.TimerFired{Stamp: stamp(at)}, nil)
			}
			qt.Assert(t, got.idle, qt.Equals, v.want)
		})
	}
}

// TestIdleTimeEndsWithTheWindow guards against idle time that goes on after the refusals
// when no event follows for long, as at night.
func TestIdleTimeEndsWithTheWindow(t *testing.T) {
	a, got := newAccount()
	refusal := waxwingseam.AnswerAttempt{Result: waxwingseam.Result{
		Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonEvicted,
		Load: waxwingseam.Load{Limit: 10, ServiceTime: time.Hour},
	}}
	a.Observe(waxwingseam.TimerFired{Stamp: stamp(0)}, []waxwingseam.Effect{refusal})
	a.Observe(waxwingseam.TimerFired{Stamp: stamp(60_000)}, nil)
	a.Observe(waxwingseam.TimerFired{Stamp: stamp(120_000)}, nil)
	qt.Assert(t, got.idle, qt.Equals, time.Second)
}

// BenchmarkRun measures the time that an Accountant adds to a run.
func BenchmarkRun(b *testing.B) {
	a, _ := newAccount()
	effects := []waxwingseam.Effect{startRun(1, "lots")}
	var begun, ended waxwingseam.Event = waxwingseam.TimerFired{Stamp: stamp(0)}, waxwingseam.RunEnded{
		Stamp: stamp(1), ID: waxwingseam.NewCallID(1, 1), Elapsed: time.Millisecond,
	}
	answers := []waxwingseam.Effect{waxwingseam.AnswerAttempt{ID: waxwingseam.NewCallID(1, 1)}}
	b.ReportAllocs()
	for range b.N {
		a.Observe(begun, effects)
		a.Observe(ended, answers)
	}
}

// TestCancelledRunLasts guards against cancelled runs whose end nobody can see: what ran
// before the cancellation, and what ran after it, is reported when the run ends.
func TestCancelledRunLasts(t *testing.T) {
	var got []accountant.CancelledRun
	a := accountant.New(accountant.Config{
		Spend:     func(waxwingseam.ClassName, accountant.Fate, time.Duration) {},
		Idle:      func(time.Duration) {},
		Cancelled: func(r accountant.CancelledRun) { got = append(got, r) },
	})
	start := time.Unix(1000, 0)
	at := func(ms int) waxwingseam.Stamp {
		return waxwingseam.Stamp{Now: start.Add(time.Duration(ms) * time.Millisecond)}
	}
	id := waxwingseam.NewCallID(1, 2)
	cancelled := []waxwingseam.Effect{waxwingseam.CancelRun{ID: id}}
	a.Observe(waxwingseam.AttemptArrived{Stamp: at(0)}, []waxwingseam.Effect{
		waxwingseam.Run{Call: waxwingseam.Call{ID: id, RequestID: "r1", Class: "lots"}},
	})
	a.Observe(waxwingseam.AttemptCancelled{Stamp: at(40)}, cancelled)
	a.Observe(waxwingseam.AttemptCancelled{Stamp: at(50)}, cancelled)
	qt.Assert(t, got, qt.HasLen, 0)
	a.Observe(waxwingseam.RunEnded{Stamp: at(340), ID: id}, nil)
	qt.Assert(t, got, qt.DeepEquals, []accountant.CancelledRun{{
		Call: id, RequestID: "r1", Class: "lots", Ran: 40 * time.Millisecond, Stopped: 300 * time.Millisecond,
	}})
}
