package receiver

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

// refusalTimeConstant is the time in which the weight of an offered root falls to 1/e.
const refusalTimeConstant = 250 * time.Millisecond

// minOfferedRoots is how many recent roots are needed to tell their refused share.
const minOfferedRoots = 10

// rootRefusals tracks the share of the recent roots of each class that were refused
// here for lack of capacity. Services further down do not see the calls that these
// roots would have made.
type rootRefusals map[waxwingseam.ClassName]*refusalShare

// refusalShare counts roots; older ones weigh less.
type refusalShare struct {
	updated time.Time
	offered float64
	refused float64
}

// observe records that a root was started or refused.
func (r rootRefusals) observe(now time.Time, class waxwingseam.ClassName, refused bool) {
	s, ok := r[class]
	if !ok {
		s = &refusalShare{}
		r[class] = s
	}
	weight := math.Exp(-max(now.Sub(s.updated), 0).Seconds() / refusalTimeConstant.Seconds())
	s.updated = now
	s.offered = s.offered*weight + 1
	s.refused *= weight
	if refused {
		s.refused++
	}
}

// known reports whether enough roots of a class were offered recently.
func (r rootRefusals) known(class waxwingseam.ClassName) bool {
	s, ok := r[class]
	return ok && s.offered >= minOfferedRoots
}

// add returns the refused share of the roots of a class, of which a share had been
// refused before the others arrived here.
func (r rootRefusals) add(before waxwingseam.Permille, class waxwingseam.ClassName) waxwingseam.Permille {
	s, ok := r[class]
	if !ok {
		return before
	}
	admitted := (1 - before.Share()) * (1 - s.refused/s.offered)
	return waxwingseam.PermilleOf(1 - admitted)
}

// adopt removes the classes that a configuration no longer has.
func (r rootRefusals) adopt(set *waxwingseam.Set) {
	for name := range r {
		if _, ok := set.RequestClass(name); !ok {
			delete(r, name)
		}
	}
}
