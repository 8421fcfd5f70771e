package admitter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/limiter"
)

// TestShortDeadlinesAreAdmittedAfterOverload guards against an admitter that
// refuses a class for good after an overload: two classes share a server, and
// for a while the runs of both take nearly as long as the shorter of their
// deadlines. If the calls of that class were refused from then on, no run would
// show that they finish in time again.
func TestShortDeadlinesAreAdmittedAfterOverload(t *testing.T) {
	const (
		shortDeadline = 800 * time.Millisecond
		longDeadline  = 6 * time.Second
	)
	a := New(Config{Limiter: limiter.NewFixed()})
	a.Configure(8)
	c := waxwingseam.NewContext(waxwingseam.Server{})
	now := time.Unix(1000, 0)
	id := uint64(0)
	run := func(class waxwingseam.ClassName, deadline, elapsed time.Duration) waxwingseam.Verdict {
		id++
		c.Begin(waxwingseam.Stamp{Now: now})
		call := waxwingseam.NewCallID(0, id)
		out := a.Offer(c, waxwingseam.Ticket{ID: call, Class: class, Deadline: now.Add(deadline), Arrived: now})
		if out[0].Verdict != waxwingseam.VerdictRun {
			return out[0].Verdict
		}
		now = now.Add(elapsed)
		c.Begin(waxwingseam.Stamp{Now: now})
		a.Finish(c, waxwingseam.RunEnd{ID: call, Elapsed: elapsed, OwnElapsed: elapsed})
		return waxwingseam.VerdictRun
	}
	for range 50 {
		run("long", longDeadline, 150*time.Millisecond)
		run("short", shortDeadline, 250*time.Millisecond)
	}
	for range 200 {
		run("long", longDeadline, 1200*time.Millisecond)
		run("short", shortDeadline, 750*time.Millisecond)
	}
	for range 20 {
		qt.Assert(t, run("short", shortDeadline, 250*time.Millisecond), qt.Equals, waxwingseam.VerdictRun)
	}
}
