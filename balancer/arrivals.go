package balancer

import (
	"math"
	"time"
)

const (
	// arrivalsTimeConstant is the time in which the weight of a root falls to 1/e.
	arrivalsTimeConstant = 3 * time.Second
	// Up to mildShare, late roots and others are refused alike; from deepShare on, late
	// ones are refused first.
	mildShare, deepShare = 0.1, 0.3
	// minArrivals is how many recent roots are needed to tell the part of late ones.
	minArrivals = 5
)

// arrivals counts the recent roots of a class, with decaying weights.
type arrivals struct {
	updated     time.Time
	total, late float64
}

func (a *arrivals) observe(now time.Time, late bool) {
	weight := math.Exp(-max(now.Sub(a.updated), 0).Seconds() / arrivalsTimeConstant.Seconds())
	a.updated = now
	a.total = a.total*weight + 1
	a.late *= weight
	if late {
		a.late++
	}
}

// divide returns the part of the late roots, or of the others, that is refused if a share
// of all of them is.
//
// Whoever is refused when late gets no answer; a new root returns and gets a late one if
// the shortage is over by then. So late roots are refused first only in a deep shortage,
// which is likely to last.
func (a *arrivals) divide(refused float64, late bool) float64 {
	if a.late == 0 || a.total < minArrivals {
		return refused
	}
	part := a.late / a.total
	first := max(refused-part, 0) / max(1-part, 1/a.total)
	if late {
		first = min(refused/part, 1)
	}
	depth := min(max((refused-mildShare)/(deepShare-mildShare), 0), 1)
	return refused + depth*(first-refused)
}
