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
	// routed says where the calls under way were sent.
	routed map[waxwingseam.CallID]waxwingseam.ServerName
	// leaving holds the servers whose answers said that they leave.
	leaving map[waxwingseam.ServerName]bool
}

// maxRouted bounds the calls whose server is remembered; beyond it all are
// forgotten, which costs a refused attempt at most.
const maxRouted = 10_000

// NewRouter returns a router that knows no servers. It is a worker, too, and
// stands before the dispatcher.
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
		r.learn(v)
	case waxwingseam.AttemptEnded:
		r.observe(v)
	}
}

// observe notes a server that says with its answer that it leaves.
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

func (r *Router) learn(learned waxwingseam.ServersUpdated) {
	for _, s := range learned.Servers {
		r.drop(s.Name)
		r.servers[s.Service] = append(r.servers[s.Service], s)
	}
	for _, name := range learned.Gone {
		r.drop(name)
	}
}

func (r *Router) drop(name waxwingseam.ServerName) {
	delete(r.leaving, name)
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

// weight is a server's rendezvous weight for a call's key.
func weight(call waxwingseam.Call, name waxwingseam.ServerName) uint64 {
	return xxhash.Sum64String(string(call.Class) + "\x00" + call.Key + "\x00" + string(name))
}
