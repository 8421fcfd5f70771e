package arbiter

import (
	"waxwingseam.example/waxwingseam"
)

// leaving is a node's handing over of its claims before it stops counting.
type leaving struct {
	// holds are the members that have all the claims.
	holds map[waxwingseam.ServerIncarnation]bool
	// handed is set once a quorum has them.
	handed bool
}

// drain stops the node's granting and hands its claims over; undone, the node
// joins again.
func (a *arbiter) drain(c *waxwingseam.Context, undo bool) {
	switch {
	case c.Self.Name == "":
	case undo && a.leaving != nil:
		a.leaving = nil
		a.term++
		a.joining = newJoining(c.Now)
		a.joining.learned = true
	case !undo && a.leaving == nil:
		a.leaving = &leaving{holds: map[waxwingseam.ServerIncarnation]bool{}}
		a.joining = nil
		a.ready = false
		a.pushHandover(c)
	}
}

// pushHandover sends the claims to the members that lack them.
func (a *arbiter) pushHandover(c *waxwingseam.Context) {
	if a.leaving.handed {
		return
	}
	for _, l := range a.view.members {
		if peer, ok := a.peers[l.Name]; ok && !a.leaving.holds[l] {
			a.handOver(c, peer, 0)
		}
	}
}

// handOver sends a member the claims from an index on.
func (a *arbiter) handOver(c *waxwingseam.Context, to waxwingseam.Server, index uint64) {
	list, next := a.claims.page(c.Now, index)
	a.ask(c, to, waxwingseam.WitnessMessage{
		Request: waxwingseam.RequestHandover,
		Claims:  list,
		Index:   next,
	})
}

// leaveAnswered counts the members that hold the claims; once a quorum of
// those that stay does, all are told that this node counts no more.
func (a *arbiter) leaveAnswered(c *waxwingseam.Context, e waxwingseam.WitnessAnswered) {
	if a.leaving == nil || a.leaving.handed || e.Answer.Verdict != waxwingseam.WitnessGranted {
		return
	}
	if e.Message.Request != waxwingseam.RequestHandover {
		return
	}
	if peer, ok := a.peers[e.To]; ok && e.Message.Index != 0 {
		a.handOver(c, peer, e.Message.Index)
		return
	}
	a.leaving.holds[e.Answer.From] = true
	held := 0
	stay := 0
	for _, l := range a.view.members {
		if l.Name == c.Self.Name {
			continue
		}
		stay++
		if a.leaving.holds[l] {
			held++
		}
	}
	if held < stay/2+1 {
		return
	}
	a.leaving.handed = true
	a.askMembers(c, waxwingseam.WitnessMessage{Request: waxwingseam.RequestLeave})
}
