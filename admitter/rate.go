package admitter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// maxImpatientWait bounds how long a call that other servers can take waits for the
// rate limit.
const maxImpatientWait = 10 * time.Millisecond

// rateBound reports whether the rate limit keeps the next waiting ticket from
// starting, although a slot is free.
func (a *admitter) rateBound() bool {
	return a.runs.len() < a.limiter.Limit() && a.pacer.Delay(a.now, 1) > 0
}

// exceedsRate reports whether the rate limit keeps a ticket waiting for longer than
// it may wait, behind the waiting tickets of at least its importance.
func (a *admitter) exceedsRate(t *waxwingseam.Ticket) bool {
	if !a.pacer.Limited() {
		return false
	}
	importance, _ := laneIndices(t)
	ahead := 0
	for _, n := range a.queue.byImportance[importance:] {
		ahead += n
	}
	latest := a.expiryTime(t)
	if soon := t.Arrived.Add(maxImpatientWait); !t.Patient && soon.Before(latest) {
		latest = soon
	}
	return a.now.Add(a.pacer.Delay(a.now, ahead+1)).After(latest)
}
