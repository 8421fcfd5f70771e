package admitter

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// minCost is the least cost of a call, in seconds; the run time of a new class is
	// unknown.
	minCost = 1e-3
	// minSweep is the number of accounts from which on idle ones are removed.
	minSweep = 64
)

// accounts orders the calls of client accounts by start-time fair queueing (Goyal, Vin and
// Cheng, 1996), separately for each importance and side: an account's calls start in
// turns that its weight and the slot time of its earlier calls determine.
type accounts struct {
	set     *waxwingseam.Set
	weights map[waxwingseam.AccountName]float64
	// meanWeight is the weight of all calls without an account together.
	meanWeight float64
	clocks     [importanceCount][2]fairClock
}

// fairClock is the virtual time of one importance and side.
type fairClock struct {
	// now is the start tag of the last call that started.
	now    float64
	shares map[waxwingseam.AccountName]*accountShare
	// active is the number of accounts with waiting tickets.
	active int
	// sweepAt is the number of shares at which idle ones are removed.
	sweepAt int
}

// accountShare is the use of one account.
type accountShare struct {
	// start is the start tag of the account's next call.
	start  float64
	weight float64
	clock  *fairClock
	// flows holds the account's flows, one for each lane in which it has tickets.
	flows []laneFlow
}

// laneFlow is a flow with its lane.
type laneFlow struct {
	lane *fairLane
	flow *flow
}

func (s *accountShare) addFlow(l *fairLane, f *flow) {
	if len(s.flows) == 0 {
		s.clock.active++
	}
	s.flows = append(s.flows, laneFlow{l, f})
}

func (s *accountShare) removeFlow(f *flow) {
	s.flows = slices.DeleteFunc(s.flows, func(v laneFlow) bool { return v.flow == f })
	if len(s.flows) == 0 {
		s.clock.active--
	}
}

// adopt takes the weights of a new configuration.
func (a *accounts) adopt(set *waxwingseam.Set) {
	if set == a.set || set == nil {
		return
	}
	a.set, a.weights, a.meanWeight = set, nil, 1
	if len(set.ClientAccounts) == 0 {
		return
	}
	a.weights = make(map[waxwingseam.AccountName]float64, len(set.ClientAccounts))
	sum := 0.0
	for i := range set.ClientAccounts {
		v := &set.ClientAccounts[i]
		a.weights[v.Name] = v.ShareWeight()
		sum += v.ShareWeight()
	}
	a.meanWeight = sum / float64(len(set.ClientAccounts))
}

// inUse reports whether the configuration has client accounts.
func (a *accounts) inUse() bool {
	return len(a.weights) > 0
}

// weight returns the weight of an account. An account that the configuration no longer
// has, and calls without an account, have the mean weight.
func (a *accounts) weight(name waxwingseam.AccountName) float64 {
	if w, ok := a.weights[name]; ok && name != "" {
		return w
	}
	return max(a.meanWeight, minCost)
}

func (a *accounts) clock(t *waxwingseam.Ticket) *fairClock {
	importance, _ := laneIndices(t)
	return &a.clocks[importance][side(t.Depth)]
}

// share returns the share of a ticket's account. An account that was idle starts at the
// current virtual time.
func (a *accounts) share(t *waxwingseam.Ticket) *accountShare {
	c := a.clock(t)
	s, ok := c.shares[t.Account]
	if !ok {
		c.sweep()
		s = &accountShare{start: c.now, clock: c}
		if c.shares == nil {
			c.shares = map[waxwingseam.AccountName]*accountShare{}
		}
		c.shares[t.Account] = s
	}
	if len(s.flows) == 0 {
		s.start = max(s.start, c.now)
		s.weight = a.weight(t.Account)
	}
	return s
}

// sweep removes the shares of idle accounts once their number has doubled: they would
// start at the current virtual time again.
func (c *fairClock) sweep() {
	if len(c.shares) < max(c.sweepAt, minSweep) {
		return
	}
	for name, s := range c.shares {
		if len(s.flows) == 0 && s.start <= c.now {
			delete(c.shares, name)
		}
	}
	c.sweepAt = 2 * len(c.shares)
}

// charge advances the virtual time for a ticket that starts, by the slot time that it is
// expected to need.
func (a *accounts) charge(t *waxwingseam.Ticket, cost time.Duration) {
	if !a.inUse() {
		return
	}
	s, c := a.share(t), a.clock(t)
	c.now = max(c.now, s.start)
	s.start += max(cost.Seconds(), minCost) / s.weight
	if c.active == 0 {
		// Nothing waits, so that no account has taken another one's turn.
		c.now = s.start
	}
	for _, v := range s.flows {
		v.lane.fix(v.flow)
	}
}

// tagsDiffer compares the start tags of two waiting tickets of one importance and side:
// before is set if a's account is served first.
func tagsDiffer(a, b *queuedTicket) (before, differ bool) {
	return a.share.start < b.share.start, a.share.start != b.share.start
}
