// Package balancer chooses the backend server of each attempt from what the
// node itself observes: the results of its own calls and the load reports in
// the answers. It queries no health or load endpoints of servers.
package balancer

import (
	"slices"

	"waxwingseam.example/waxwingseam"
)

// Config holds the settings of a balancer.
type Config struct {
	// Self is the node's name, which determines the subset of the servers that
	// it calls if a service has a subset size.
	Self waxwingseam.ServerName
	// DataCentre is the node's data centre.
	DataCentre waxwingseam.DataCentre
	// NearFirst keeps calls in the node's data centre while the server
	// considered there is lightly loaded and the service rejects almost no
	// calls, for networks in which traffic between data centres is expensive.
	// Load is then spread less evenly. Calls with large replies are placed like this
	// whatever the setting.
	NearFirst bool
}

type balancer struct {
	config  Config
	targets map[waxwingseam.ServerName]*target
	pools   map[waxwingseam.ServiceName]*pool
	filters []filter
	// known holds what answers said of the servers. It outlasts the targets, as a
	// server may be announced again.
	known map[waxwingseam.ServerName]*knownServer
	// objects and subsetSizes are from the configuration in force.
	objects     map[waxwingseam.ServerName]waxwingseam.BackendServer
	subsetSizes map[waxwingseam.ServiceName]int
}

// New returns a balancer without servers.
func New(config Config) waxwingseam.Balancer {
	return &balancer{
		config:  config,
		targets: map[waxwingseam.ServerName]*target{},
		pools:   map[waxwingseam.ServiceName]*pool{},
		filters: defaultFilters(),
		known:   map[waxwingseam.ServerName]*knownServer{},
	}
}

// Adopt implements waxwingseam.Balancer.
func (b *balancer) Adopt(s *waxwingseam.Set) {
	b.objects = make(map[waxwingseam.ServerName]waxwingseam.BackendServer, len(s.BackendServers))
	for _, v := range s.BackendServers {
		b.objects[v.Name] = v
	}
	b.subsetSizes = make(map[waxwingseam.ServiceName]int, len(s.Services))
	for _, v := range s.Services {
		b.subsetSizes[v.Name] = v.SubsetSize
	}
	for _, p := range b.pools {
		p.stale = true
		p.shares.adopt(s)
		p.adopt(s)
	}
}

// UpdateServers implements waxwingseam.Balancer.
func (b *balancer) UpdateServers(c *waxwingseam.Context, servers []waxwingseam.Server, gone []waxwingseam.ServerName) {
	for _, s := range servers {
		b.updateServer(c, s)
	}
	for _, name := range gone {
		b.removeServer(name)
	}
}

func (b *balancer) updateServer(c *waxwingseam.Context, s waxwingseam.Server) {
	t, ok := b.targets[s.Name]
	if ok && s.Incarnation < t.server.Incarnation {
		return
	}
	if ok && s.Incarnation == t.server.Incarnation && s.Service == t.server.Service {
		t.server = s
		t.load.Leaving = false
		t.pool.stale = true
		t.known = b.knownServer(c, s)
		return
	}
	b.removeServer(s.Name)
	p := b.pool(s.Service)
	t = newTarget(c, p, s)
	t.known = b.knownServer(c, s)
	b.targets[s.Name] = t
	p.add(t)
}

func (b *balancer) removeServer(name waxwingseam.ServerName) {
	t, ok := b.targets[name]
	if !ok {
		return
	}
	delete(b.targets, name)
	t.pool.remove(t)
}

func (b *balancer) pool(service waxwingseam.ServiceName) *pool {
	p, ok := b.pools[service]
	if !ok {
		p = newPool()
		b.pools[service] = p
	}
	return p
}

// Choose implements waxwingseam.Balancer.
func (b *balancer) Choose(c *waxwingseam.Context, q waxwingseam.Query) waxwingseam.Choice {
	p := b.currentPool(q.Service)
	if q.Pinned != "" {
		return b.choosePinned(c, p, q)
	}
	if len(p.members) == 0 {
		return waxwingseam.Choice{Refused: true, Reason: waxwingseam.ReasonNoServer, Basis: waxwingseam.BasisServers}
	}
	place := q.Place()
	share := p.refused(c, place)
	if q.Root && !p.shares.admits(c.Now, place, q.Rank, q.Late, share) {
		choice := p.refusal(c, 1/(1-share))
		choice.Basis, choice.BasisAge = waxwingseam.BasisStatedShare, p.shares.age(c.Now, place)
		choice.RefusedPermille = waxwingseam.PermilleOf(share)
		return choice
	}
	if !p.admitAccount(c.Now, &q) {
		choice := p.refusal(c, p.throttle.offerRatio())
		choice.Basis = waxwingseam.BasisThrottle
		return choice
	}
	t := b.pick(c, p, q)
	if t == nil || q.ExcludeTried && slices.Contains(q.Tried, t.server.Name) {
		choice := p.refusal(c, p.throttle.offerRatio())
		choice.Basis = waxwingseam.BasisServers
		return choice
	}
	choice := t.choose(c, q.Class)
	choice.RefusedPermille = waxwingseam.PermilleOf(share)
	return choice
}

// choosePinned answers a query that only one server may serve. That server
// itself refuses the call if it is overloaded.
func (b *balancer) choosePinned(c *waxwingseam.Context, p *pool, q waxwingseam.Query) waxwingseam.Choice {
	t, ok := b.targets[q.Pinned]
	if !ok || t.pool != p || t.leaving() {
		return waxwingseam.Choice{Refused: true, Reason: waxwingseam.ReasonNoServer, Basis: waxwingseam.BasisServers}
	}
	t.inFlight++
	return waxwingseam.Choice{Server: t.server, Known: t.known.report(c), Patient: true}
}

// currentPool returns the pool of a service, rebuilt if it was stale.
func (b *balancer) currentPool(service waxwingseam.ServiceName) *pool {
	p := b.pool(service)
	if p.stale {
		p.rebuild(b.config, b.subsetSizes[service], b.objects)
	}
	return p
}

// Observe implements waxwingseam.Balancer.
func (b *balancer) Observe(c *waxwingseam.Context, f waxwingseam.Feedback) {
	t, ok := b.targets[f.Server]
	if !ok {
		return
	}
	t.observe(c, f)
	t.pool.observe(c, t, f)
}

// Overloaded implements waxwingseam.Balancer.
func (b *balancer) Overloaded(c *waxwingseam.Context, service waxwingseam.ServiceName) bool {
	p := b.currentPool(service)
	for _, t := range p.members {
		if !t.shedding(c) && !t.paused(c) {
			return false
		}
	}
	return len(p.members) > 0
}

// Refused implements waxwingseam.Balancer.
func (b *balancer) Refused(c *waxwingseam.Context, service waxwingseam.ServiceName, place waxwingseam.Place) waxwingseam.Permille {
	return waxwingseam.PermilleOf(b.pool(service).refused(c, place))
}

// Server implements waxwingseam.Balancer.
func (b *balancer) Server(name waxwingseam.ServerName) (waxwingseam.Server, bool) {
	t, ok := b.targets[name]
	if !ok {
		return waxwingseam.Server{}, false
	}
	return t.server, true
}
