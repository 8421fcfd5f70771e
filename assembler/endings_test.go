package assembler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/assembler"
	"waxwingseam.example/waxwingseam/reducer"
)

// TestStartedNodeIgnoresReport guards against workers that miss a change of the backend server
// that comes without a report: after the wait of a started node, its server must take
// runs, and what waits must be refused once the server is known to have left.
func TestStartedNodeIgnoresReport(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	started := waxwingseam.Ending{Instance: "i-1", Started: now.Add(-time.Hour), At: now}
	for _, v := range []struct {
		name string
		use  func(s waxwingseam.Stamp) waxwingseam.Event
	}{
		{"control answers", func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.EndingsLearned{Stamp: s, Complete: true}
		}},
		{"nobody answers", func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.TimerFired{Stamp: s, Timer: waxwingseam.TimerID{Purpose: waxwingseam.PurposeBackendStarted}}
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			self := waxwingseam.Server{Name: "fees-1", Service: "fees", Incarnation: 1, Leaving: true, Since: now}
			r := reducer.New(reducer.Config{Self: self, Workers: assembler.Workers(assembler.WorkersConfig{Self: self})})
			stamp := waxwingseam.Stamp{Now: now}
			r.Reduce(waxwingseam.SetAdopted{Stamp: stamp, Set: &waxwingseam.Set{
				Revision:   1,
				Services:   []waxwingseam.Service{{Name: "fees", Connections: 9}},
				WaitLimits: []waxwingseam.WaitLimit{{Name: "any", Wait: time.Second, Waiting: 5}},
				RequestClasses: []waxwingseam.RequestClass{{
					Name: "any", Service: "fees", Host: "h", Prefix: "/", Repeat: waxwingseam.RepeatIdempotent,
					Deadline: 9 * time.Second, WaitLimit: "any",
				}},
			}})
			r.Reduce(waxwingseam.BackendReported{Stamp: stamp, Report: waxwingseam.BackendReport{
				Instance: "i-1", Service: "fees", State: waxwingseam.BackendReady, Slots: 2, Started: started.Started, Sequence: 1,
			}})
			arrive := func(id uint64) []waxwingseam.Kind {
				return kinds(r.Reduce(waxwingseam.AttemptArrived{Stamp: stamp, Attempt: 1, Call: waxwingseam.Call{
					ID: waxwingseam.NewCallID(0, id), Service: "fees", Class: "any", Deadline: now.Add(9 * time.Second),
				}}))
			}
			qt.Assert(t, arrive(1), qt.Not(qt.Contains), waxwingseam.KindRun)
			r.Reduce(v.use(stamp))
			qt.Assert(t, arrive(2), qt.Contains, waxwingseam.KindRun)
			// The server has one usable slot, so that the next one waits.
			qt.Assert(t, arrive(3), qt.Not(qt.Contains), waxwingseam.KindAnswerAttempt)
			got := kinds(r.Reduce(waxwingseam.EndingsLearned{Stamp: stamp, Endings: []waxwingseam.Ending{started}}))
			qt.Assert(t, got, qt.Contains, waxwingseam.KindAnswerAttempt)
		})
	}
}

// TestStartedNodeIsLeftOutForGood guards against a sound server that is not used after a
// restart of its node while control is out of reach: senders leave out a server that is said to
// be leaving until control announces it again, and the node has no set to know its service by.
func TestStartedNodeIsLeftOutForGood(t *testing.T) {
	stamp := waxwingseam.Stamp{Now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	self := waxwingseam.Server{Name: "fees-1", Service: "fees", Incarnation: 1, Leaving: true, Since: stamp.Now}
	r := reducer.New(reducer.Config{Self: self, Workers: assembler.Workers(assembler.WorkersConfig{Self: self})})
	report := func(state waxwingseam.BackendState, sequence uint64) {
		r.Reduce(waxwingseam.BackendReported{Stamp: stamp, Report: waxwingseam.BackendReport{
			Instance: "i-1", Service: "fees", State: state, Slots: 8, Started: stamp.Now.Add(-time.Hour), Sequence: sequence,
		}})
	}
	arrive := func(id uint64) waxwingseam.Effect {
		for _, e := range r.Reduce(waxwingseam.AttemptArrived{Stamp: stamp, Attempt: 1, Call: waxwingseam.Call{
			ID: waxwingseam.NewCallID(0, id), Service: "fees", Class: "any", Deadline: stamp.Now.Add(time.Second),
		}}) {
			if e.Kind() == waxwingseam.KindAnswerAttempt || e.Kind() == waxwingseam.KindRun {
				return e
			}
		}
		return nil
	}
	report(waxwingseam.BackendReady, 1)
	refusal := arrive(1).(waxwingseam.AnswerAttempt).Result
	qt.Assert(t, refusal.Outcome, qt.Equals, waxwingseam.OutcomeDidNotRun)
	qt.Assert(t, refusal.Load.Leaving, qt.IsFalse)
	qt.Assert(t, refusal.Load.RateDelay > 0, qt.IsTrue)
	r.Reduce(waxwingseam.TimerFired{Stamp: stamp, Timer: waxwingseam.TimerID{Purpose: waxwingseam.PurposeBackendStarted}})
	qt.Assert(t, arrive(2).Kind(), qt.Equals, waxwingseam.KindRun)
	report(waxwingseam.BackendDraining, 2)
	refusal = arrive(3).(waxwingseam.AnswerAttempt).Result
	qt.Assert(t, refusal.Load.Leaving, qt.IsTrue)
}

func kinds(effects []waxwingseam.Effect) []waxwingseam.Kind {
	out := make([]waxwingseam.Kind, len(effects))
	for i, e := range effects {
		out[i] = e.Kind()
	}
	return out
}
