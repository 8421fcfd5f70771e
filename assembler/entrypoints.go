package assembler

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"

	"waxwingseam.example/waxwingseam"
)

// EntryPoint describes a node that callers may call.
type EntryPoint struct {
	Address    netip.AddrPort         `json:"address"`
	DataCentre waxwingseam.DataCentre `json:"data-centre"`
	Leaving    bool                   `json:"leaving,omitempty"`
}

// entryPoints collects the known nodes and serves a list of them.
type entryPoints struct {
	mu      sync.Mutex
	servers map[waxwingseam.ServerName]waxwingseam.Server
}

func newEntryPoints() *entryPoints {
	return &entryPoints{servers: map[waxwingseam.ServerName]waxwingseam.Server{}}
}

// Observe implements runner.Observer.
func (p *entryPoints) Observe(e waxwingseam.Event, _ []waxwingseam.Effect) {
	v, ok := e.(waxwingseam.ServersUpdated)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range v.Servers {
		p.servers[s.Name] = s
	}
	for _, name := range v.Gone {
		delete(p.servers, name)
	}
}

// ServeHTTP lists the known entry points, with those that are leaving last.
func (p *entryPoints) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.list())
}

func (p *entryPoints) list() []EntryPoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]EntryPoint, 0, len(p.servers))
	for s := range maps.Values(p.servers) {
		list = append(list, EntryPoint{
			Address:    s.EntryPoint,
			DataCentre: s.DataCentre,
			Leaving:    s.Leaving,
		})
	}
	slices.SortFunc(list, func(a, b EntryPoint) int {
		if a.Leaving == b.Leaving {
			return a.Address.Compare(b.Address)
		}
		if a.Leaving {
			return 1
		}
		return -1
	})
	return list
}
