package limiter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// feed gives a limiter runs at a full limit for a while, of a time that
// depends on the limit in force.
func feed(l waxwingseam.Limiter, from time.Time, d time.Duration, elapsed func(limit int) time.Duration) time.Time {
	for now := from; now.Before(from.Add(d)); now = now.Add(time.Millisecond) {
		l.Observe(waxwingseam.Sample{Now: now, Elapsed: elapsed(l.Limit()), InFlight: l.Limit()})
	}
	return from.Add(d)
}

func TestLimitFollowsLatencyAndClimbsBack(t *testing.T) {
	l := NewAIMD()
	l.Configure(60)
	steady := func(int) time.Duration { return 20 * time.Millisecond }
	slow := func(limit int) time.Duration { return time.Duration(limit) * 10 * time.Millisecond }
	now := feed(l, time.Unix(1000, 0), time.Second, steady)
	qt.Assert(t, l.Limit(), qt.Equals, 60)
	now = feed(l, now, 10*time.Second, slow)
	qt.Assert(t, l.Limit() < 10, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
	feed(l, now, 2*time.Second, steady)
	qt.Assert(t, l.Limit() >= 54, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
}
