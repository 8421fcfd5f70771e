package arbiter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// claim is a recorded claim.
type claim struct {
	waxwingseam.Claim
	made time.Time
	// ran is set once a call ran under it here, or may have.
	ran bool
}

// claims are the recorded claims, in the order in which they came.
type claims struct {
	life  time.Duration
	limit int
	byKey map[waxwingseam.CallersKey]*claim
	log   []*claim
	// first is the index of the log's first claim.
	first uint64
}

func newClaims(life time.Duration, limit int) claims {
	return claims{
		life:  life,
		limit: limit,
		byKey: map[waxwingseam.CallersKey]*claim{},
	}
}

// record keeps a claim where the key is free or the claim the same, and
// returns the one that stands.
func (s *claims) record(now time.Time, c waxwingseam.Claim) waxwingseam.Claim {
	if standing, ok := s.byKey[c.Key]; ok {
		return standing.Claim
	}
	kept := &claim{
		Claim: c,
		made:  now.Add(-c.Age),
	}
	kept.Age = 0
	s.byKey[c.Key] = kept
	s.log = append(s.log, kept)
	return kept.Claim
}

// full reports whether there is no room for a claim on a key. A claim is never
// forgotten early to make room.
func (s *claims) full(key waxwingseam.CallersKey) bool {
	_, known := s.byKey[key]
	return !known && len(s.byKey) >= s.limit
}

// holder returns the claim on a key; false without one.
func (s *claims) holder(key waxwingseam.CallersKey) (waxwingseam.Claim, bool) {
	c, ok := s.byKey[key]
	if !ok {
		return waxwingseam.Claim{}, false
	}
	return c.Claim, true
}

// markRan keeps a claim from being released.
func (s *claims) markRan(key waxwingseam.CallersKey) {
	if c, ok := s.byKey[key]; ok {
		c.ran = true
	}
}

// unused reports whether nothing ran under a claim.
func (s *claims) unused(key waxwingseam.CallersKey) bool {
	c, ok := s.byKey[key]
	return ok && !c.ran
}

// release drops a claim; another one on the same key stays.
func (s *claims) release(c waxwingseam.Claim) {
	standing, ok := s.byKey[c.Key]
	if ok && standing.Holder.EqualIgnoringTerm(c.Holder) && standing.Call == c.Call {
		delete(s.byKey, c.Key)
	}
}

// expire drops the claims that have outlived the promise to callers.
func (s *claims) expire(now time.Time) {
	n := 0
	for n < len(s.log) && now.Sub(s.log[n].made) >= s.life {
		if c := s.log[n]; s.byKey[c.Key] == c {
			delete(s.byKey, c.Key)
		}
		n++
	}
	s.log = append(s.log[:0], s.log[n:]...)
	s.first += uint64(n)
}

// pageSize is the most claims that one message carries.
const pageSize = 10_000

// page returns the claims from an index on, and the index after them; 0 at
// the end.
func (s *claims) page(now time.Time, index uint64) ([]waxwingseam.Claim, uint64) {
	from := int(max(index, s.first) - s.first)
	if from >= len(s.log) {
		return nil, 0
	}
	to := min(from+pageSize, len(s.log))
	out := make([]waxwingseam.Claim, 0, to-from)
	for _, c := range s.log[from:to] {
		if s.byKey[c.Key] != c {
			continue
		}
		copied := c.Claim
		copied.Age = now.Sub(c.made)
		out = append(out, copied)
	}
	if to == len(s.log) {
		return out, 0
	}
	return out, s.first + uint64(to)
}
