// Package balancer chooses the backend server of each attempt from what the
// node itself has seen of the servers.
package balancer

import (
	"cmp"
	"slices"

	"waxwingseam.example/waxwingseam"
)

// Config holds the settings of a balancer.
type Config struct {
	// Self names the node, for its own subset of each service's servers.
	Self waxwingseam.ServerName
	// DataCentre is the node's own.
	DataCentre waxwingseam.DataCentre
}

type balancer struct {
	config  Config
	servers map[waxwingseam.ServerName]*target
	// services lists the servers of each service in the order of their names.
	services map[waxwingseam.ServiceName][]*target
}

// target is a server with what the node has seen of it.
type target struct {
	server   waxwingseam.Server
	load     waxwingseam.Load
	inFlight int
	drained  bool
}

// New returns a balancer that knows no servers.
func New(config Config) waxwingseam.Balancer {
	return &balancer{
		config:   config,
		servers:  map[waxwingseam.ServerName]*target{},
		services: map[waxwingseam.ServiceName][]*target{},
	}
}

// Adopt implements waxwingseam.Balancer.
func (b *balancer) Adopt(s *waxwingseam.Set) {
	for name, t := range b.servers {
		object, ok := s.BackendServer(name)
		t.drained = ok && object.Drained
	}
}

// Learn implements waxwingseam.Balancer.
func (b *balancer) Learn(c *waxwingseam.Context, servers []waxwingseam.Server, gone []waxwingseam.ServerName) {
	for _, s := range servers {
		b.learn(c, s)
	}
	for _, name := range gone {
		b.forget(name)
	}
}

func (b *balancer) learn(c *waxwingseam.Context, s waxwingseam.Server) {
	t, ok := b.servers[s.Name]
	if ok && s.Incarnation < t.server.Incarnation {
		return
	}
	if ok && s.Service == t.server.Service {
		t.server = s
		return
	}
	b.forget(s.Name)
	object, _ := c.Set.BackendServer(s.Name)
	t = &target{server: s, drained: object.Drained}
	b.servers[s.Name] = t
	b.services[s.Service] = append(b.services[s.Service], t)
	slices.SortFunc(b.services[s.Service], func(a, o *target) int {
		return cmp.Compare(a.server.Name, o.server.Name)
	})
}

func (b *balancer) forget(name waxwingseam.ServerName) {
	t, ok := b.servers[name]
	if !ok {
		return
	}
	delete(b.servers, name)
	service := t.server.Service
	b.services[service] = slices.DeleteFunc(b.services[service], func(o *target) bool { return o == t })
}

// Choose implements waxwingseam.Balancer.
func (b *balancer) Choose(c *waxwingseam.Context, q waxwingseam.Query) waxwingseam.Choice {
	t := b.pick(c, q)
	if t == nil {
		return waxwingseam.Choice{Refused: true, Reason: waxwingseam.ReasonNoServer}
	}
	t.inFlight++
	return waxwingseam.Choice{Server: t.server}
}

func (b *balancer) pick(c *waxwingseam.Context, q waxwingseam.Query) *target {
	var open, fresh []*target
	for _, t := range b.services[q.Service] {
		if !t.takesWork() || q.Pinned != "" && q.Pinned != t.server.Name {
			continue
		}
		open = append(open, t)
		if !slices.Contains(q.Tried, t.server.Name) {
			fresh = append(fresh, t)
		}
	}
	if len(fresh) == 0 {
		fresh = open
	}
	if len(fresh) == 0 {
		return nil
	}
	random := c.Random()
	first, second := fresh[random.IntN(len(fresh))], fresh[random.IntN(len(fresh))]
	if second.cost() < first.cost() {
		return second
	}
	return first
}

// Observe implements waxwingseam.Balancer.
func (b *balancer) Observe(_ *waxwingseam.Context, f waxwingseam.Feedback) {
	t, ok := b.servers[f.Server]
	if !ok {
		return
	}
	t.inFlight = max(t.inFlight-1, 0)
	if f.Result.Reached {
		t.load = f.Result.Load
	}
}

// Overloaded implements waxwingseam.Balancer.
func (b *balancer) Overloaded(service waxwingseam.ServiceName) bool {
	targets := b.services[service]
	for _, t := range targets {
		if t.takesWork() && !t.load.Shedding {
			return false
		}
	}
	return len(targets) > 0
}

// Server implements waxwingseam.Balancer.
func (b *balancer) Server(name waxwingseam.ServerName) (waxwingseam.Server, bool) {
	t, ok := b.servers[name]
	if !ok {
		return waxwingseam.Server{}, false
	}
	return t.server, true
}

// takesWork reports whether new work may go to the server.
func (t *target) takesWork() bool {
	return !t.drained && !t.server.Leaving && !t.load.Leaving
}

// cost ranks servers; the lower one is preferred.
func (t *target) cost() float64 {
	running := float64(t.load.InFlight+t.load.Waiting) + float64(t.inFlight) + 1
	return running / float64(max(t.load.Limit, 1))
}
