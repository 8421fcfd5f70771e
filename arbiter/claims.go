package arbiter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// claim is a recorded claim.
type claim struct {
	waxwingseam.Claim
	madeAt time.Time
	// ran is set once a call ran, or may have run, under the claim on this node.
	ran bool
}

// claims holds the recorded claims, in the order in which they were recorded.
type claims struct {
	keyRetention time.Duration
	limit        int
	byKey        map[waxwingseam.CallersKey]*claim
	log          []*claim
	// first is the number of claims removed from the log; the claim log[i] has
	// the index first+i.
	first uint64
}

func newClaims(keyRetention time.Duration, limit int) claims {
	return claims{
		keyRetention: keyRetention,
		limit:        limit,
		byKey:        map[waxwingseam.CallersKey]*claim{},
	}
}

// record stores a claim if its key has none, and returns the recorded claim on
// the key.
func (s *claims) record(now time.Time, c waxwingseam.Claim) waxwingseam.Claim {
	if recorded, ok := s.byKey[c.Key]; ok {
		return recorded.Claim
	}
	added := &claim{
		Claim:  c,
		madeAt: now.Add(-c.Age),
	}
	added.Age = 0
	s.byKey[c.Key] = added
	s.log = append(s.log, added)
	return added.Claim
}

// full reports whether there is no room for a claim on a key. Claims are never
// removed before they expire to make room.
func (s *claims) full(key waxwingseam.CallersKey) bool {
	_, known := s.byKey[key]
	return !known && len(s.byKey) >= s.limit
}

// lookup returns the recorded claim on a key; false without one.
func (s *claims) lookup(key waxwingseam.CallersKey) (waxwingseam.Claim, bool) {
	c, ok := s.byKey[key]
	if !ok {
		return waxwingseam.Claim{}, false
	}
	return c.Claim, true
}

// markRan marks the claim on a key as one under which a call ran.
func (s *claims) markRan(key waxwingseam.CallersKey) {
	if c, ok := s.byKey[key]; ok {
		c.ran = true
	}
}

// unused reports whether there is a claim on a key and nothing ran under it.
func (s *claims) unused(key waxwingseam.CallersKey) bool {
	c, ok := s.byKey[key]
	return ok && !c.ran
}

// release removes a claim, but not a different claim on the same key.
func (s *claims) release(c waxwingseam.Claim) {
	recorded, ok := s.byKey[c.Key]
	if ok && recorded.Holder.EqualIgnoringTerm(c.Holder) && recorded.Call == c.Call {
		delete(s.byKey, c.Key)
	}
}

// expire removes recorded claims in order until it reaches a claim that is
// younger than keyRetention. A claim that was copied after a younger claim stays
// until the younger claim expires.
func (s *claims) expire(now time.Time) {
	n := 0
	for n < len(s.log) && now.Sub(s.log[n].madeAt) >= s.keyRetention {
		if c := s.log[n]; s.byKey[c.Key] == c {
			delete(s.byKey, c.Key)
		}
		n++
	}
	s.log = append(s.log[:0], s.log[n:]...)
	s.first += uint64(n)
}

// pageSize is the maximum number of claims in a message.
const pageSize = 10_000

// page returns a page of claims from an index on, and the index of the next page;
// 0 after the last one.
func (s *claims) page(now time.Time, index uint64) ([]waxwingseam.Claim, uint64) {
	skipped := max(index, s.first) - s.first
	if skipped >= uint64(len(s.log)) {
		return nil, 0
	}
	from := int(skipped)
	to := min(from+pageSize, len(s.log))
	out := make([]waxwingseam.Claim, 0, to-from)
	for _, c := range s.log[from:to] {
		if s.byKey[c.Key] != c {
			continue
		}
		copied := c.Claim
		copied.Age = now.Sub(c.madeAt)
		out = append(out, copied)
	}
	if to == len(s.log) {
		return out, 0
	}
	return out, s.first + uint64(to)
}
