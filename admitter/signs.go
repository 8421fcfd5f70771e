package admitter

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

// importanceActivity records the last start and the last refusal of one
// importance.
type importanceActivity struct {
	lastStarted      time.Time
	lastRefused      time.Time
	lastStartedOrder uint64
}

// admissionActivity derives the ranks that are currently admitted from recent
// starts and refusals.
type admissionActivity struct {
	byImportance [importanceCount]importanceActivity
	lastRefused  time.Time
}

func (a *admissionActivity) observeStart(now time.Time, r waxwingseam.Rank) {
	v := &a.byImportance[min(int(r.Importance), importanceCount-1)]
	v.lastStarted = now
	v.lastStartedOrder = r.Order
}

func (a *admissionActivity) observeRefusal(now time.Time, r waxwingseam.Rank) {
	a.byImportance[min(int(r.Importance), importanceCount-1)].lastRefused = now
	a.lastRefused = now
}

// threshold returns the last rank in the order of service that is admitted. It
// has the lowest importance of the calls started within sheddingWindow, and the
// order of the last of them if calls of that importance were also refused. If
// none was started, it is the highest rank. If none was refused, shedding is
// false and the rank is zero.
func (a *admissionActivity) threshold(now time.Time) (rank waxwingseam.Rank, shedding bool) {
	if !withinSheddingWindow(now, a.lastRefused) {
		return waxwingseam.Rank{}, false
	}
	for i := range a.byImportance {
		v := &a.byImportance[i]
		if !withinSheddingWindow(now, v.lastStarted) {
			continue
		}
		rank.Importance = waxwingseam.Importance(i)
		rank.Order = math.MaxUint64
		if withinSheddingWindow(now, v.lastRefused) {
			rank.Order = v.lastStartedOrder
		}
		return rank, true
	}
	return waxwingseam.Rank{Importance: waxwingseam.MaxImportance}, true
}

func withinSheddingWindow(now, then time.Time) bool {
	return !then.IsZero() && now.Sub(then) < sheddingWindow
}
