package meter

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestCancelledCallsAreForgotten checks that a call which leaves the queue
// without an answer leaves nothing behind.
func TestCancelledCallsAreForgotten(t *testing.T) {
	m := New()
	id := waxwingseam.NewCallID(1, 1)
	m.Observe(waxwingseam.AttemptArrived{Call: waxwingseam.Call{ID: id}}, nil)
	qt.Assert(t, m.runs.waiting, qt.HasLen, 1)
	m.Observe(waxwingseam.AttemptCancelled{ID: id}, nil)
	qt.Assert(t, m.runs.waiting, qt.HasLen, 0)
}
