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
// answers sooner. If the servers state figures, further random servers are
// considered.
func (s *selection) choose(p *pool) *target {
	first := s.randomServer(p.near, nil)
	if s.nearFirst && first != nil && p.withoutRejections(s.context) && first.lightlyLoaded(s.context) {
		best := candidate{target: first}
		best.improve(s, s.randomServer(p.near, first))
		return best.target
	}
	second := s.randomServer(p.members, first)
	if first == nil {
		first = s.randomServer(p.members, second)
	}
	if first == nil {
		return second
	}
	best := candidate{target: first}
	best.improve(s, second)
	if best.figures.stated {
		for range min(extraCandidates, len(p.members)-2) {
			best.improve(s, s.randomServer(p.members, best.target))
		}
	}
	return best.target
}

// candidate is a server with its cost by its figures, once that is known.
type candidate struct {
	*target
	known bool
	cost  float64
}

// improve replaces a candidate by a cheaper server, compared by their figures if both state
// them, and otherwise by what this node has observed. other may be nil.
func (v *candidate) improve(s *selection, other *target) {
	if other == nil {
		return
	}
	if !v.figures.stated || !other.figures.stated {
		if other.cost(s.context) < v.target.cost(s.context) {
			*v = candidate{target: other}
		}
		return
	}
	if !v.known {
		v.cost, v.known = v.statedCost(s.context, s.query.Class), true
	}
	if cost := other.statedCost(s.context, s.query.Class); cost < v.cost {
		*v = candidate{target: other, known: true, cost: cost}
	}
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
