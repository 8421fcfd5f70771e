// Package apportioner computes which share of the demand for one backend server has
// to be refused at the first nodes of roots.
package apportioner

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// updateInterval is the minimum time between two computations of the shares.
	updateInterval = 10 * time.Millisecond
	// maxRefused is the largest share of roots to refuse.
	maxRefused = 0.99
	// minStated is the smallest share that is stated while none is. The queue bears
	// smaller ones, most of which come from chance.
	minStated = 0.07
	// maxWeight bounds for how many calls one call stands.
	maxWeight = 50
	// classLifetime is how long a class is remembered, at least, after its last call or
	// run.
	classLifetime = 10 * time.Minute
	levels        = int(waxwingseam.MaxImportance) + 1
)

// Config holds the settings of an apportioner; there are none.
type Config struct{}

// apportioner keeps the shares of two resources: the slots of the backend server, and
// the processor time of its node.
type apportioner struct {
	slots      int
	runTimes   runTimes
	roots      roots
	processor  processor
	slotTime   resource
	processing resource
	refused    [levels]float64
	accounts   [levels]accounts
	updated    time.Time
}

// New returns an apportioner with one slot; Configure sets the number of slots.
func New(Config) waxwingseam.Apportioner {
	a := &apportioner{slots: 1, runTimes: newRunTimes(), roots: newRoots()}
	a.slotTime.accounts = &a.accounts
	return a
}

// Configure implements waxwingseam.Apportioner.
func (a *apportioner) Configure(slots int) {
	a.slots = max(slots, 1)
}

// Offer implements waxwingseam.Apportioner.
func (a *apportioner) Offer(now time.Time, d waxwingseam.Demand) {
	a.processor.observe(now, d.Delay)
	calls := a.roots.observe(now, &d)
	if calls == 0 {
		return
	}
	level := level(d.Importance)
	weight := calls * min(1/(1-min(d.Refused.Share(), maxRefused)), maxWeight)
	use := a.runTimes.of(d.Class).Seconds()
	a.slotTime.demands[level].add(now, use, weight)
	a.processing.demands[level].add(now, 1, weight)
	if d.AccountWeight > 0 && !d.Retried {
		a.accounts[level].offer(now, &d, max(use, minUse*minUse), weight)
	}
}

// Finish implements waxwingseam.Apportioner.
func (a *apportioner) Finish(now time.Time, class waxwingseam.ClassName, slotTime time.Duration) {
	a.runTimes.observe(now, class, slotTime)
}

// Refused implements waxwingseam.Apportioner.
func (a *apportioner) Refused(now time.Time, importance waxwingseam.Importance, o waxwingseam.Occupancy) waxwingseam.Permille {
	if now.Sub(a.updated) >= updateInterval {
		a.update(now, o)
	}
	if o.Limited {
		return waxwingseam.ShareUnknown
	}
	return waxwingseam.PermilleOf(a.refused[level(importance)])
}

// RefusedAccount implements waxwingseam.Apportioner.
func (a *apportioner) RefusedAccount(now time.Time, importance waxwingseam.Importance, account waxwingseam.AccountName, o waxwingseam.Occupancy) (waxwingseam.Permille, waxwingseam.AccountShares) {
	total := a.Refused(now, importance, o)
	if total == waxwingseam.ShareUnknown {
		return total, waxwingseam.AccountShares{}
	}
	i := level(importance)
	return a.accounts[i].shares(account, a.refused[i])
}

func (a *apportioner) update(now time.Time, o waxwingseam.Occupancy) {
	a.updated = now
	a.runTimes.observeRunning(now, o.Running)
	slowdown := a.runTimes.slowdown()
	use := float64(o.Running) / float64(a.slots)
	waiting := o.Waiting
	if use < fullShare {
		// The calls do not wait for slots.
		waiting = nil
	}
	var estimated [levels]bool
	for i := range a.accounts {
		estimated[i] = a.accounts[i].estimate(now)
	}
	a.slotTime.apportion(now, supply{
		capacity:   float64(a.slots) / slowdown,
		waiting:    waiting,
		waitingUse: a.runTimes.mean.Seconds(),
		use:        use,
	})
	a.processing.apportion(now, a.processor.supply(now))
	for i := range a.refused {
		share := a.slotTime.refused[i]
		if a.refused[i] == 0 && share < minStated {
			share = 0
		}
		a.refused[i] = max(share, a.processing.refused[i])
		if estimated[i] {
			a.accounts[i].apportion(now, a.refused[i])
		}
	}
}

func level(importance waxwingseam.Importance) int {
	return min(int(importance), levels-1)
}
