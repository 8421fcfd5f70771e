package budgeter

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// orderTimeConstant is the time in which the weight of a run or of a repeat falls to
	// 1/e.
	orderTimeConstant = 500 * time.Millisecond
	// minRefusedShare is the share of the runs that the backend server refuses from which
	// on the repeats are given out by order, and minRuns the number of recent runs needed
	// to tell it.
	minRefusedShare = 0.1
	minRuns         = 10
	// spendDivisor divides the window to give the time in which the budget that is left
	// would be spent: a budget that lasts the window would be left over at the end of most
	// refusals.
	spendDivisor = 10
	// minRepeats is the number of recent repeats from which on they are limited.
	minRepeats = 3
	// fractions is the number of parts into which the order of the roots is divided.
	fractions = 64
	// maxRise bounds the growth of the admitted part with each repeat, so that roots that
	// get no tries do not begin to get some each time that a few others have ended.
	maxRise = 1.02
)

// order gives the repeated calls to the first roots in the order that is the same at all
// hops, while the backend server refuses a share of all calls whatever its load. Such
// refusals go on for seconds; a root that makes several calls succeeds only if each of them
// gets its tries, so that tries spread over all roots are lost with nearly all of them.
type order struct {
	updated time.Time
	runs    float64
	refused float64
	// repeats counts the recent repeats that were asked for, by the part of the order.
	repeats [fractions]float64
	// part is the part of the roots whose calls are repeated, from the first on.
	part float64
}

func (o *order) decay(now time.Time) {
	weight := math.Exp(-max(now.Sub(o.updated), 0).Seconds() / orderTimeConstant.Seconds())
	o.updated = now
	o.runs *= weight
	o.refused *= weight
	for i := range o.repeats {
		o.repeats[i] *= weight
	}
}

func (o *order) observeRun(now time.Time, refused bool) {
	o.decay(now)
	o.runs++
	if refused {
		o.refused++
	}
}

// admits reports whether a call of a rank may be repeated, if a number of repeats is left
// in the window.
func (o *order) admits(now time.Time, r waxwingseam.Rank, left float64, window time.Duration) bool {
	o.decay(now)
	fraction := r.Fraction()
	o.repeats[int(fraction*fractions)]++
	if o.runs < minRuns || o.refused < minRefusedShare*o.runs {
		o.part = 1
		return true
	}
	o.adapt(left, window)
	return fraction < o.part
}

// adapt sets the part of the roots whose demand for repeats the budget covers. The demand
// is known only of those that get them: the others ask for one and are refused.
func (o *order) adapt(left float64, window time.Duration) {
	whole := max(int(o.part*fractions), 1)
	demand := 0.0
	for _, n := range o.repeats[:whole] {
		demand += n
	}
	if demand < minRepeats {
		o.part = min(o.part*maxRise, 1)
		return
	}
	supply := max(left, 0) * orderTimeConstant.Seconds() * spendDivisor / window.Seconds()
	o.part = min(float64(whole)/fractions*supply/demand, o.part*maxRise, 1)
	o.part = max(o.part, 1.0/fractions/4)
}
