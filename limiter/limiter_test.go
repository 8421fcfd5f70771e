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

// chain is a fake of roots in flight: what exceeds the places below waits.
func chain(l waxwingseam.Limiter, from time.Time, d, free time.Duration, places int) time.Time {
	end := from.Add(d)
	for now := from; now.Before(end); {
		inFlight := l.Limit()
		elapsed := free * time.Duration(max(inFlight, places)) / time.Duration(places)
		l.Observe(waxwingseam.Sample{Now: now, Elapsed: elapsed, Waited: elapsed - free, InFlight: inFlight})
		now = now.Add(elapsed / time.Duration(inFlight))
	}
	return end
}

func TestQueueDelayKeepsInFlightNearToFree(t *testing.T) {
	l := NewQueueDelay()
	l.Configure(130)
	free := 400 * time.Millisecond
	const places = 20
	most := int(places*(1+delayTarget)) + 1
	now := chain(l, time.Unix(1000, 0), 5*time.Second, free, places)
	qt.Assert(t, l.Limit() >= places && l.Limit() <= most, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
	now = chain(l, now, 5*time.Second, 10*free, places)
	qt.Assert(t, l.Limit() >= places && l.Limit() <= most, qt.IsTrue, qt.Commentf("slower: limit %d", l.Limit()))
	chain(l, now, 2*time.Second, free, 60)
	qt.Assert(t, l.Limit() >= 54, qt.IsTrue, qt.Commentf("after: limit %d", l.Limit()))
}

// TestCancelledRunsTellNothing ends runs early, as for callers that leave, at
// the start of a node and among served ones.
func TestCancelledRunsTellNothing(t *testing.T) {
	l := NewQueueDelay()
	l.Configure(128)
	start := l.Limit()
	left := waxwingseam.Sample{Elapsed: 8 * time.Millisecond, InFlight: start, Failed: true}
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(time.Millisecond)
		left.Now = now
		l.Observe(left)
	}
	qt.Assert(t, l.Limit(), qt.Equals, start)
	free := 400 * time.Millisecond
	for range 2000 {
		now = now.Add(free / time.Duration(start))
		l.Observe(waxwingseam.Sample{Now: now, Elapsed: free, InFlight: start})
		left.Now = now
		l.Observe(left)
		qt.Assert(t, l.Limit() >= start, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
	}
}
