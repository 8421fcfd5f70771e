package assembler

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/subscriber"
)

// firstServersTimeout bounds how long the first calls to a service wait until one
// of its backend servers is known.
const firstServersTimeout = 500 * time.Millisecond

// interests subscribes to the backend servers of each service that the node
// calls, and delays the first calls to a service until a server is known.
type interests struct {
	subscriber subscriber.Subscriber

	mu        sync.Mutex
	set       *waxwingseam.Set
	byService map[waxwingseam.ServiceName]*interest
}

// interest is the subscription to the backend servers of one service.
type interest struct {
	// ready is closed once a server is known or firstServersTimeout has passed.
	ready chan struct{}
	once  sync.Once
}

func newInterest() *interest {
	return &interest{ready: make(chan struct{})}
}

func (in *interest) markReady() {
	in.once.Do(func() { close(in.ready) })
}

func newInterests() *interests {
	return &interests{
		set:       &waxwingseam.Set{},
		byService: map[waxwingseam.ServiceName]*interest{},
	}
}

// Observe implements runner.Observer.
func (i *interests) Observe(e waxwingseam.Event, _ []waxwingseam.Effect) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch v := e.(type) {
	case waxwingseam.AttemptArrived:
		i.subscriber.NoteRevision(v.Call.Revision, netip.AddrPort{})
	case waxwingseam.SetAdopted:
		i.set = v.Set
		if v.Set.LimitsAccounts() {
			// The limits are kept together with all nodes.
			for _, o := range v.Set.Services {
				i.add(o.Name)
			}
		}
	case waxwingseam.ServersUpdated:
		for _, s := range v.Servers {
			if in, ok := i.byService[s.Service]; ok {
				in.markReady()
			}
		}
	}
}

// WaitForServers returns a handler that passes a request to next once a server of
// the service that its path names is known or firstServersTimeout has passed.
func (i *interests) WaitForServers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if in := i.interestOf(r); in != nil {
			select {
			case <-in.ready:
			case <-r.Context().Done():
			}
		}
		next.ServeHTTP(w, r)
	})
}

// interestOf returns the interest in the service that a request's path names; nil if it names
// none.
func (i *interests) interestOf(r *http.Request) *interest {
	target, err := waxwingseam.RequestTarget(r)
	if err != nil {
		return nil
	}
	return i.interestIn(waxwingseam.ServiceName(forwarder.ServiceSegment(target)))
}

// interestIn returns the interest in a service, which it creates on the first
// call; nil if the set has no such service.
func (i *interests) interestIn(service waxwingseam.ServiceName) *interest {
	i.mu.Lock()
	defer i.mu.Unlock()
	if in, ok := i.byService[service]; ok {
		return in
	}
	if _, ok := i.set.Service(service); !ok {
		return nil
	}
	return i.add(service)
}

// add returns the interest in a service, and creates it if there is none.
func (i *interests) add(service waxwingseam.ServiceName) *interest {
	if in, ok := i.byService[service]; ok {
		return in
	}
	in := newInterest()
	i.byService[service] = in
	i.subscriber.AddInterest(service)
	time.AfterFunc(firstServersTimeout, in.markReady)
	return in
}
