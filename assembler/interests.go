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

// interestTimeout bounds how long the first calls of a service wait until its
// backend servers are known.
const interestTimeout = 500 * time.Millisecond

// interests subscribes to the servers of each service that the node calls, and
// holds the first calls of a service until its servers are known.
type interests struct {
	subscriber subscriber.Subscriber

	mu     sync.Mutex
	set    *waxwingseam.Set
	topics map[waxwingseam.ServiceName]*topic
}

// topic is one service that the node is interested in.
type topic struct {
	// learned is closed once a server is known, or the time is over.
	learned chan struct{}
	once    sync.Once
}

func newTopic() *topic {
	return &topic{learned: make(chan struct{})}
}

func (t *topic) open() {
	t.once.Do(func() { close(t.learned) })
}

func newInterests() *interests {
	return &interests{
		set:    &waxwingseam.Set{},
		topics: map[waxwingseam.ServiceName]*topic{},
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
	case waxwingseam.ServersUpdated:
		for _, s := range v.Servers {
			if t, ok := i.topics[s.Service]; ok {
				t.open()
			}
		}
	}
}

// Hold returns a handler that lets a request through once the servers of the
// service that it names are known, or the time for that is over.
func (i *interests) Hold(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		if t := i.topic(waxwingseam.ServiceName(name)); t != nil {
			select {
			case <-t.learned:
			case <-r.Context().Done():
			}
		}
		next.ServeHTTP(w, r)
	})
}

// topic returns the topic of a service, which the first call makes; nil for a
// service that no object names.
func (i *interests) topic(service waxwingseam.ServiceName) *topic {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t, ok := i.topics[service]; ok {
		return t
	}
	if _, ok := i.set.Service(service); !ok {
		return nil
	}
	t := newTopic()
	i.topics[service] = t
	i.subscriber.AddInterest(service)
	time.AfterFunc(interestTimeout, t.open)
	return t
}
