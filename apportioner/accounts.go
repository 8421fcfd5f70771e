package apportioner

import (
	"math"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// accountShortTime and accountLongTime are the times in which the weight of a call
	// falls to 1/e in the demand of an account: the long one as far as fewer than
	// enoughAccountCalls arrive in the short one.
	accountShortTime   = time.Second
	accountLongTime    = 5 * time.Second
	enoughAccountCalls = 40
	// maxTrend bounds by how much the accounts with few calls count more or less than
	// their calls in accountLongTime say.
	maxTrend = 5
	// accountLifetime is how long an account is remembered after its last call.
	accountLifetime = 30 * time.Second
	// fewCalls is how many calls a server has had at most, within accountLongTime, of an
	// account of which it knows little, and priorCalls for how many calls the mean of
	// these accounts counts in the demand of each: most accounts send few calls to a
	// server, and chance must not count as excess.
	fewCalls   = 10
	priorCalls = 2
	// cautiousAccountDeviations is how many standard deviations are left off the demand of
	// an account at the fair level; none are at farAbove times the level.
	cautiousAccountDeviations = 1.0
	farAbove                  = 3
	// levelCorrection is the part of a step by Newton's method by which the level is
	// lowered for that, and maxLevelCorrection bounds it. A whole step refuses too much, as
	// lower levels refuse accounts that were not refused before.
	levelCorrection    = 0.6
	maxLevelCorrection = 1.5
	// accountsInterval is the minimum time between two computations of the level, and
	// accountsIntervalEach the time for each account, so that 10,000 accounts take less
	// than a hundredth of a core.
	accountsInterval     = 20 * time.Millisecond
	accountsIntervalEach = 20 * time.Microsecond
	// cutLifetime is how long an account is still named in answers after it was last cut,
	// so that first nodes learn that it is not.
	cutLifetime = 2 * time.Second
	// refineDeviations is how many standard deviations the demand of all accounts may
	// differ from the estimate over a short time.
	refineDeviations = 2
	// maxLevelSteps bounds the steps to the fair level. Each but the last one leaves out
	// an account, and few are needed.
	maxLevelSteps = 50
)

// account is the demand of one client account for the slots of the server.
type account struct {
	name   waxwingseam.AccountName
	tag    waxwingseam.AccountTag
	weight float64
	called time.Time
	short  decayingSum
	long   decayingSum
	// rate is the demand as of the last computation, in slot time per second, and calls
	// the number of calls that it is known from.
	rate  float64
	calls float64
	// ratio is the expected demand for each unit of weight.
	ratio   float64
	refused float64
	cutAt   time.Time
}

// fresh returns the part of the account's demand that is known from accountShortTime.
func (v *account) fresh() float64 {
	return min(v.short.count/enoughAccountCalls, 1)
}

// estimate computes the demand of the account from its own calls. The trend is by how
// much the demand of accounts with few calls is larger than in accountLongTime. It returns
// the standard deviation.
func (v *account) estimate(trend float64) float64 {
	share := v.fresh()
	short, long := share/accountShortTime.Seconds(), (1-share)*trend/accountLongTime.Seconds()
	v.rate = short*v.short.sum + long*v.long.sum
	v.calls = share*v.short.count + (1-share)*v.long.count
	return short*math.Sqrt(v.short.squares/2) + long*math.Sqrt(v.long.squares/2)
}

// accounts divides the share of the roots of one importance that is refused over the
// client accounts: accounts below the fair level are refused nothing, and the others what
// exceeds it (max-min fairness by water filling).
type accounts struct {
	byName map[waxwingseam.AccountName]*account
	// list has the same accounts, in the order of their first calls.
	list     []*account
	computed time.Time
	// total is the demand of all accounts, and prior the mean for each unit of weight of
	// those with few calls.
	total, variance float64
	prior           float64
	others          float64
	// cut lists the accounts to name in answers, and turn counts those named.
	cut  []*account
	turn int
}

// offer records the first call of a root.
func (a *accounts) offer(now time.Time, d *waxwingseam.Demand, use, weight float64) {
	v, ok := a.byName[d.Account]
	if !ok {
		if a.byName == nil {
			a.byName = map[waxwingseam.AccountName]*account{}
		}
		v = &account{name: d.Account, tag: d.Account.Tag()}
		a.byName[d.Account] = v
		a.list = append(a.list, v)
	}
	v.weight, v.called = d.AccountWeight, now
	v.short.add(now, accountShortTime, use*weight)
	v.long.add(now, accountLongTime, use*weight)
}

// trend returns by how much the demand of the accounts with few calls is larger now than
// over accountLongTime, as these accounts can't tell it by themselves.
func (a *accounts) trend() float64 {
	var short, long float64
	for _, v := range a.list {
		few := fewCalls / (fewCalls + v.long.count)
		short += few * few * v.short.sum
		long += few * few * v.long.sum
	}
	if long == 0 {
		return 1
	}
	ratio := short / long * accountLongTime.Seconds() / accountShortTime.Seconds()
	return min(max(ratio, 1.0/maxTrend), maxTrend)
}

// estimate computes the demand of the accounts, and reports whether it did.
func (a *accounts) estimate(now time.Time) bool {
	if len(a.list) == 0 || now.Sub(a.computed) < max(accountsInterval, time.Duration(len(a.list))*accountsIntervalEach) {
		return false
	}
	a.computed = now
	a.forget(now)
	for _, v := range a.list {
		v.short.decay(now, accountShortTime)
		v.long.decay(now, accountLongTime)
	}
	trend := a.trend()
	a.total, a.variance = 0, 0
	for _, v := range a.list {
		deviation := v.estimate(trend)
		a.total += v.rate
		a.variance += deviation * deviation
	}
	a.prior = a.expect()
	return true
}

// refine returns a better estimate of the demand of all accounts than the given one, in
// which the calls of accounts of which most are refused weigh so much that it is mostly
// chance. The given one bounds the other, which is known later.
func (a *accounts) refine(rate, deviation float64) (float64, float64) {
	if len(a.list) == 0 {
		return rate, deviation
	}
	total := min(max(a.total, rate-refineDeviations*deviation), rate+refineDeviations*deviation)
	return total, min(math.Sqrt(a.variance), deviation)
}

// apportion computes the shares of the accounts so that a share of all of their demand
// together is refused.
func (a *accounts) apportion(now time.Time, refused float64) {
	level := a.level(a.total, refused*a.total)
	level = a.lower(level, refused*a.total)
	a.others = refusedAbove(level, a.prior)
	a.cut = a.cut[:0]
	for _, v := range a.list {
		v.refused = 0
		if refused > 0 {
			v.refused = v.cautious(level)
		}
		if v.refused > 0 {
			v.cutAt = now
		}
		if now.Sub(v.cutAt) < cutLifetime {
			a.cut = append(a.cut, v)
		}
	}
}

// lower returns a level for shares with caution, which refuse less than the given one does
// without.
func (a *accounts) lower(level, refused float64) float64 {
	slope := 0.0
	if level == 0 {
		return 0
	}
	for _, v := range a.list {
		if share := v.cautious(level); share > 0 {
			refused -= v.rate * share
			slope += v.rate / v.ratio
		}
	}
	if slope == 0 || refused <= 0 {
		return level
	}
	return max(level-levelCorrection*refused/slope, level/maxLevelCorrection)
}

// cautious returns the share to refuse of the account at a level. Near the level, demand
// that varies by chance would be refused more often than its mean says.
func (v *account) cautious(level float64) float64 {
	near := min(max((farAbove-v.ratio/level)/(farAbove-1), 0), 1)
	caution := near * cautiousAccountDeviations * math.Sqrt(v.calls/2) / (v.calls + priorCalls)
	return refusedAbove(level, v.ratio*(1-caution))
}

// refusedAbove returns the share to refuse of a demand for each unit of weight.
func refusedAbove(level, ratio float64) float64 {
	if ratio <= level {
		return 0
	}
	return min(1-level/ratio, maxRefused)
}

// expect computes the expected demand of each account for each unit of weight: the mean
// of its own calls and of priorCalls calls at the mean of the accounts with few calls
// (empirical Bayes). It returns that mean.
func (a *accounts) expect() float64 {
	var rate, weight float64
	for _, v := range a.list {
		few := fewCalls / (fewCalls + v.calls)
		rate += few * few * v.rate
		weight += few * few * v.weight
	}
	prior := 0.0
	if weight > 0 {
		prior = rate / weight
	}
	for _, v := range a.list {
		own := v.rate / v.weight
		if prior == 0 {
			v.ratio = own
			continue
		}
		v.ratio = (v.calls*own + priorCalls*prior) / (v.calls + priorCalls)
	}
	return prior
}

// forget removes the accounts that have not called for a time.
func (a *accounts) forget(now time.Time) {
	a.list = slices.DeleteFunc(a.list, func(v *account) bool {
		idle := now.Sub(v.called) >= accountLifetime
		if idle {
			delete(a.byName, v.name)
		}
		return idle
	})
}

// level returns the demand for each unit of weight up to which accounts are not refused,
// so that a part of the total demand is refused. The part that a level refuses is convex
// in the level, so that Newton's method rises to it.
func (a *accounts) level(total, refused float64) float64 {
	level, sum, slope := 0.0, total, 0.0
	for _, v := range a.list {
		if v.ratio > 0 {
			slope += v.rate / v.ratio
		}
	}
	for range maxLevelSteps {
		if slope == 0 {
			return level
		}
		next := (sum - refused) / slope
		if next <= level {
			return level
		}
		level, sum, slope = next, 0, 0
		for _, v := range a.list {
			if v.ratio > level {
				sum += v.rate
				slope += v.rate / v.ratio
			}
		}
	}
	return level
}

// shares returns the share of an account, and what to say of others in the same answer.
func (a *accounts) shares(name waxwingseam.AccountName, refused float64) (waxwingseam.Permille, waxwingseam.AccountShares) {
	out := waxwingseam.AccountShares{Others: waxwingseam.PermilleOf(min(a.others, refused))}
	for i := range min(len(a.cut), len(out.Cut)) {
		a.turn++
		v := a.cut[a.turn%len(a.cut)]
		out.Cut[i] = waxwingseam.AccountShare{Account: v.tag}
		if refused > 0 {
			out.Cut[i].Refused = waxwingseam.PermilleOf(v.refused)
		}
	}
	v, ok := a.byName[name]
	switch {
	case refused == 0:
		return 0, out
	case !ok || a.computed.IsZero():
		return waxwingseam.PermilleOf(refused), out
	}
	return waxwingseam.PermilleOf(v.refused), out
}
