package forwarder

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestRepeatAfterDroppedReplyIsUnanswered guards against an attempt of a call whose reply
// was dropped with its last attempt, and that waits for a run which has ended.
func TestRepeatAfterDroppedReplyIsUnanswered(t *testing.T) {
	f := New(Config{Step: func(func(waxwingseam.Stamp) waxwingseam.Event) {}})
	o := &opening{ID: waxwingseam.NewCallID(1, 2), Attempt: 2, Method: "GET", Target: "/"}
	in := &inbound{forwarder: f, opening: o, call: f.hostedCallFor(o)}
	in.changed.L = &in.mu
	f.inbounds[in.key()] = in
	f.joinRun(waxwingseam.JoinRun{ID: o.ID, Attempt: o.Attempt, Owner: o.ID})
	f.answerAttempt(waxwingseam.AnswerAttempt{ID: o.ID, Attempt: o.Attempt, Result: waxwingseam.Result{
		Outcome: waxwingseam.OutcomeCompleted, Status: 500, Reached: true,
	}})
	qt.Assert(t, in.source, qt.IsNil)
	qt.Assert(t, in.result.Outcome, qt.Equals, waxwingseam.OutcomeMayHaveRun)
	qt.Assert(t, in.result.Reason, qt.Equals, waxwingseam.ReasonReplyNotKept)
}
