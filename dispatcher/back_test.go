package dispatcher_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestCallsSentBackAreServedElsewhere guards against a call that fails because the node of
// a slow server sent it back, against one that goes back and forth, and against a retry
// that it costs. With one server, the call goes to it again.
func TestCallsSentBackAreServedElsewhere(t *testing.T) {
	back := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonServerSlow, Reached: true}
	for _, servers := range [][]waxwingseam.ServerName{{"photos-1", "photos-2"}, {"photos-1"}} {
		n := newNode(servers...)
		first := n.call("photos")
		qt.Assert(t, strings.Contains(first, "dispatch#1+"), qt.IsTrue, qt.Commentf("%s", first))
		again := n.endAttempt(1, back)
		qt.Assert(t, strings.Contains(again, "dispatch#2+2"), qt.IsTrue, qt.Commentf("%s", again))
		qt.Assert(t, n.endAttempt(2, completedWith(200)), qt.Contains, "reply")
	}
}
