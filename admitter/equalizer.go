package admitter

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

// equalizerTimeConstant is the time in which the weight of a ticket falls to 1/e.
const equalizerTimeConstant = 100 * time.Millisecond

// headstartUnit is how much earlier a ticket counts as offered if the served share of
// its side's roots is lower by a factor of e.
const headstartUnit = 2 * time.Second

// maxRefusedShare bounds the refused share of a side, so that a side that gets nothing
// has a finite headstart.
const maxRefusedShare = 0.99

// equalizer compares, within one importance, how often the roots of the offered
// tickets are refused: of this server's own roots, and of the roots whose runs
// elsewhere make calls to it. Those calls wait for a run that has been paid for, and
// belong to older roots, so that by rank alone the server's own roots would get only
// the slots that are left, and bear the whole shortage. The side that is refused
// more often goes first instead.
type equalizer struct {
	sides [importanceCount][2]refusalMean
}

// refusalMean is the mean of the refused shares that tickets carry; older tickets
// weigh less.
type refusalMean struct {
	updated time.Time
	weight  float64
	share   float64
}

func side(depth uint8) int {
	return min(int(depth), 1)
}

// observe records the refused share that an offered ticket carries.
func (q *equalizer) observe(now time.Time, t *waxwingseam.Ticket) {
	importance, _ := laneIndices(t)
	m := &q.sides[importance][side(t.Depth)]
	weight := math.Exp(-max(now.Sub(m.updated), 0).Seconds() / equalizerTimeConstant.Seconds())
	m.updated = now
	calls := 1.0
	if t.Account != "" {
		// Accounts are refused different shares, so that each call counts for those that
		// its account would have made.
		calls /= 1 - min(t.RefusedInAll.Share(), maxRefusedShare)
	}
	m.weight = m.weight*weight + calls
	m.share += calls * (t.RefusedInAll.Share() - m.share) / m.weight
}

// before reports whether ticket a is served before b. Both have the same
// importance.
func (q *equalizer) before(a, b *waxwingseam.Ticket) bool {
	if side(a.Depth) == side(b.Depth) {
		return a.Rank.Before(b.Rank)
	}
	return q.start(a) < q.start(b)
}

// start returns the start of a ticket's root, in nanoseconds, less the headstart of
// its side.
func (q *equalizer) start(t *waxwingseam.Ticket) int64 {
	importance, _ := laneIndices(t)
	served := 1 - min(q.sides[importance][side(t.Depth)].share, maxRefusedShare)
	return int64(t.Rank.Order) + int64(math.Log(served)*float64(headstartUnit))
}
