// Package balancer chooses the backend server of each attempt from what the
// node itself has seen of the servers: its own calls and the load that came
// with their answers, never a server's health or load endpoint.
package balancer

import (
	"slices"

	"waxwingseam.example/waxwingseam"
)

// Config holds the settings of a balancer.
type Config struct {
	// Self names the node, for its own subset of each service's servers.
	Self waxwingseam.ServerName
	// DataCentre is the node's own.
	DataCentre waxwingseam.DataCentre
	// NearFirst keeps calls in the own data centre while a server there has room,
	// where what crosses data centres is dear. Load is spread less evenly then.
	NearFirst bool
}

type balancer struct {
	config  Config
	targets map[waxwingseam.ServerName]*target
	pools   map[waxwingseam.ServiceName]*pool
	filters []filter
	// objects and sizes are those of the configuration in force.
	objects map[waxwingseam.ServerName]waxwingseam.BackendServer
	sizes   map[waxwingseam.ServiceName]int
}

// New returns a balancer that knows no servers.
func New(config Config) waxwingseam.Balancer {
	return &balancer{
		config:  config,
		targets: map[waxwingseam.ServerName]*target{},
		pools:   map[waxwingseam.ServiceName]*pool{},
		filters: defaultFilters(),
	}
}

// Adopt implements waxwingseam.Balancer.
func (b *balancer) Adopt(s *waxwingseam.Set) {
	b.objects = make(map[waxwingseam.ServerName]waxwingseam.BackendServer, len(s.BackendServers))
	for _, v := range s.BackendServers {
		b.objects[v.Name] = v
	}
	b.sizes = make(map[waxwingseam.ServiceName]int, len(s.Services))
	for _, v := range s.Services {
		b.sizes[v.Name] = v.SubsetSize
	}
	for _, p := range b.pools {
		p.stale = true
	}
}

// UpdateServers implements waxwingseam.Balancer.
func (b *balancer) UpdateServers(c *waxwingseam.Context, servers []waxwingseam.Server, gone []waxwingseam.ServerName) {
	for _, s := range servers {
		b.learn(c, s)
	}
	for _, name := range gone {
		b.forget(name)
	}
}

func (b *balancer) learn(c *waxwingseam.Context, s waxwingseam.Server) {
	t, ok := b.targets[s.Name]
	if ok && s.Incarnation < t.server.Incarnation {
		return
	}
	if ok && s.Incarnation == t.server.Incarnation && s.Service == t.server.Service {
		t.server = s
		t.load.Leaving = false
		t.pool.stale = true
		return
	}
	b.forget(s.Name)
	p := b.pool(s.Service)
	t = newTarget(c, p, s)
	b.targets[s.Name] = t
	p.add(t)
}

func (b *balancer) forget(name waxwingseam.ServerName) {
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
	p := b.fresh(q.Service)
	if q.Pinned != "" {
		return b.choosePinned(p, q)
	}
	if len(p.members) == 0 {
		return waxwingseam.Choice{Refused: true, Reason: waxwingseam.ReasonNoServer}
	}
	if !p.admits(c, q) {
		return p.refusal(c)
	}
	t := b.pick(c, p, q)
	if t == nil || q.ExcludeTried && slices.Contains(q.Tried, t.server.Name) {
		return p.refusal(c)
	}
	return t.chosen(c)
}

// choosePinned answers a query that only one server may take. Whether it is
// overloaded is left to that server.
func (b *balancer) choosePinned(p *pool, q waxwingseam.Query) waxwingseam.Choice {
	t, ok := b.targets[q.Pinned]
	if !ok || t.pool != p || t.leaving() {
		return waxwingseam.Choice{Refused: true, Reason: waxwingseam.ReasonNoServer}
	}
	t.inFlight++
	return waxwingseam.Choice{Server: t.server}
}

// fresh returns a service's pool with its subset up to date.
func (b *balancer) fresh(service waxwingseam.ServiceName) *pool {
	p := b.pool(service)
	if p.stale {
		p.rebuild(b.config, b.sizes[service], b.objects)
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
	p := b.fresh(service)
	for _, t := range p.members {
		if !t.shedding(c) {
			return false
		}
	}
	return len(p.members) > 0
}

// Server implements waxwingseam.Balancer.
func (b *balancer) Server(name waxwingseam.ServerName) (waxwingseam.Server, bool) {
	t, ok := b.targets[name]
	if !ok {
		return waxwingseam.Server{}, false
	}
	return t.server, true
}
