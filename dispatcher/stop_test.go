package dispatcher_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestCallIsBrokenOffByStop guards against calls that a stopping node passes on although it
// may exit before they end, and against refusals of those that end in time by their deadline.
func TestCallIsBrokenOffByStop(t *testing.T) {
	const (
		callersUntil = 300 * time.Millisecond
		callsUntil   = 540 * time.Millisecond
		refused      = "reply:did-not-run:draining"
		sent         = "dispatch#1+2"
	)
	for _, v := range []struct {
		name      string
		at        time.Duration
		timeout   time.Duration
		receiving bool
		want      string
	}{
		{"ends in time", 50 * time.Millisecond, 300 * time.Millisecond, false, sent},
		{"ends in time, late", 400 * time.Millisecond, 80 * time.Millisecond, false, sent},
		{"callers have no other node yet", 290 * time.Millisecond, 600 * time.Millisecond, false, sent},
		{"might outlast the process", 310 * time.Millisecond, 600 * time.Millisecond, false, refused},
		{"might outlast the process, late", 535 * time.Millisecond, 600 * time.Millisecond, false, refused},
		{"might outlast the process, by its class", 400 * time.Millisecond, 0, false, refused},
		{"body is whole at an unknown time", 200 * time.Millisecond, 600 * time.Millisecond, true, refused},
		{"body is whole in time", 200 * time.Millisecond, 300 * time.Millisecond, true, sent},
	} {
		t.Run(v.name, func(t *testing.T) {
			n := newNode("ledger-1", "ledger-2")
			n.step(waxwingseam.DrainAsked{Stamp: n.stamp(), Stop: waxwingseam.ProcessStop{
				CallersUntil: start.Add(callersUntil), CallsUntil: start.Add(callsUntil),
			}})
			n.now = start.Add(v.at)
			arrival := waxwingseam.CallArrived{
				Stamp: n.stamp(), ID: id, Root: waxwingseam.RootID(id), Service: "ledger", Replayable: true,
				Timeout: v.timeout, Receiving: v.receiving,
			}
			qt.Assert(t, n.step(arrival), qt.Equals, v.want)
		})
	}
}

// TestRetryIsBrokenOffByStop guards against further attempts of a call that start so late that
// the node may exit before they end, and against refusals after a drain was undone.
func TestRetryIsBrokenOffByStop(t *testing.T) {
	refusal := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonDraining, Reached: true}
	for _, undone := range []bool{false, true} {
		n := newNode("ledger-1", "ledger-2")
		qt.Assert(t, n.call("ledger"), qt.Equals, "dispatch#1+2")
		n.step(waxwingseam.DrainAsked{Stamp: n.stamp(), Stop: waxwingseam.ProcessStop{
			CallersUntil: start.Add(300 * time.Millisecond), CallsUntil: start.Add(540 * time.Millisecond),
		}})
		want := "reply:did-not-run:draining"
		if undone {
			n.step(waxwingseam.DrainAsked{Stamp: n.stamp(), Undo: true})
			want = "dispatch#2+1"
		}
		n.now = start.Add(400 * time.Millisecond)
		qt.Assert(t, n.endAttempt(1, refusal), qt.Equals, want)
	}
}
