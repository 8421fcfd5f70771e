package assembler

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/runner"
)

// routeTimeout bounds the wait for the node's answer to a question.
const routeTimeout = time.Second

// routeAsker asks a node where requests would go. It carries out ExplainRoute.
type routeAsker struct {
	runner *runner.Runner

	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan waxwingseam.Route
}

func newRouteAsker(r *runner.Runner) *routeAsker {
	a := &routeAsker{runner: r, waiting: map[uint64]chan waxwingseam.Route{}}
	r.Attach(a)
	return a
}

// Kinds implements runner.Executor.
func (a *routeAsker) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{waxwingseam.KindExplainRoute}
}

// Execute implements runner.Executor.
func (a *routeAsker) Execute(e waxwingseam.Effect) {
	v := e.(waxwingseam.ExplainRoute)
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer, ok := a.waiting[v.ID]; ok {
		delete(a.waiting, v.ID)
		answer <- v.Route
	}
}

// ServeHTTP answers a question with a waxwingseam.Route. The query names the service, host,
// method, path and account of the request.
func (a *routeAsker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	answer := make(chan waxwingseam.Route, 1)
	a.mu.Lock()
	a.last++
	id := a.last
	a.waiting[id] = answer
	a.mu.Unlock()
	a.runner.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.RouteAsked{
			Stamp: s,
			ID:    id,
			Request: waxwingseam.Request{
				Service: waxwingseam.ServiceName(query.Get("service")),
				Host:    query.Get("host"),
				Method:  query.Get("method"),
				Path:    query.Get("path"),
			},
			Account: waxwingseam.AccountName(query.Get("account")),
		}
	})
	timer := time.NewTimer(routeTimeout)
	defer timer.Stop()
	select {
	case route := <-answer:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(route)
	case <-r.Context().Done():
	case <-timer.C:
		http.Error(w, "the node gave no answer in time", http.StatusServiceUnavailable)
	}
	a.mu.Lock()
	delete(a.waiting, id)
	a.mu.Unlock()
}
