// Package budgeter keeps the repeated calls that a service gets within the
// deployment's retry budget, at the nodes that receive them.
package budgeter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// ownShare is the part of the budget that the known servers of a service share
// out: the rest covers servers that a node has not learned of yet.
const ownShare = 0.75

// Config holds the settings of a gate.
type Config struct {
	Budget waxwingseam.RetryBudget
}

type budgeter struct {
	budget waxwingseam.RetryBudget
	counts window
	// services holds the service of each known backend server.
	services map[waxwingseam.ServerName]waxwingseam.ServiceName
}

// New returns a gate that knows no other servers.
func New(config Config) waxwingseam.RetryGate {
	return &budgeter{
		budget:   config.Budget,
		services: map[waxwingseam.ServerName]waxwingseam.ServiceName{},
	}
}

// UpdateServers implements waxwingseam.RetryGate.
func (b *budgeter) UpdateServers(servers []waxwingseam.Server, gone []waxwingseam.ServerName) {
	for _, s := range servers {
		b.services[s.Name] = s.Service
	}
	for _, name := range gone {
		delete(b.services, name)
	}
}

// Admit implements waxwingseam.RetryGate. Load pattern: servers that crash, cut
// connections or fail a share of their requests while many nodes call them.
// Each server's node hands out its own part of the slack and the ratio of the
// roots that it received, so that all keep the bound without a message.
func (b *budgeter) Admit(c *waxwingseam.Context, call waxwingseam.Call) bool {
	if b.budget.Window <= 0 {
		return true
	}
	now := b.counts.at(c.Now, b.budget.Window)
	if !call.Repeated {
		if call.Depth == 0 {
			now.roots++
		}
		return true
	}
	roots, repeats := b.counts.sums(c.Now, b.budget.Window)
	slack := float64(b.budget.Slack) / float64(b.servers(c.Self))
	if float64(repeats+1) > ownShare*(slack+b.budget.Ratio*float64(roots)) {
		return false
	}
	now.repeats++
	return true
}

// servers counts the known backend servers of the node's own service, its own
// among them.
func (b *budgeter) servers(self waxwingseam.Server) int {
	n := 1
	for name, service := range b.services {
		if service == self.Service && name != self.Name {
			n++
		}
	}
	return n
}

// windowParts is how finely a window slides: the part that it leaves is counted
// whole, which errs by a tenth towards fewer repeats.
const windowParts = 10

// part is what was counted in one part of a window.
type part struct {
	number  int64
	roots   int
	repeats int
}

// window counts roots and repeated calls in a sliding time.
type window struct {
	parts [windowParts + 1]part
}

// at returns the part of a time, emptied if it last stood for an earlier one.
func (w *window) at(now time.Time, length time.Duration) *part {
	number := now.UnixNano() / max(int64(length)/windowParts, 1)
	p := &w.parts[int(number%int64(len(w.parts)))]
	if p.number != number {
		*p = part{number: number}
	}
	return p
}

// sums returns what the window that ends now has counted.
func (w *window) sums(now time.Time, length time.Duration) (roots, repeats int) {
	number := w.at(now, length).number
	for _, p := range w.parts {
		if p.number > number-int64(len(w.parts)) && p.number <= number {
			roots += p.roots
			repeats += p.repeats
		}
	}
	return roots, repeats
}
