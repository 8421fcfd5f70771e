package dispatcher

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

var chanceStart = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

// refusedRoots offers roots of a class that make a number of calls, of which a share is
// refused, 40 a second, and returns how many of them were refused at once.
func refusedRoots(s chances, random *rand.Rand, from time.Time, length time.Duration, calls int, refused float64) (atOnce, offered int) {
	for at := time.Duration(0); at < length; at += time.Second / 40 {
		now := from.Add(at)
		offered++
		if !s.admits(now, "report") {
			atOnce++
			continue
		}
		result := waxwingseam.Result{Outcome: waxwingseam.OutcomeCompleted, Status: 200}
		for range calls {
			result.CallsBelow++
			if random.Float64() < refused {
				result.Status, result.RefusedBelow = 503, true
				break
			}
		}
		s.observe(now, "report", result, false)
	}
	return atOnce, offered
}

// TestRootsWithoutChanceAreRefused guards against roots that are sent although nearly all
// of them fail after most of their work, against the refusal of roots that have a chance,
// and against a class that stays refused after the refusals have ended.
func TestRootsWithoutChanceAreRefused(t *testing.T) {
	for _, v := range []struct {
		calls       int
		refused     float64
		least, most float64
	}{
		{8, 0, 0, 0},
		{8, 0.55, 0.6, 0.75},
		{4, 0.3, 0, 0},
		{8, 0.1, 0, 0},
		{1, 0.55, 0, 0},
	} {
		s := chances{}
		random := rand.New(rand.NewPCG(1, 1))
		refusedRoots(s, random, chanceStart, 5*time.Second, v.calls, 0)
		atOnce, offered := refusedRoots(s, random, chanceStart.Add(5*time.Second), 8*time.Second, v.calls, v.refused)
		share := float64(atOnce) / float64(offered)
		qt.Check(t, share >= v.least && share <= v.most, qt.IsTrue, qt.Commentf("%d calls, %.2f refused: %.3f of the roots refused at once", v.calls, v.refused, share))
		refusedRoots(s, random, chanceStart.Add(13*time.Second), time.Second/2, v.calls, 0)
		atOnce, _ = refusedRoots(s, random, chanceStart.Add(13500*time.Millisecond), time.Second, v.calls, 0)
		qt.Check(t, atOnce, qt.Equals, 0)
	}
}

// TestShortageIsNoLackOfChance guards against roots that are refused for their chance while
// a service asks to refuse a share of them for lack of capacity.
func TestShortageIsNoLackOfChance(t *testing.T) {
	s := chances{}
	s.observe(chanceStart, "report", waxwingseam.Result{Status: 200, CallsBelow: 8}, false)
	for range 100 {
		s.observe(chanceStart, "report", waxwingseam.Result{Status: 503, CallsBelow: 1, RefusedBelow: true}, true)
	}
	qt.Assert(t, s.admits(chanceStart, "report"), qt.IsTrue)
}
