package arbiter

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
)

// RouterPriority is the router's place among the routers and the workers.
const RouterPriority = 50

// Router sends the not-repeatable calls with one key to one server, so that
// resends find the run without a detour. It only saves work: which server may
// run a call is settled by claims.
type Router struct {
	servers map[waxwingseam.ServiceName][]waxwingseam.Server
}

// NewRouter returns a router that knows no servers. It is a worker, too.
func NewRouter() *Router {
	return &Router{servers: map[waxwingseam.ServiceName][]waxwingseam.Server{}}
}

// Kinds implements waxwingseam.Worker.
func (r *Router) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{waxwingseam.KindServersLearned}
}

// Reduce implements waxwingseam.Worker.
func (r *Router) Reduce(_ *waxwingseam.Context, e waxwingseam.Event) {
	learned, ok := e.(waxwingseam.ServersLearned)
	if !ok {
		return
	}
	for _, s := range learned.Servers {
		r.drop(s.Name)
		r.servers[s.Service] = append(r.servers[s.Service], s)
	}
	for _, name := range learned.Gone {
		r.drop(name)
	}
}

func (r *Router) drop(name waxwingseam.ServerName) {
	for service, list := range r.servers {
		r.servers[service] = slices.DeleteFunc(list, func(s waxwingseam.Server) bool { return s.Name == name })
	}
}

// Route implements waxwingseam.Router: the server of the highest rendezvous
// weight (Thaler and Ravishankar, 1998) that was not tried takes the call.
func (r *Router) Route(_ *waxwingseam.Context, call waxwingseam.Call, q *waxwingseam.Query) {
	if call.Key == "" || call.Repeat != waxwingseam.RepeatNever {
		return
	}
	var best uint64
	for _, s := range r.servers[q.Service] {
		if s.Leaving || slices.Contains(q.Tried, s.Name) {
			continue
		}
		if w := weight(call, s.Name); q.Pinned == "" || w > best {
			best = w
			q.Pinned = s.Name
		}
	}
}

// weight is a server's rendezvous weight for a call's key.
func weight(call waxwingseam.Call, name waxwingseam.ServerName) uint64 {
	return xxhash.Sum64String(string(call.Class) + "\x00" + call.Key + "\x00" + string(name))
}
