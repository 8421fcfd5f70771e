package balancer

import (
	"math/rand/v2"

	"waxwingseam.example/waxwingseam"
)

// pick chooses the better of two random servers (Mitzenmacher, 2001). As long
// as no server passes the filters, the last of the remaining filters is
// dropped. pick returns nil if no server passes the mandatory filters.
func (b *balancer) pick(c *waxwingseam.Context, p *pool, q waxwingseam.Query) *target {
	random := c.Random()
	for n := len(b.filters); n >= 0; n-- {
		if n < len(b.filters) && b.filters[n].mandatory {
			return nil
		}
		s := selection{
			context:   c,
			query:     q,
			filters:   b.filters[:n],
			random:    random,
			nearFirst: b.config.NearFirst || q.LargeReply,
		}
		if t := s.choose(p); t != nil {
			return t
		}
	}
	return nil
}

// selection chooses a server that passes the remaining filters.
type selection struct {
	context *waxwingseam.Context
	query   waxwingseam.Query
	filters []filter
	random  *rand.Rand
	// nearFirst is set for Config.NearFirst, and for calls with large replies.
	nearFirst bool
}

// choose returns the cheaper of two random servers. The first is in the node's
// data centre if possible. With nearFirst, the second is also in the node's
// data centre while the first is lightly loaded and almost no calls are
// rejected, because traffic between data centres is slow and expensive;
// otherwise it is any server. At equal cost the first is chosen because it
// answers sooner.
func (s *selection) choose(p *pool) *target {
	first := s.randomServer(p.near, nil)
	if s.nearFirst && first != nil && p.withoutRejections(s.context) && first.lightlyLoaded(s.context) {
		if other := s.randomServer(p.near, first); other != nil && other.cost(s.context) < first.cost(s.context) {
			return other
		}
		return first
	}
	second := s.randomServer(p.members, first)
	if first == nil {
		first = s.randomServer(p.members, second)
	}
	if first == nil || second != nil && second.cost(s.context) < first.cost(s.context) {
		return second
	}
	return first
}

// randomServer returns a random server of the list, except other, that passes
// the filters, or nil if there is none.
func (s *selection) randomServer(list []*target, other *target) *target {
	if len(list) == 0 {
		return nil
	}
	i := s.random.IntN(len(list))
	for range list {
		t := list[i]
		if t != other && s.passes(t) {
			return t
		}
		i++
		if i == len(list) {
			i = 0
		}
	}
	return nil
}

func (s *selection) passes(t *target) bool {
	for _, f := range s.filters {
		if f.rejects(s.context, s.query, t) {
			return false
		}
	}
	return true
}
