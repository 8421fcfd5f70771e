package balancer

import (
	"math/rand/v2"

	"waxwingseam.example/waxwingseam"
)

// pick chooses a server by two random choices (Mitzenmacher, 2001). Filters are
// given up one by one, the last first, while no server passes them.
func (b *balancer) pick(c *waxwingseam.Context, p *pool, q waxwingseam.Query) *target {
	random := c.Random()
	for n := len(b.filters); n >= 0; n-- {
		if n < len(b.filters) && b.filters[n].firm {
			return nil
		}
		s := selection{context: c, query: q, filters: b.filters[:n], random: random}
		if t := s.choose(p); t != nil {
			return t
		}
	}
	return nil
}

// selection is one search with the filters still in force.
type selection struct {
	context *waxwingseam.Context
	query   waxwingseam.Query
	filters []filter
	random  *rand.Rand
}

// choose prefers the own data centre, but for the share that spills.
func (s *selection) choose(p *pool) *target {
	first, second := p.near, p.far
	if p.spill.out(s.context, s.random.Float64()) {
		first, second = second, first
	}
	if t := s.two(first); t != nil {
		return t
	}
	return s.two(second)
}

// two returns the better of two random servers that pass; nil without one.
func (s *selection) two(list []*target) *target {
	first := s.one(list, nil)
	if first == nil {
		return nil
	}
	second := s.one(list, first)
	if second != nil && second.cost(s.context) < first.cost(s.context) {
		return second
	}
	return first
}

// one returns a random server that passes, other than one; nil without one.
func (s *selection) one(list []*target, other *target) *target {
	if len(list) == 0 {
		return nil
	}
	at := s.random.IntN(len(list))
	for range list {
		t := list[at]
		if t != other && s.passes(t) {
			return t
		}
		at++
		if at == len(list) {
			at = 0
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
