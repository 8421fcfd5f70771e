package balancer

import (
	"cmp"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// Explain implements waxwingseam.Balancer.
func (b *balancer) Explain(c *waxwingseam.Context, q waxwingseam.Query) waxwingseam.Route {
	p := b.currentPool(q.Service)
	out := waxwingseam.Route{Candidates: make([]waxwingseam.RouteCandidate, 0, len(p.members))}
	for _, t := range p.members {
		out.Candidates = append(out.Candidates, b.explainCandidate(c, q, t))
	}
	slices.SortFunc(out.Candidates, func(x, y waxwingseam.RouteCandidate) int {
		return cmp.Or(cmp.Compare(x.Cost, y.Cost), cmp.Compare(x.Server, y.Server))
	})
	share := p.refused(c, q.Place())
	out.RefusedPermille = waxwingseam.PermilleOf(share)
	choice, refused := p.refuses(c, q, share)
	var t *target
	switch {
	case len(p.members) == 0:
		refused, choice = true, waxwingseam.Choice{Reason: waxwingseam.ReasonNoServer, Basis: waxwingseam.BasisServers}
	case !refused:
		if t = b.pick(c, p, q); t == nil {
			refused, choice = true, waxwingseam.Choice{Reason: waxwingseam.ReasonOverloaded, Basis: waxwingseam.BasisServers}
		}
	}
	if refused {
		out.Reason, out.Basis, out.BasisAge = choice.Reason, choice.Basis, choice.BasisAge
		return out
	}
	out.Server = t.server.Name
	return out
}

// refuses reports whether a query would be refused before a server is selected, without
// counting it.
func (p *pool) refuses(c *waxwingseam.Context, q waxwingseam.Query, share float64) (choice waxwingseam.Choice, refused bool) {
	switch {
	case q.Root && !p.shares.outside(q.Place(), q.Rank, q.Late, share):
		return waxwingseam.Choice{
			Reason: waxwingseam.ReasonOverloaded, Basis: waxwingseam.BasisStatedShare,
			BasisAge: p.shares.age(c.Now, q.Place()),
		}, true
	case !p.throttleOf(c.Now, &q).hasRoom(c.Now, q.Rank):
		return waxwingseam.Choice{Reason: waxwingseam.ReasonOverloaded, Basis: waxwingseam.BasisThrottle}, true
	}
	return choice, false
}

func (b *balancer) explainCandidate(c *waxwingseam.Context, q waxwingseam.Query, t *target) waxwingseam.RouteCandidate {
	out := waxwingseam.RouteCandidate{
		Server:     t.server.Name,
		DataCentre: t.server.DataCentre,
		Stated:     t.figures.stated,
		Pace:       t.load.Pace,
		WorkLeft:   t.load.WorkLeft,
		InFlight:   t.inFlight,
	}
	if !t.loadAt.IsZero() {
		out.Age = c.Now.Sub(t.loadAt)
	}
	cost := t.cost(c)
	if out.Stated {
		cost, out.Error = t.statedCost(c, q.Class), t.figures.error(c.Now)
	}
	out.Cost = time.Duration(cost * float64(time.Second))
	for _, f := range b.filters {
		if f.rejects(c, q, t) {
			out.Filters = append(out.Filters, f.name)
		}
	}
	return out
}
