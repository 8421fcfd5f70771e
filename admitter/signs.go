package admitter

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

// sign is what was last seen of one importance.
type sign struct {
	started time.Time
	refused time.Time
	order   uint64
}

// signs tells from recent starts and refusals which ranks are admitted.
type signs struct {
	byImportance [importances]sign
	lastRefused  time.Time
}

func (s *signs) started(now time.Time, r waxwingseam.Rank) {
	v := &s.byImportance[min(int(r.Importance), importances-1)]
	v.started = now
	v.order = r.Order
}

func (s *signs) refused(now time.Time, r waxwingseam.Rank) {
	s.byImportance[min(int(r.Importance), importances-1)].refused = now
	s.lastRefused = now
}

// threshold returns the worst rank that has been admitted lately; shedding is
// unset where nothing was refused.
func (s *signs) threshold(now time.Time) (rank waxwingseam.Rank, shedding bool) {
	if !recent(now, s.lastRefused) {
		return waxwingseam.Rank{}, false
	}
	for i := range s.byImportance {
		v := &s.byImportance[i]
		if !recent(now, v.started) {
			continue
		}
		rank.Importance = waxwingseam.Importance(i)
		rank.Order = math.MaxUint64
		if recent(now, v.refused) {
			rank.Order = v.order
		}
		return rank, true
	}
	return waxwingseam.Rank{Importance: waxwingseam.MaxImportance}, true
}

func recent(now, then time.Time) bool {
	return !then.IsZero() && now.Sub(then) < sheddingHold
}
