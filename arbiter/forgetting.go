package arbiter

import (
	"maps"
	"slices"

	"waxwingseam.example/waxwingseam"
)

// markLost removes a peer and records the time at which its member was lost.
func (a *arbiter) markLost(c *waxwingseam.Context, name waxwingseam.ServerName) {
	delete(a.peers, name)
	for _, si := range a.view.members {
		if _, noted := a.lostSince[si]; si.Name == name && !noted {
			a.lostSince[si] = c.Now
		}
	}
}

// lostPastKeyRetention reports whether an incarnation has been lost, without a
// message from it, for so long that every claim that it granted has expired.
func (a *arbiter) lostPastKeyRetention(c *waxwingseam.Context, si waxwingseam.ServerIncarnation) bool {
	since, ok := a.lostSince[si]
	return ok && c.Now.Sub(since) >= a.config.KeyRetention
}

// removeLost removes members that have been lost for at least the key retention:
// those that an operator has drained, and those that all other members agree to
// remove, if these are a quorum. A node that is cut off from a quorum removes only
// drained members.
func (a *arbiter) removeLost(c *waxwingseam.Context) {
	for _, si := range slices.SortedFunc(maps.Keys(a.lostSince), compareIncarnations) {
		since := a.lostSince[si]
		switch object, ok := c.Set.BackendServer(si.Name); {
		case !a.view.contains(si):
			delete(a.lostSince, si)
			delete(a.forgetVotes, si)
		case c.Now.Sub(since) < a.config.KeyRetention:
		case ok && object.Drained:
			a.view.remove(si)
		case a.ready:
			a.proposeForget(c, si)
		}
	}
}

// proposeForget asks the other members whether they have also lost an incarnation.
func (a *arbiter) proposeForget(c *waxwingseam.Context, si waxwingseam.ServerIncarnation) {
	if a.forgetVotes[si] == nil {
		a.forgetVotes[si] = map[waxwingseam.ServerIncarnation]bool{}
	}
	a.askMembers(c, waxwingseam.WitnessMessage{
		Request: waxwingseam.RequestForget,
		Lost:    si,
	})
	a.concludeForget(c, si)
}

func (a *arbiter) forgetAnswered(c *waxwingseam.Context, e waxwingseam.WitnessAnswered) {
	si := e.Message.Lost
	if a.forgetVotes[si] == nil || e.Answer.Verdict != waxwingseam.WitnessGranted {
		return
	}
	a.forgetVotes[si][e.Answer.From] = true
	a.concludeForget(c, si)
}

// concludeForget removes a lost member once all members that are not lost agree,
// if they are a quorum.
func (a *arbiter) concludeForget(c *waxwingseam.Context, si waxwingseam.ServerIncarnation) {
	agreed := 1
	for _, m := range a.view.members {
		_, gone := a.lostSince[m]
		switch {
		case gone || m == a.self(c):
		case !a.forgetVotes[si][m]:
			return
		default:
			agreed++
		}
	}
	if agreed >= a.view.quorum() && a.lostPastKeyRetention(c, si) {
		a.view.remove(si)
	}
}
