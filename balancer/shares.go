package balancer

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// shareTimeConstant is the time in which the weight of an answer falls to 1/e.
	shareTimeConstant = 100 * time.Millisecond
	// expectedAnswers times the mean time between two answers is how long a share holds
	// without a further one, within minShareLifetime and maxShareLifetime. After that,
	// it falls to 1/e in the same time.
	expectedAnswers  = 3
	minShareLifetime = 500 * time.Millisecond
	maxShareLifetime = 4 * time.Second
)

// shares holds the shares of roots that the servers of a service ask first nodes to
// refuse. Each server names its own; their mean holds for the service.
type shares map[waxwingseam.Place]*share

type share struct {
	updated time.Time
	weight  float64
	mean    float64
	// interval is the mean time between two answers.
	interval time.Duration
	arrivals arrivals
}

// observe records the share that an answer names.
func (s shares) observe(now time.Time, f waxwingseam.Feedback) {
	if f.Result.RefusedPermille == waxwingseam.ShareUnknown {
		return
	}
	if f.Account != "" {
		s.observeAccounts(now, &f)
		return
	}
	s.observeShare(now, feedbackPlace(&f), f.Result.RefusedPermille)
}

// observeShare records a share that was named for a place.
func (s shares) observeShare(now time.Time, key waxwingseam.Place, named waxwingseam.Permille) {
	v, ok := s[key]
	if !ok {
		v = &share{}
		s[key] = v
	}
	age := max(now.Sub(v.updated), 0)
	if !v.updated.IsZero() {
		v.interval += (min(age, maxShareLifetime) - v.interval) / 4
	}
	v.updated = now
	v.weight = v.weight*math.Exp(-age.Seconds()/shareTimeConstant.Seconds()) + 1
	v.mean += (named.Share() - v.mean) / v.weight
}

// refused returns the share of roots to refuse.
func (s shares) refused(now time.Time, place waxwingseam.Place) float64 {
	v := s.of(place)
	if v == nil {
		return 0
	}
	lifetime := v.lifetime(place)
	overdue := max(now.Sub(v.updated)-lifetime, 0)
	weight := math.Exp(-overdue.Seconds() / lifetime.Seconds())
	if weight == 1 {
		return v.mean
	}
	return v.mean*weight + (1-weight)*s.rest(now, place)
}

// age returns how long ago a share was last stated; 0 if none was.
func (s shares) age(now time.Time, place waxwingseam.Place) time.Duration {
	v := s.of(place)
	if v == nil {
		return 0
	}
	return now.Sub(v.updated)
}

// adopt removes the classes that a configuration no longer has.
func (s shares) adopt(set *waxwingseam.Set) {
	for place := range s {
		if _, ok := set.RequestClass(place.Class); !ok {
			delete(s, place)
		}
	}
}

// admits reports whether the place of a root in the order, which is the same at all
// nodes, lies outside a refused share. Late roots are refused first: of the share that
// is refused, they bear as much as they can, and the others the rest.
func (s shares) admits(now time.Time, place waxwingseam.Place, rank waxwingseam.Rank, late bool, refused float64) bool {
	v := s.of(place)
	if v == nil {
		return true
	}
	v.arrivals.observe(now, late)
	return s.outside(place, rank, late, refused)
}

// outside reports what admits does, without counting the root.
func (s shares) outside(place waxwingseam.Place, rank waxwingseam.Rank, late bool, refused float64) bool {
	v := s.of(place)
	return v == nil || rank.Fraction() < 1-v.arrivals.divide(refused, late)
}
