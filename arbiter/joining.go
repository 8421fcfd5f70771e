package arbiter

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// joining is the state of a node that joins the view of its service and copies
// the recorded claims.
type joining struct {
	since time.Time
	// serversReceived is set once the node has received a list of servers.
	serversReceived bool
	// received holds the members that have sent all their claims.
	received map[waxwingseam.ServerIncarnation]bool
	// wasMember is set when an earlier incarnation of the node was a member.
	wasMember bool
	// alsoJoining holds the members that are joining as well.
	alsoJoining map[waxwingseam.ServerIncarnation]bool
	// nonWitnesses holds the nodes that refused the join because they are not
	// witnesses.
	nonWitnesses map[waxwingseam.ServerName]bool
}

func newJoining(now time.Time) *joining {
	return &joining{
		since:        now,
		received:     map[waxwingseam.ServerIncarnation]bool{},
		alsoJoining:  map[waxwingseam.ServerIncarnation]bool{},
		nonWitnesses: map[waxwingseam.ServerName]bool{},
	}
}

// join requests the claims of the other nodes of the service. The node founds the
// view instead if there is none, and finishes the join without the claims once all
// of them have expired.
func (a *arbiter) join(c *waxwingseam.Context) {
	if a.waitedKeyRetention(c) && a.view.contains(a.self(c)) {
		a.finishJoin(c)
		return
	}
	if a.mayFound(c) {
		a.proposeFounding(c)
		return
	}
	for _, peer := range a.sortedPeers() {
		if !a.receivedFrom(peer) {
			a.ask(c, peer, waxwingseam.WitnessMessage{Request: waxwingseam.RequestJoin})
		}
	}
}

// mayFound reports whether the node may found the view: it knows the servers,
// has waited FoundingDelay and has no view, every other server has answered
// that it is no witness, and this node's name is the first in order.
func (a *arbiter) mayFound(c *waxwingseam.Context) bool {
	j := a.joining
	if !j.serversReceived || c.Now.Sub(j.since) < a.config.FoundingDelay || len(a.view.members) > 0 {
		return false
	}
	for name := range a.peers {
		if !j.nonWitnesses[name] || name < c.Self.Name {
			return false
		}
	}
	return true
}

// proposeFounding founds the view if the claims of any earlier view have expired.
// Otherwise it asks for a grant, which only the first founder of a service receives.
func (a *arbiter) proposeFounding(c *waxwingseam.Context) {
	if a.waitedKeyRetention(c) {
		a.foundView(c)
		return
	}
	c.Emit(waxwingseam.AskFounding{
		Service:     c.Self.Service,
		Incarnation: a.self(c),
	})
}

// foundView makes the node the first member of the view.
func (a *arbiter) foundView(c *waxwingseam.Context) {
	if a.joining == nil || len(a.view.members) > 0 {
		return
	}
	a.view.add(a.self(c))
	a.finishJoin(c)
}

// waitedKeyRetention reports whether the node has been joining, and has granted
// nothing, for so long that every claim that it granted earlier has expired.
func (a *arbiter) waitedKeyRetention(c *waxwingseam.Context) bool {
	return c.Now.Sub(a.joining.since) >= a.config.KeyRetention
}

// joinAnswered handles the answer to a join request and records the member's
// claims.
func (a *arbiter) joinAnswered(c *waxwingseam.Context, e waxwingseam.WitnessAnswered) {
	if e.Answer.Verdict == waxwingseam.WitnessJoining {
		a.view.merge(e.Answer.View)
		if a.joining != nil {
			a.joining.alsoJoining[e.Answer.From] = true
			a.finishJoinIfReceived(c)
		}
		return
	}
	if e.Answer.Verdict != waxwingseam.WitnessGranted {
		if a.joining != nil {
			a.joining.nonWitnesses[e.To] = true
		}
		return
	}
	a.mergeAnswer(c, e.Answer)
	if e.Answer.Next != 0 {
		if peer, ok := a.peers[e.To]; ok {
			a.ask(c, peer, waxwingseam.WitnessMessage{
				Request: waxwingseam.RequestJoin,
				Index:   e.Answer.Next,
			})
		}
		return
	}
	if a.joining != nil {
		delete(a.joining.alsoJoining, e.Answer.From)
		a.joining.received[e.Answer.From] = true
		a.finishJoinIfReceived(c)
	}
}

// finishJoinIfReceived makes the node a witness once it has the claims of
// enough members, and of at least one.
func (a *arbiter) finishJoinIfReceived(c *waxwingseam.Context) {
	if len(a.joining.received) > 0 && a.receivedEnough(c) {
		a.finishJoin(c)
	}
}

func (a *arbiter) mergeAnswer(c *waxwingseam.Context, answer waxwingseam.WitnessAnswer) {
	for _, si := range answer.View.Removed {
		if si.Name == c.Self.Name && a.joining != nil {
			a.joining.wasMember = true
		}
	}
	a.view.merge(answer.View)
	a.recordAll(c, answer.Claims)
}

// receivedEnough reports whether the node has the claims of a majority of the
// members that may have granted any, counting its own earlier incarnation, or
// the claims of all the others. It then lacks no claim that has a quorum, and
// knows any node that joined through a majority.
func (a *arbiter) receivedEnough(c *waxwingseam.Context) bool {
	others := 0
	received := 0
	for _, si := range a.view.members {
		if si.Name == c.Self.Name || a.grantedNothing(si) {
			continue
		}
		others++
		if a.joining.received[si] {
			received++
		}
	}
	before := others
	if a.joining.wasMember {
		before++
	}
	return received >= min(before/2+1, others)
}

// grantedNothing reports whether a member is joining and is the first incarnation
// of its node, so that no claim depends on its grant.
func (a *arbiter) grantedNothing(si waxwingseam.ServerIncarnation) bool {
	earlier := func(r waxwingseam.ServerIncarnation) bool { return r.Name == si.Name }
	return a.joining.alsoJoining[si] && !slices.ContainsFunc(a.view.removed, earlier)
}

// finishJoin makes the node a witness and requests the waiting claims.
func (a *arbiter) finishJoin(c *waxwingseam.Context) {
	a.joining = nil
	a.ready = true
	for _, p := range a.sortedPending() {
		a.requestGrants(c, p)
	}
}

// joinNonMembers sends join requests to the nodes of the service that are not in
// this node's view, so that views that were founded separately are merged.
func (a *arbiter) joinNonMembers(c *waxwingseam.Context) {
	for _, peer := range a.sortedPeers() {
		if !a.isMember(peer) && !peer.Leaving {
			a.ask(c, peer, waxwingseam.WitnessMessage{Request: waxwingseam.RequestJoin})
		}
	}
}

// isMember reports whether a server's incarnation is a member, in any term.
func (a *arbiter) isMember(s waxwingseam.Server) bool {
	return slices.ContainsFunc(a.view.members, incarnationOf(s).EqualIgnoringTerm)
}

// receivedFrom reports whether a server has sent all its claims.
func (a *arbiter) receivedFrom(s waxwingseam.Server) bool {
	for si := range a.joining.received {
		if si.EqualIgnoringTerm(incarnationOf(s)) {
			return true
		}
	}
	return false
}
