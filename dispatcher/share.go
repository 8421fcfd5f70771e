package dispatcher

import (
	"slices"

	"waxwingseam.example/waxwingseam"
)

// roundRobins holds the round robin of each class with weighted targets.
type roundRobins map[waxwingseam.ClassName]*roundRobin

// roundRobin is the smooth weighted round robin of one class: it chooses targets
// in proportion to their weights and spreads the turns of each target evenly. A
// call that a target refuses is not sent to another target, so that the
// proportions hold while a target lacks capacity.
type roundRobin struct {
	targets []waxwingseam.WeightedTarget
	// credits holds the current weight of each target: it grows by the target's
	// weight each turn, and shrinks by the total when the target is chosen.
	credits []int
	total   int
}

// adopt removes the round robins of classes whose targets have changed.
func (s roundRobins) adopt(set *waxwingseam.Set) {
	for name, r := range s {
		class, ok := set.RequestClass(name)
		if !ok || !slices.Equal(class.Targets, r.targets) {
			delete(s, name)
		}
	}
}

// choose returns the service that a call is sent to: the next target of a
// class with weighted targets, or else the service that the call names, or
// else that of the class.
func (s roundRobins) choose(c *waxwingseam.Context, named waxwingseam.ServiceName, class waxwingseam.RequestClass) waxwingseam.ServiceName {
	if len(class.Targets) == 0 {
		if named != "" {
			return named
		}
		return class.Service
	}
	r, ok := s[class.Name]
	if !ok {
		r = newRoundRobin(c, class.Targets)
		s[class.Name] = r
	}
	return r.next()
}

// peek returns the service that choose would return, without taking the turn.
func (s roundRobins) peek(c *waxwingseam.Context, named waxwingseam.ServiceName, class waxwingseam.RequestClass) waxwingseam.ServiceName {
	r, ok := s[class.Name]
	if !ok {
		return roundRobins{}.choose(c, named, class)
	}
	turn := *r
	turn.credits = slices.Clone(r.credits)
	return turn.next()
}

// newRoundRobin returns a round robin that starts at a random turn, so that the
// nodes of a deployment do not choose the same targets in step.
func newRoundRobin(c *waxwingseam.Context, targets []waxwingseam.WeightedTarget) *roundRobin {
	r := &roundRobin{targets: targets, credits: make([]int, len(targets))}
	for _, t := range targets {
		r.total += t.Weight
	}
	if r.total == 0 {
		return r
	}
	for range c.Random().IntN(r.total) % maxStartTurns {
		r.next()
	}
	return r
}

// maxStartTurns bounds the random number of turns that a new round robin skips.
const maxStartTurns = 100

func (r *roundRobin) next() waxwingseam.ServiceName {
	best := 0
	for i, t := range r.targets {
		r.credits[i] += t.Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= r.total
	return r.targets[best].Service
}
