package arbiter

import (
	"maps"
	"slices"

	"waxwingseam.example/waxwingseam"
)

// lose notes since when the lives of a node are gone.
func (a *arbiter) lose(c *waxwingseam.Context, name waxwingseam.ServerName) {
	delete(a.peers, name)
	for _, l := range a.view.members {
		if _, noted := a.lost[l]; l.Name == name && !noted {
			a.lost[l] = c.Now
		}
	}
}

// lostLong reports whether a life was neither known nor heard of for so long
// that no claim which it granted still stands.
func (a *arbiter) lostLong(c *waxwingseam.Context, l waxwingseam.ServerIncarnation) bool {
	since, ok := a.lost[l]
	return ok && c.Now.Sub(since) >= a.config.KeyLife
}

// forgetLost stops counting lives that were lost long ago: those that an
// operator has drained, and those that all others agree on, who are a quorum.
// A node that is cut off from a quorum forgets nobody.
func (a *arbiter) forgetLost(c *waxwingseam.Context) {
	for _, l := range slices.SortedFunc(maps.Keys(a.lost), compare) {
		since := a.lost[l]
		switch object, ok := c.Set.BackendServer(l.Name); {
		case !a.view.has(l):
			delete(a.lost, l)
			delete(a.forgets, l)
		case c.Now.Sub(since) < a.config.KeyLife:
		case ok && object.Drained:
			a.view.remove(l)
		case a.ready:
			a.proposeForget(c, l)
		}
	}
}

// proposeForget asks all others whether they have lost a life, too.
func (a *arbiter) proposeForget(c *waxwingseam.Context, l waxwingseam.ServerIncarnation) {
	if a.forgets[l] == nil {
		a.forgets[l] = map[waxwingseam.ServerIncarnation]bool{}
	}
	a.askMembers(c, waxwingseam.WitnessMessage{
		Request: waxwingseam.RequestForget,
		Lost:    l,
	})
	a.concludeForget(c, l)
}

func (a *arbiter) forgetAnswered(c *waxwingseam.Context, e waxwingseam.WitnessAnswered) {
	l := e.Message.Lost
	if a.forgets[l] == nil || e.Answer.Verdict != waxwingseam.WitnessGranted {
		return
	}
	a.forgets[l][e.Answer.From] = true
	a.concludeForget(c, l)
}

// concludeForget stops counting a life once all that are not lost agree, and
// are a quorum.
func (a *arbiter) concludeForget(c *waxwingseam.Context, l waxwingseam.ServerIncarnation) {
	agreed := 1
	for _, m := range a.view.members {
		_, gone := a.lost[m]
		switch {
		case gone || m == a.self(c):
		case !a.forgets[l][m]:
			return
		default:
			agreed++
		}
	}
	if agreed >= a.view.quorum() && a.lostLong(c, l) {
		a.view.remove(l)
	}
}
