package arbiter

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// joining is a node's search for the view of its service, and its taking over
// of the claims.
type joining struct {
	since time.Time
	// learned is set once the node was told of other servers.
	learned bool
	// pulled are the members whose claims are all here.
	pulled map[waxwingseam.ServerIncarnation]bool
	// replaces is set when an earlier life of the node counts.
	replaces bool
	// fresh are the members that join, too, and have granted nothing yet.
	fresh map[waxwingseam.ServerIncarnation]bool
	// strangers are the nodes that answered that they have no view.
	strangers map[waxwingseam.ServerName]bool
}

func newJoining(now time.Time) *joining {
	return &joining{
		since:     now,
		pulled:    map[waxwingseam.ServerIncarnation]bool{},
		fresh:     map[waxwingseam.ServerIncarnation]bool{},
		strangers: map[waxwingseam.ServerName]bool{},
	}
}

// join asks all other nodes of the service for their claims. Where there is no
// view, the node asks to found it.
func (a *arbiter) join(c *waxwingseam.Context) {
	if a.aged(c) && a.view.has(a.self(c)) {
		a.joined(c)
		return
	}
	if a.mayFound(c) {
		a.proposeFounding(c)
		return
	}
	for _, peer := range a.sortedPeers() {
		if !a.pulled(peer) {
			a.ask(c, peer, waxwingseam.WitnessMessage{Request: waxwingseam.RequestJoin})
		}
	}
}

// mayFound reports whether the node is the one to found the view: no node has
// one, and none comes before this one in the order of names.
func (a *arbiter) mayFound(c *waxwingseam.Context) bool {
	j := a.joining
	if !j.learned || c.Now.Sub(j.since) < a.config.Settle || len(a.view.members) > 0 {
		return false
	}
	for name := range a.peers {
		if !j.strangers[name] || name < c.Self.Name {
			return false
		}
	}
	return true
}

// proposeFounding founds the view where all keys of an earlier time have
// ended, and else asks whether there was none.
func (a *arbiter) proposeFounding(c *waxwingseam.Context) {
	if a.aged(c) {
		a.found(c)
		return
	}
	c.Emit(waxwingseam.AskFounding{
		Service:     c.Self.Service,
		Incarnation: a.self(c),
	})
}

// found makes the node the first member of the view.
func (a *arbiter) found(c *waxwingseam.Context) {
	if a.joining == nil || len(a.view.members) > 0 {
		return
	}
	a.view.add(a.self(c))
	a.joined(c)
}

// aged reports whether the node has granted nothing for so long that it can
// have forgotten no claim that still stands.
func (a *arbiter) aged(c *waxwingseam.Context) bool {
	return c.Now.Sub(a.joining.since) >= a.config.KeyLife
}

// joinAnswered takes over a member's claims.
func (a *arbiter) joinAnswered(c *waxwingseam.Context, e waxwingseam.WitnessAnswered) {
	if e.Answer.Verdict == waxwingseam.WitnessJoining {
		a.view.merge(e.Answer.View)
		if a.joining != nil {
			a.joining.fresh[e.Answer.From] = true
			a.joinIfPulled(c)
		}
		return
	}
	if e.Answer.Verdict != waxwingseam.WitnessGranted {
		if a.joining != nil {
			a.joining.strangers[e.To] = true
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
		delete(a.joining.fresh, e.Answer.From)
		a.joining.pulled[e.Answer.From] = true
		a.joinIfPulled(c)
	}
}

// joinIfPulled makes the node a witness once it has the claims of enough
// members, and of one at least.
func (a *arbiter) joinIfPulled(c *waxwingseam.Context) {
	if len(a.joining.pulled) > 0 && a.pulledEnough(c) {
		a.joined(c)
	}
}

func (a *arbiter) mergeAnswer(c *waxwingseam.Context, answer waxwingseam.WitnessAnswer) {
	for _, l := range answer.View.Removed {
		if l.Name == c.Self.Name && a.joining != nil {
			a.joining.replaces = true
		}
	}
	a.view.merge(answer.View)
	a.recordAll(c, answer.Claims)
}

// pulledEnough reports whether the claims of so many members are here that
// none with a quorum can be missing, and no other node can have joined unseen.
func (a *arbiter) pulledEnough(c *waxwingseam.Context) bool {
	others := 0
	pulled := 0
	for _, l := range a.view.members {
		if l.Name == c.Self.Name || a.grantedNothing(l) {
			continue
		}
		others++
		if a.joining.pulled[l] {
			pulled++
		}
	}
	before := others
	if a.joining.replaces {
		before++
	}
	return pulled >= min(before/2+1, others)
}

// grantedNothing reports whether a member joins and is the first life of its node, so
// that no claim rests on it.
func (a *arbiter) grantedNothing(l waxwingseam.ServerIncarnation) bool {
	earlier := func(r waxwingseam.ServerIncarnation) bool { return r.Name == l.Name }
	return a.joining.fresh[l] && !slices.ContainsFunc(a.view.removed, earlier)
}

// joined makes the node a witness and goes on with what waited for it.
func (a *arbiter) joined(c *waxwingseam.Context) {
	a.joining = nil
	a.ready = true
	for _, p := range a.sortedPending() {
		a.askForClaim(c, p)
	}
}

// greetStrangers joins with nodes of the service that do not count yet here,
// so that views which arose apart become one.
func (a *arbiter) greetStrangers(c *waxwingseam.Context) {
	for _, peer := range a.sortedPeers() {
		if !a.counts(peer) && !peer.Leaving {
			a.ask(c, peer, waxwingseam.WitnessMessage{Request: waxwingseam.RequestJoin})
		}
	}
}

// counts reports whether a life of a server is a member.
func (a *arbiter) counts(s waxwingseam.Server) bool {
	return slices.ContainsFunc(a.view.members, lifeOf(s).EqualIgnoringTerm)
}

// pulled reports whether all claims of a server are here.
func (a *arbiter) pulled(s waxwingseam.Server) bool {
	for l := range a.joining.pulled {
		if l.EqualIgnoringTerm(lifeOf(s)) {
			return true
		}
	}
	return false
}
