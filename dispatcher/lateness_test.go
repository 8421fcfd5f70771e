package dispatcher

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestFirstSendingIsTakenAsLate guards against roots that are refused first although they
// can be on time, and against late ones that are not told apart.
func TestFirstSendingIsTakenAsLate(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	class := waxwingseam.RequestClass{Name: "status", Objective: 1500 * time.Millisecond}
	l := lateness{}
	at := func(elapsed, timeout time.Duration) bool { return l.late(start.Add(elapsed), class, timeout) }
	qt.Assert(t, at(0, 5*time.Second), qt.IsFalse)
	qt.Assert(t, at(0, 4*time.Second), qt.IsFalse)
	l.served("status", 600*time.Millisecond)
	qt.Assert(t, at(time.Second, 4500*time.Millisecond), qt.IsFalse)
	qt.Assert(t, at(time.Second, 4*time.Second), qt.IsTrue)
	qt.Assert(t, at(time.Second, 0), qt.IsFalse)
	// A mean time near the objective must not make first sendings late.
	for range 100 {
		l.served("status", time.Minute)
	}
	qt.Assert(t, at(2*time.Second, 5*time.Second), qt.IsFalse)
	qt.Assert(t, at(2*time.Second, 4990*time.Millisecond), qt.IsFalse)
	qt.Assert(t, at(2*time.Second, 4500*time.Millisecond), qt.IsTrue)
	// Callers who wait for a shorter time from now on are not late for ever.
	for elapsed := 3 * time.Second; elapsed < 30*time.Second; elapsed += time.Second {
		at(elapsed, 3*time.Second)
	}
	qt.Assert(t, at(30*time.Second, 3*time.Second), qt.IsFalse)
	qt.Assert(t, l.late(start, waxwingseam.RequestClass{Name: "batch"}, time.Second), qt.IsFalse)
	l.adopt(&waxwingseam.Set{})
	qt.Assert(t, l, qt.HasLen, 0)
}

// TestRefusedCallersReturnTogether guards against a time to return that lies beyond the
// time that the caller has left, and against callers who are all told the same time.
func TestRefusedCallersReturnTogether(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := waxwingseam.NewContext(waxwingseam.Server{})
	seen := map[time.Duration]bool{}
	for i := range uint64(20) {
		c.Begin(waxwingseam.Stamp{Now: start.Add(time.Second), Random: i})
		f := &flight{arrived: start, timeout: 4 * time.Second}
		after := boundRetryAfter(c, f, 5*time.Second)
		qt.Assert(t, after <= time.Second && after >= 875*time.Millisecond, qt.IsTrue, qt.Commentf("%v", after))
		seen[after] = true
		qt.Assert(t, boundRetryAfter(c, f, 300*time.Millisecond), qt.Equals, 300*time.Millisecond)
	}
	qt.Assert(t, len(seen) > 10, qt.IsTrue)
	unknown := &flight{arrived: start}
	qt.Assert(t, boundRetryAfter(c, unknown, 5*time.Second), qt.Equals, 5*time.Second)
}
