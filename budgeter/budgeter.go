// Package budgeter limits the repeated calls to a service to the deployment's
// retry budget, at the nodes that receive them.
package budgeter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// knownServersShare is the part of the budget that is divided among the known
// servers of a service. The rest covers servers that have not been announced to
// the node yet.
const knownServersShare = 0.75

// Config holds the settings of a gate.
type Config struct {
	Budget waxwingseam.RetryBudget
	// AwaitHistory is set if earlier processes of the node may have spent a part of the
	// budget. The gate then admits only what roots have earned until Recover is called.
	AwaitHistory bool
}

type budgeter struct {
	budget waxwingseam.RetryBudget
	counts window
	order  order
	// services maps each known backend server to its service.
	services map[waxwingseam.ServerName]waxwingseam.ServiceName
	// left are the times until which servers that were removed still have a part.
	left map[waxwingseam.ServerName]time.Time
	past past
}

// New returns a gate without other servers; UpdateServers adds them.
func New(config Config) waxwingseam.RetryGate {
	return &budgeter{
		budget:   config.Budget,
		services: map[waxwingseam.ServerName]waxwingseam.ServiceName{},
		left:     map[waxwingseam.ServerName]time.Time{},
		past:     past{awaited: config.AwaitHistory},
	}
}

// UpdateServers implements waxwingseam.RetryGate. A server that is removed may have spent its
// part, which the others do not get within the window.
func (b *budgeter) UpdateServers(c *waxwingseam.Context, servers []waxwingseam.Server, gone []waxwingseam.ServerName) {
	for _, s := range servers {
		b.services[s.Name] = s.Service
		delete(b.left, s.Name)
	}
	for _, name := range gone {
		if b.services[name] == c.Self.Service && name != c.Self.Name {
			b.left[name] = c.Now.Add(b.memory())
		}
		delete(b.services, name)
	}
}

// memory is the time for which a repeated call counts: the window, and a part of it that is
// leaving and is counted in full.
func (b *budgeter) memory() time.Duration {
	return b.budget.Window + b.budget.Window/windowParts
}

// Admit implements waxwingseam.RetryGate. It limits the repeated calls that
// arise when servers crash, close connections or fail a share of their requests
// while many nodes call them. Each receiving node admits repeated calls up to
// knownServersShare of the sum of its part of the slack and Ratio times the
// roots that it received itself. While the backend server refuses a
// share of all calls, the repeats go to the same roots at every hop. All nodes together thus stay within the bound
// without exchanging messages.
func (b *budgeter) Admit(c *waxwingseam.Context, call waxwingseam.Call) bool {
	if b.budget.Window <= 0 {
		return true
	}
	now := b.counts.currentPart(c.Now, b.budget.Window)
	if !call.Repeated {
		if call.Depth == 0 || b.budget.CountCalls {
			now.roots++
		}
		return true
	}
	roots, repeats := b.counts.sums(c.Now, b.budget.Window)
	earned := knownServersShare * b.budget.Ratio * float64(roots)
	left := b.slack(c) + earned - float64(repeats)
	if !b.order.admits(c.Now, call.Rank, left, b.budget.Window) || left < 1 {
		return false
	}
	now.repeats++
	b.stateUse(c, float64(repeats+1)-earned)
	return true
}

// slack returns the node's part of the slack, without what its earlier processes have spent.
func (b *budgeter) slack(c *waxwingseam.Context) float64 {
	if b.past.isUnknown(c.Now) {
		return 0
	}
	part := knownServersShare * float64(b.budget.Slack) / float64(b.countServers(c))
	return max(part-float64(b.past.spent(c.Now)), 0)
}

// ObserveRun implements waxwingseam.RetryGate.
func (b *budgeter) ObserveRun(c *waxwingseam.Context, refused bool) {
	b.order.observeRun(c.Now, refused)
}

// Refund implements waxwingseam.RetryGate.
func (b *budgeter) Refund(c *waxwingseam.Context, call waxwingseam.Call) {
	if b.budget.Window <= 0 || !call.Repeated {
		return
	}
	b.counts.removeRepeat(c.Now, b.budget.Window)
}

// countServers returns the number of known backend servers of the node's
// service, including its own and those that were removed within the window.
func (b *budgeter) countServers(c *waxwingseam.Context) int {
	n := 1
	for name, service := range b.services {
		if service == c.Self.Service && name != c.Self.Name {
			n++
		}
	}
	for name, until := range b.left {
		if !c.Now.Before(until) {
			delete(b.left, name)
			continue
		}
		n++
	}
	return n + b.past.countLeft(c.Now)
}

// windowParts is the number of parts into which a window is divided. The part
// that is leaving the window is counted in full, so the sums cover up to a tenth
// more time than the window.
const windowParts = 10

// part holds the counts of one part of a window.
type part struct {
	// number is the index of the part since the Unix epoch.
	number  int64
	roots   int
	repeats int
}

// window counts roots and repeated calls over a sliding period.
type window struct {
	parts [windowParts + 1]part
}

// currentPart returns the part for the given time, cleared if it held the
// counts of another period.
func (w *window) currentPart(now time.Time, length time.Duration) *part {
	number := now.UnixNano() / max(int64(length)/windowParts, 1)
	p := &w.parts[int(number%int64(len(w.parts)))]
	if p.number != number {
		*p = part{number: number}
	}
	return p
}

// removeRepeat removes one repeated call from the newest part that has one.
func (w *window) removeRepeat(now time.Time, length time.Duration) {
	newest := w.currentPart(now, length)
	for i := range w.parts {
		p := &w.parts[i]
		if p.repeats > 0 && (newest.repeats == 0 || p.number > newest.number) {
			newest = p
		}
	}
	newest.repeats = max(newest.repeats-1, 0)
}

// sums returns the counts of the window that ends now.
func (w *window) sums(now time.Time, length time.Duration) (roots, repeats int) {
	number := w.currentPart(now, length).number
	for _, p := range w.parts {
		if p.number > number-int64(len(w.parts)) && p.number <= number {
			roots += p.roots
			repeats += p.repeats
		}
	}
	return roots, repeats
}
