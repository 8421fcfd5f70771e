package limiter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// observeRuns passes runs at the full limit to a limiter for a duration, and
// returns the end time. The time of a run depends on the current limit.
func observeRuns(l waxwingseam.Limiter, from time.Time, d time.Duration, elapsed func(limit int) time.Duration) time.Time {
	for now := from; now.Before(from.Add(d)); now = now.Add(time.Millisecond) {
		l.Observe(waxwingseam.Sample{Now: now, Elapsed: elapsed(l.Limit()), InFlight: l.Limit()})
	}
	return from.Add(d)
}

// TestAIMDLimitFollowsLatency guards against a limit that stays high while
// latency grows with the number of runs, or stays low after latency has
// recovered.
func TestAIMDLimitFollowsLatency(t *testing.T) {
	l := NewAIMD()
	l.Configure(60)
	steady := func(int) time.Duration { return 20 * time.Millisecond }
	slow := func(limit int) time.Duration { return time.Duration(limit) * 10 * time.Millisecond }
	now := observeRuns(l, time.Unix(1000, 0), time.Second, steady)
	qt.Assert(t, l.Limit(), qt.Equals, 60)
	now = observeRuns(l, now, 10*time.Second, slow)
	qt.Assert(t, l.Limit() < 10, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
	observeRuns(l, now, 2*time.Second, steady)
	qt.Assert(t, l.Limit() >= 54, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
}

// simulateRoots passes roots at the full limit to a limiter for a duration, and
// returns the end time. Roots above the capacity of the service below them
// wait.
func simulateRoots(l waxwingseam.Limiter, from time.Time, d, unqueued time.Duration, capacity int) time.Time {
	end := from.Add(d)
	for now := from; now.Before(end); {
		inFlight := l.Limit()
		elapsed := unqueued * time.Duration(max(inFlight, capacity)) / time.Duration(capacity)
		l.Observe(waxwingseam.Sample{Now: now, Elapsed: elapsed, Waited: elapsed - unqueued, InFlight: inFlight})
		now = now.Add(elapsed / time.Duration(inFlight))
	}
	return end
}

// TestQueueDelayLimitsQueueTime guards against a limit at which roots spend most
// of their time in queues, also when the service below becomes slower, and
// against a limit that stays low when the capacity of that service grows.
func TestQueueDelayLimitsQueueTime(t *testing.T) {
	l := NewQueueDelay()
	l.Configure(130)
	unqueued := 400 * time.Millisecond
	const capacity = 20
	maxLimit := int(capacity*(1+maxQueueRatio)) + 1
	now := simulateRoots(l, time.Unix(1000, 0), 5*time.Second, unqueued, capacity)
	qt.Assert(t, l.Limit() >= capacity && l.Limit() <= maxLimit, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
	now = simulateRoots(l, now, 5*time.Second, 10*unqueued, capacity)
	qt.Assert(t, l.Limit() >= capacity && l.Limit() <= maxLimit, qt.IsTrue, qt.Commentf("slower: limit %d", l.Limit()))
	simulateRoots(l, now, 2*time.Second, unqueued, 60)
	qt.Assert(t, l.Limit() >= 54, qt.IsTrue, qt.Commentf("recovered: limit %d", l.Limit()))
}

// TestQueueDelayIgnoresCancelledRuns guards against a limit that falls when
// callers leave and their runs end early, both before the first run succeeds
// and between successful runs.
func TestQueueDelayIgnoresCancelledRuns(t *testing.T) {
	l := NewQueueDelay()
	l.Configure(128)
	start := l.Limit()
	cancelled := waxwingseam.Sample{Elapsed: 8 * time.Millisecond, InFlight: start, Failed: true}
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(time.Millisecond)
		cancelled.Now = now
		l.Observe(cancelled)
	}
	qt.Assert(t, l.Limit(), qt.Equals, start)
	unqueued := 400 * time.Millisecond
	for range 2000 {
		now = now.Add(unqueued / time.Duration(start))
		l.Observe(waxwingseam.Sample{Now: now, Elapsed: unqueued, InFlight: start})
		cancelled.Now = now
		l.Observe(cancelled)
		qt.Assert(t, l.Limit() >= start, qt.IsTrue, qt.Commentf("limit %d", l.Limit()))
	}
}
