package meter

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestCancelledCallLeavesQueue checks that the meter removes a call that was
// cancelled in the queue, since no answer to it follows.
func TestCancelledCallLeavesQueue(t *testing.T) {
	m := New()
	id := waxwingseam.NewCallID(1, 1)
	m.Observe(waxwingseam.AttemptArrived{Call: waxwingseam.Call{ID: id}}, nil)
	qt.Assert(t, m.runs.queuedSince, qt.HasLen, 1)
	m.Observe(waxwingseam.AttemptCancelled{ID: id}, nil)
	qt.Assert(t, m.runs.queuedSince, qt.HasLen, 0)
}
