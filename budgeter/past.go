package budgeter

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

// past is what is known of the node's earlier processes, and what the node has stated of its
// own use.
type past struct {
	// awaited is set until the history was received. Until unknownUntil, earlier processes
	// may have spent more than it says.
	awaited      bool
	unknownUntil time.Time
	// repeats were spent by earlier processes, and count until repeatsUntil.
	repeats      int
	repeatsUntil time.Time
	// left are the times until which servers that were removed before the start count.
	left []time.Time
	// stated is the use that was stated last, at statedAt.
	stated   int
	statedAt time.Time
}

func (p *past) isUnknown(now time.Time) bool {
	return p.awaited || now.Before(p.unknownUntil)
}

func (p *past) spent(now time.Time) int {
	if !now.Before(p.repeatsUntil) {
		return 0
	}
	return p.repeats
}

func (p *past) countLeft(now time.Time) int {
	n := 0
	for _, until := range p.left {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// Recover implements waxwingseam.RetryGate. Several histories may arrive, from several sources:
// the longest that is covered decides until when the past is unknown, and the greatest use
// counts.
func (b *budgeter) Recover(c *waxwingseam.Context, h waxwingseam.RetryHistory) {
	until := func(age time.Duration) time.Time { return c.Now.Add(b.memory() - age) }
	p := &b.past
	if known := until(h.Covered); p.awaited || known.Before(p.unknownUntil) {
		p.unknownUntil = known
	}
	p.awaited = false
	if counts := until(h.Use.Age); h.Use.Repeats > 0 && c.Now.Before(counts) {
		p.repeats = max(p.spent(c.Now), h.Use.Repeats)
		if counts.After(p.repeatsUntil) {
			p.repeatsUntil = counts
		}
	}
	p.left = p.left[:0]
	for _, age := range h.Left {
		p.left = append(p.left, until(age))
	}
}

// stateUse states the repeated calls of the window that roots did not earn, those of earlier
// processes included. It does so when they have become more, and otherwise once for each part
// of the window in which there are any.
func (b *budgeter) stateUse(c *waxwingseam.Context, unearned float64) {
	use := b.past.spent(c.Now) + int(math.Ceil(max(unearned, 0)))
	p := &b.past
	stale := c.Now.Sub(p.statedAt) >= b.budget.Window/windowParts
	if use == 0 || use <= p.stated && !stale {
		return
	}
	p.stated, p.statedAt = use, c.Now
	c.Emit(waxwingseam.RetryBudgetUsed{Repeats: use})
}
