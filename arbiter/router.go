package arbiter

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
)

// RouterPriority orders the router before the dispatcher as a worker, and
// among the dispatcher's routers.
const RouterPriority = 50

// Router directs the non-repeatable calls with one key to one server, so that
// resent calls reach the server of the run without a relay. This is only an
// optimization: claims decide which server may run a call.
type Router struct {
	servers map[waxwingseam.ServiceName][]waxwingseam.Server
	// routed holds the server of each call with a key that is in flight.
	routed map[waxwingseam.CallID]waxwingseam.ServerName
	// leaving holds the servers that have reported that they are leaving.
	leaving map[waxwingseam.ServerName]bool
}

// maxRouted bounds the calls in routed. At the bound, all are removed; a
// leaving server may then go unnoticed, which costs a refused attempt at most.
const maxRouted = 10_000

// NewRouter returns a router without servers. The router is also a worker and runs
// before the dispatcher.
func NewRouter() *Router {
	return &Router{
		servers: map[waxwingseam.ServiceName][]waxwingseam.Server{},
		routed:  map[waxwingseam.CallID]waxwingseam.ServerName{},
		leaving: map[waxwingseam.ServerName]bool{},
	}
}

// Kinds implements waxwingseam.Worker.
func (r *Router) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{
		waxwingseam.KindServersUpdated,
		waxwingseam.KindAttemptEnded,
	}
}

// Reduce implements waxwingseam.Worker.
func (r *Router) Reduce(_ *waxwingseam.Context, e waxwingseam.Event) {
	switch v := e.(type) {
	case waxwingseam.ServersUpdated:
		r.updateServers(v)
	case waxwingseam.AttemptEnded:
		r.observe(v)
	}
}

// observe marks a server as leaving if the result of an attempt says so.
func (r *Router) observe(e waxwingseam.AttemptEnded) {
	name, ok := r.routed[e.ID]
	if !ok {
		return
	}
	delete(r.routed, e.ID)
	if e.Result.Reached && e.Result.Load.Leaving {
		r.leaving[name] = true
	}
}

func (r *Router) updateServers(e waxwingseam.ServersUpdated) {
	for _, s := range e.Servers {
		r.removeServer(s.Name)
		r.servers[s.Service] = append(r.servers[s.Service], s)
	}
	for _, name := range e.Gone {
		r.removeServer(name)
	}
}

func (r *Router) removeServer(name waxwingseam.ServerName) {
	delete(r.leaving, name)
	for service, list := range r.servers {
		r.servers[service] = slices.DeleteFunc(list, func(s waxwingseam.Server) bool { return s.Name == name })
	}
}

// Route implements waxwingseam.Router. It pins the call to the untried server
// with the highest rendezvous weight (Thaler and Ravishankar, 1998).
func (r *Router) Route(_ *waxwingseam.Context, call waxwingseam.Call, q *waxwingseam.Query) {
	if call.Key == "" || call.Repeat != waxwingseam.RepeatNever {
		return
	}
	var best uint64
	for _, s := range r.servers[q.Service] {
		if s.Leaving || r.leaving[s.Name] || slices.Contains(q.Tried, s.Name) {
			continue
		}
		if w := weight(call, s.Name); q.Pinned == "" || w > best {
			best = w
			q.Pinned = s.Name
		}
	}
	if len(r.routed) >= maxRouted {
		clear(r.routed)
	}
	r.routed[call.ID] = q.Pinned
}

// weight returns a server's rendezvous weight for the key of a call.
func weight(call waxwingseam.Call, name waxwingseam.ServerName) uint64 {
	return xxhash.Sum64String(string(call.Class) + "\x00" + call.Key + "\x00" + string(name))
}
