package balancer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// statementWorld is a balancer with two servers of a service.
type statementWorld struct {
	balancer waxwingseam.Balancer
	context  *waxwingseam.Context
}

func newStatementWorld() *statementWorld {
	w := &statementWorld{
		balancer: New(Config{Self: "desk-1"}),
		context:  waxwingseam.NewContext(waxwingseam.Server{Name: "desk-1"}),
	}
	w.wait(0)
	w.balancer.Adopt(&waxwingseam.Set{Revision: 1})
	w.announce(feesServer("fees-1", "a", 1, 1))
	w.announce(feesServer("fees-2", "b", 1, 1))
	return w
}

// feesServer returns a server whose backend server has an instance and a start.
func feesServer(name waxwingseam.ServerName, instance string, started int64, incarnation waxwingseam.Incarnation) waxwingseam.Server {
	s := waxwingseam.Server{Name: name, Service: "fees", Incarnation: incarnation, Instance: instance}
	if instance != "" {
		s.Started = time.Unix(started, 0)
	}
	return s
}

func (w *statementWorld) wait(d time.Duration) {
	w.context.Begin(waxwingseam.Stamp{Now: time.Unix(1000, 0).Add(w.context.Now.Sub(time.Unix(1000, 0)) + d)})
}

func (w *statementWorld) announce(s waxwingseam.Server) {
	w.balancer.UpdateServers(w.context, []waxwingseam.Server{s}, nil)
}

func (w *statementWorld) remove(name waxwingseam.ServerName) {
	w.balancer.UpdateServers(w.context, nil, []waxwingseam.ServerName{name})
}

// answer observes a completed attempt at a server whose answer has a statement.
func (w *statementWorld) answer(s waxwingseam.Server, statement waxwingseam.Statement) {
	result := waxwingseam.Result{Status: 200, Reached: true, Load: waxwingseam.Load{Limit: 8}}
	if statement.Limited || statement.Leaving {
		result.Load.Statement = &waxwingseam.KnownStatement{Backend: s.BackendIncarnation(), Statement: statement}
	}
	w.balancer.Observe(w.context, waxwingseam.Feedback{Server: s.Name, Result: result})
}

// chosen returns the statement that goes with the next attempt at fees-1, and whether
// the server is chosen at all.
func (w *statementWorld) chosen() (*waxwingseam.KnownStatement, bool) {
	for range 50 {
		if c := w.balancer.Choose(w.context, waxwingseam.Query{Service: "fees"}); c.Server.Name == "fees-1" {
			return c.Known, true
		}
	}
	return nil, false
}

// TestLeavingIsRememberedByIncarnation guards against a leaving backend server that gets
// calls again because its node restarts, is removed or announces an earlier state, and
// against a new incarnation that gets none.
func TestLeavingIsRememberedByIncarnation(t *testing.T) {
	old := feesServer("fees-1", "a", 1, 1)
	for _, v := range []struct {
		name   string
		later  []waxwingseam.Server
		remove bool
		chosen bool
	}{
		{"announced again", []waxwingseam.Server{old}, false, false},
		{"removed and announced again", []waxwingseam.Server{old}, true, false},
		{"its node restarted", []waxwingseam.Server{feesServer("fees-1", "", 0, 2), feesServer("fees-1", "a", 1, 2)}, false, false},
		{"a later start", []waxwingseam.Server{feesServer("fees-1", "a", 2, 1)}, false, true},
		{"another instance", []waxwingseam.Server{feesServer("fees-1", "c", 2, 2)}, true, true},
		{"a late announcement of an earlier start", []waxwingseam.Server{feesServer("fees-1", "z", 0, 2), feesServer("fees-1", "a", 1, 2)}, false, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			w := newStatementWorld()
			w.answer(old, waxwingseam.Statement{Leaving: true})
			_, chosen := w.chosen()
			qt.Assert(t, chosen, qt.IsFalse)
			if v.remove {
				w.remove("fees-1")
			}
			for _, s := range v.later {
				w.announce(s)
			}
			_, chosen = w.chosen()
			qt.Assert(t, chosen, qt.Equals, v.chosen)
		})
	}
}

// TestKnownLimitGoesWithAttempts guards against a limit that a restarted node never
// learns, and against one that a sender keeps after its end.
func TestKnownLimitGoesWithAttempts(t *testing.T) {
	w := newStatementWorld()
	server := feesServer("fees-1", "a", 1, 1)
	w.answer(server, waxwingseam.Statement{Limited: true, Rate: 14.5})
	restarted := feesServer("fees-1", "a", 1, 2)
	w.announce(restarted)
	w.wait(time.Second)
	known, chosen := w.chosen()
	qt.Assert(t, chosen, qt.IsTrue)
	qt.Assert(t, known, qt.DeepEquals, &waxwingseam.KnownStatement{
		Backend: server.BackendIncarnation(), Statement: waxwingseam.Statement{Limited: true, Rate: 14.5}, Age: time.Second,
	})

	// The refusal of a node that knows nothing yet does not end the limit.
	w.balancer.Observe(w.context, waxwingseam.Feedback{Server: "fees-1", Result: waxwingseam.Result{
		Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonWaitLimit, Reached: true,
	}})
	known, _ = w.chosen()
	qt.Assert(t, known, qt.IsNotNil)
	w.answer(restarted, waxwingseam.Statement{})
	known, chosen = w.chosen()
	qt.Assert(t, chosen, qt.IsTrue)
	qt.Assert(t, known, qt.IsNil)
}

// TestUsedUpRateSparesSender guards against a rate limit that throttles a sender, or
// ejects the server, although another server takes the calls.
func TestUsedUpRateSparesSender(t *testing.T) {
	w := newStatementWorld()
	server := feesServer("fees-1", "a", 1, 1)
	w.answer(server, waxwingseam.Statement{Limited: true, Rate: 1})
	for range 100 {
		w.balancer.Observe(w.context, waxwingseam.Feedback{Server: "fees-1", Patient: true, Result: waxwingseam.Result{
			Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonRateLimited, Reached: true,
			Load: waxwingseam.Load{RateDelay: 500 * time.Millisecond, Statement: &waxwingseam.KnownStatement{
				Backend: server.BackendIncarnation(), Statement: waxwingseam.Statement{Limited: true, Rate: 1},
			}},
		}})
		choice := w.balancer.Choose(w.context, waxwingseam.Query{Service: "fees"})
		qt.Assert(t, choice.Refused, qt.IsFalse)
		qt.Assert(t, choice.Server.Name, qt.Equals, waxwingseam.ServerName("fees-2"))
		w.balancer.Observe(w.context, waxwingseam.Feedback{Server: "fees-2", Result: waxwingseam.Result{Status: 200, Reached: true}})
	}
	w.wait(maxPause)
	_, chosen := w.chosen()
	qt.Assert(t, chosen, qt.IsTrue)
}
