package drainer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/drainer"
)

// TestDrain checks that a drain and its undo are each announced once, also when
// repeated.
func TestDrain(t *testing.T) {
	c := waxwingseam.NewContext(waxwingseam.Server{Name: "fees-1"})
	d := drainer.New(drainer.Config{})
	for _, v := range []struct {
		undo, leaving bool
		announced     int
	}{
		{true, false, 0},
		{false, true, 1},
		{false, true, 0},
		{true, false, 1},
		{true, false, 0},
	} {
		c.Begin(waxwingseam.Stamp{})
		d.Drain(c, v.undo)
		qt.Assert(t, d.Leaving(), qt.Equals, v.leaving)
		qt.Assert(t, c.Effects(), qt.HasLen, v.announced)
		for _, e := range c.Effects() {
			qt.Assert(t, e.(waxwingseam.Announce).Self.Leaving, qt.Equals, v.leaving)
		}
	}
}
