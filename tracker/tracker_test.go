package tracker_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/tracker"
)

func id(n uint64) waxwingseam.CallID { return waxwingseam.NewCallID(0, n) }

// ExampleNew shows two child calls that share the allowance of their run.
func ExampleNew() {
	runs := tracker.New(tracker.Config{})
	runs.Begin(waxwingseam.Call{ID: id(1), Allowance: 2})
	first, second := runs.OpenChild(id(1), id(2)), runs.OpenChild(id(1), id(3))
	fmt.Println(first.Spend(), second.Spend(), first.Spend(), runs.Unspent(id(1)))
	// Output: true true false 0
}

// TestEnd guards against open child calls that are not returned when their run
// ends, and against child calls that spend the allowance of an ended run.
func TestEnd(t *testing.T) {
	runs := tracker.New(tracker.Config{})
	runs.Begin(waxwingseam.Call{ID: id(1), Allowance: 2})
	for n := uint64(2); n < 5; n++ {
		runs.OpenChild(id(1), id(n))
	}
	runs.CloseChild(id(1), id(3))
	qt.Assert(t, runs.End(id(1)), qt.DeepEquals, []waxwingseam.CallID{id(2), id(4)})
	_, running := runs.RunningCall(id(1))
	qt.Assert(t, running, qt.IsFalse)
	qt.Assert(t, runs.OpenChild(id(1), id(5)).Spend(), qt.IsFalse)
	qt.Assert(t, runs.Unspent(id(1)), qt.Equals, waxwingseam.Allowance(0))
	qt.Assert(t, runs.End(id(1)), qt.HasLen, 0)
}

// TestCallsBelow guards against child calls, or calls below them, that are left
// out of a run's count, for example once a child call is closed.
func TestCallsBelow(t *testing.T) {
	runs := tracker.New(tracker.Config{})
	runs.Begin(waxwingseam.Call{ID: id(1)})
	qt.Assert(t, runs.CallsBelow(id(1)), qt.Equals, uint32(0))
	runs.OpenChild(id(1), id(2))
	runs.OpenChild(id(1), id(3))
	runs.AddCallsBelow(id(1), 4)
	runs.CloseChild(id(1), id(2))
	qt.Assert(t, runs.CallsBelow(id(1)), qt.Equals, uint32(6))
	runs.End(id(1))
	qt.Assert(t, runs.CallsBelow(id(1)), qt.Equals, uint32(0))
}
