//go:build review

package stand

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// installation is a deployment that serves.
type installation struct {
	*deployment
	backends []*backend
}

var standardRoutes = []routeRow{
	{"read", "/read/", "safe", "alpha", "6000ms", 2},
	{"write", "/write/", "unsafe", "alpha", "6000ms", 2},
	{"beta-read", "/beta/", "safe", "beta", "6000ms", 2},
}

// install starts five control machines, one node for each service in the list and its backend,
// and puts the first manifest in force.
func install(record *recorder, services []string, work func(*backend, http.ResponseWriter, *http.Request)) (*installation, error) {
	return installWith(record, services, standardRoutes, work)
}

// installWith does the same with other routes.
func installWith(record *recorder, services []string, routes []routeRow, work func(*backend, http.ResponseWriter, *http.Request)) (*installation, error) {
	d, err := newDeployment(record, 5, services)
	if err != nil {
		return nil, err
	}
	in := &installation{deployment: d}
	if err := d.startAll(); err != nil {
		d.end()
		return nil, err
	}
	for _, m := range d.side {
		b, err := startBackend(m, m.service, work)
		if err != nil {
			d.end()
			return nil, err
		}
		in.backends = append(in.backends, b)
		go b.beats()
	}
	status, err := d.put(manifest(1, 0, []string{"alpha", "beta"}, routes), 20*time.Second)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("the first manifest was answered %d", status)
	}
	if err == nil {
		err = d.awaitReady(20 * time.Second)
	}
	if err != nil {
		d.end()
		return nil, err
	}
	time.Sleep(3 * time.Second)
	return in, nil
}

func (in *installation) runsOf(id string) []arrival {
	var out []arrival
	for _, b := range in.backends {
		for _, a := range b.arrivals() {
			if a.id == id {
				out = append(out, a)
			}
		}
	}
	return out
}

// answered is a request with the answer that its client got.
type answered struct {
	id     string
	answer answer
}

// load sends requests that must not run twice from some clients until it is stopped.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu   sync.Mutex
	list []answered
}

// loadClients is the number of clients that send requests all the time.
const loadClients = 32

// startLoad starts the clients, spread over the machines.
func startLoad(machines []*machine) *load {
	l := &load{stop: make(chan struct{})}
	for i := range loadClients {
		m := machines[i%len(machines)]
		l.wg.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := newID("")
				a := m.request(http.MethodPost, "/write/1", id, 5*time.Second, "", "x")
				l.mu.Lock()
				l.list = append(l.list, answered{id, a})
				l.mu.Unlock()
			}
		})
	}
	return l
}

// end stops the clients and returns what they got.
func (l *load) end() []answered {
	close(l.stop)
	l.wg.Wait()
	return l.list
}

// countLost counts the requests that a backend ran and whose clients got no answer of it.
func countLost(b *backend, list []answered) int {
	ran := map[string]bool{}
	for _, a := range b.arrivals() {
		ran[a.id] = true
	}
	lost := 0
	for _, v := range list {
		if ran[v.id] && v.answer.seal == "" {
			lost++
		}
	}
	return lost
}

// workFor returns the work of a backend that takes a time, give or take a quarter.
func workFor(d time.Duration) func(*backend, http.ResponseWriter, *http.Request) {
	return func(_ *backend, w http.ResponseWriter, r *http.Request) {
		time.Sleep(d*3/4 + rand.N(d/2))
		fmt.Fprint(w, "done ", r.Header.Get("X-Request-Id"))
	}
}
