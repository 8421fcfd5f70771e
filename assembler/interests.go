package assembler

import (
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/subscriber"
)

// firstServersTimeout bounds how long the first calls of a service wait until its
// backend servers are known.
const firstServersTimeout = 500 * time.Millisecond

// interests subscribes to the servers of each service that the node calls, and
// holds the first calls of a service until its servers are known.
type interests struct {
	subscriber subscriber.Subscriber

	mu        sync.Mutex
	set       *waxwingseam.Set
	byService map[waxwingseam.ServiceName]*interest
}

// interest is one service that the node is interested in.
type interest struct {
	// ready is closed once a server is known, or the time is over.
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
		i.subscriber.Notice(v.Call.Revision, netip.AddrPort{})
	case waxwingseam.SetAdopted:
		i.set = v.Set
	case waxwingseam.ServersUpdated:
		for _, s := range v.Servers {
			if in, ok := i.byService[s.Service]; ok {
				in.markReady()
			}
		}
	}
}

// WaitForServers returns a handler that lets a request through once the servers of the
// service that it names are known, or the time for that is over.
func (i *interests) WaitForServers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		if in := i.interestIn(waxwingseam.ServiceName(name)); in != nil {
			select {
			case <-in.ready:
			case <-r.Context().Done():
			}
		}
		next.ServeHTTP(w, r)
	})
}

// interestIn returns the interestIn of a service, which the first call makes; nil for a
// service that no object names.
func (i *interests) interestIn(service waxwingseam.ServiceName) *interest {
	i.mu.Lock()
	defer i.mu.Unlock()
	if in, ok := i.byService[service]; ok {
		return in
	}
	if _, ok := i.set.Service(service); !ok {
		return nil
	}
	in := newInterest()
	i.byService[service] = in
	i.subscriber.Interest(service)
	time.AfterFunc(firstServersTimeout, in.markReady)
	return in
}
