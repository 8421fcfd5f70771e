package arbiter

import (
	"waxwingseam.example/waxwingseam"
)

// leaving is the state of a node that hands over its claims before it leaves the
// view.
type leaving struct {
	// received holds the members that have received all claims.
	received map[waxwingseam.ServerIncarnation]bool
	// handedOver is set once a quorum of the other members has received all
	// claims.
	handedOver bool
}

// drain makes the node stop granting claims and hand its claims over. When the
// drain is undone, the node joins again.
func (a *arbiter) drain(c *waxwingseam.Context, undo bool) {
	switch {
	case c.Self.Name == "":
	case undo && a.leaving != nil:
		a.leaving = nil
		a.undoneDrains++
		a.joining = newJoining(c.Now)
		a.joining.serversReceived = true
	case !undo && a.leaving == nil:
		a.leaving = &leaving{received: map[waxwingseam.ServerIncarnation]bool{}}
		a.joining = nil
		a.ready = false
		a.sendHandovers(c)
	}
}

// sendHandovers sends the claims to the members that have not received them all.
func (a *arbiter) sendHandovers(c *waxwingseam.Context) {
	if a.leaving.handedOver {
		return
	}
	for _, si := range a.view.members {
		if peer, ok := a.peers[si.Name]; ok && !a.leaving.received[si] {
			a.sendClaims(c, peer, 0)
		}
	}
}

// sendClaims sends a member a page of claims from an index on.
func (a *arbiter) sendClaims(c *waxwingseam.Context, to waxwingseam.Server, index uint64) {
	list, next := a.claims.page(c.Now, index)
	a.ask(c, to, waxwingseam.WitnessMessage{
		Request: waxwingseam.RequestHandover,
		Claims:  list,
		Index:   next,
	})
}

// handoverAnswered handles a member's answer to a handover; it ignores answers
// to a RequestLeave. Once a quorum of the other members has received all
// claims, the node asks all of them to remove it.
func (a *arbiter) handoverAnswered(c *waxwingseam.Context, e waxwingseam.WitnessAnswered) {
	if a.leaving == nil || a.leaving.handedOver || e.Answer.Verdict != waxwingseam.WitnessGranted {
		return
	}
	if e.Message.Request != waxwingseam.RequestHandover {
		return
	}
	if peer, ok := a.peers[e.To]; ok && e.Message.Index != 0 {
		a.sendClaims(c, peer, e.Message.Index)
		return
	}
	a.leaving.received[e.Answer.From] = true
	received := 0
	staying := 0
	for _, si := range a.view.members {
		if si.Name == c.Self.Name {
			continue
		}
		staying++
		if a.leaving.received[si] {
			received++
		}
	}
	if received < staying/2+1 {
		return
	}
	a.leaving.handedOver = true
	a.askMembers(c, waxwingseam.WitnessMessage{Request: waxwingseam.RequestLeave})
}
