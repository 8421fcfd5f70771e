// Package publisher pushes accepted revisions and changes to the table of
// servers from a control replica to the nodes that watch it.
package publisher

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/registrar"
)

const (
	// HeartbeatInterval is the longest time without a message in either direction.
	HeartbeatInterval = 300 * time.Millisecond
	// SilenceTimeout is the time without a message after which a connection is left.
	SilenceTimeout = 900 * time.Millisecond
	// SettleTime is the time after its start for which a publisher does not
	// claim to know all servers.
	SettleTime = 6 * time.Second
	// keptSteps bounds the revisions that go out as steps.
	keptSteps = 256
	// maxLagging bounds the nodes that a RevisionSummary names.
	maxLagging = 20
)

// Confirmer tells whether the local state is up to date.
type Confirmer interface {
	// ReadIndex returns nil once the local state holds all that a quorum had
	// accepted when it was called.
	ReadIndex(ctx context.Context) error
}

// Config holds the parts of a publisher.
type Config struct {
	Replica   waxwingseam.ReplicaID
	Historian historian.Historian
	Confirmer Confirmer
	// Step feeds the registrar's reducer.
	Step func(build func(waxwingseam.Stamp) waxwingseam.Event)
	// Peers counts the other control replicas; nil for none.
	Peers func() int
	// Replicas lists the addresses of all of them, for the watchers; nil for
	// none.
	Replicas func() []netip.AddrPort
	Logger   *slog.Logger
}

// Publisher serves the watchers of one control replica. It executes the
// registrar's effects.
type Publisher interface {
	// Publish takes in an accepted revision; it may be called with the
	// historian locked.
	Publish(u historian.Update)
	// Kinds and Execute take in the registrar's effects.
	Kinds() []waxwingseam.Kind
	Execute(e waxwingseam.Effect)
	// MarkPeerComplete records that another control replica has listed all its
	// servers.
	MarkPeerComplete(address string)
	// Watch serves one watcher over a stream of Reports and Pushes.
	Watch(stream drpc.Stream) error
	// Serve confirms the state for starting nodes until the context ends.
	Serve(ctx context.Context) error
	// Summary summarizes the revisions that the watching nodes hold.
	Summary() RevisionSummary
	// Registrations returns the table of servers in order of names.
	Registrations() []waxwingseam.Registration
	// Watchers lists the revision that each watching node holds, by name.
	Watchers() []Watcher
}

// Watcher is a node that watches the replica.
type Watcher struct {
	Server   waxwingseam.ServerName `json:"server"`
	Revision waxwingseam.Revision   `json:"revision"`
}

type publisher struct {
	config    Config
	confirmed *batch

	mu       sync.Mutex
	head     historian.Update
	packed   []byte
	steps    []Step
	table    map[waxwingseam.ServerName]waxwingseam.Registration
	services map[waxwingseam.ServiceName]map[waxwingseam.ServerName]struct{}
	sessions map[*session]struct{}
	heard    map[string]struct{}
	started  time.Time
}

// New returns a publisher without watchers.
func New(config Config) Publisher {
	if config.Peers == nil {
		config.Peers = func() int { return 0 }
	}
	p := &publisher{
		config:    config,
		confirmed: newBatch(config.Confirmer),
		table:     map[waxwingseam.ServerName]waxwingseam.Registration{},
		services:  map[waxwingseam.ServiceName]map[waxwingseam.ServerName]struct{}{},
		sessions:  map[*session]struct{}{},
		heard:     map[string]struct{}{},
		started:   time.Now(),
	}
	p.head.Set, p.head.Digest = config.Historian.Head()
	return p
}

// Publish implements Publisher.
func (p *publisher) Publish(u historian.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	follows := p.head.Set != nil && u.Set.Revision == p.head.Set.Revision+1
	p.head, p.packed = u, nil
	if !follows {
		p.steps = nil
	} else {
		p.steps = append(p.steps, Step{Revision: u.Set.Revision, Digest: u.Digest, Change: u.Change})
		p.steps = p.steps[max(0, len(p.steps)-keptSteps):]
	}
	for s := range p.sessions {
		s.wake()
	}
}

// Kinds implements Publisher.
func (p *publisher) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{waxwingseam.KindServersChanged, waxwingseam.KindServerSuperseded}
}

// Execute implements Publisher.
func (p *publisher) Execute(e waxwingseam.Effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch v := e.(type) {
	case waxwingseam.ServersChanged:
		p.change(v)
	case waxwingseam.ServerSuperseded:
		p.outlive(v)
	}
}

// outlive tells a node that it was refused for an earlier incarnation.
func (p *publisher) outlive(e waxwingseam.ServerSuperseded) {
	p.config.Logger.Warn("a node announced an earlier incarnation than it had before", "server", e.Server, "known", e.Incarnation)
	for s := range p.sessions {
		if s.server == e.Server {
			s.outlived = e.Incarnation
			s.wake()
		}
	}
}

// change puts changes to the servers into the table.
func (p *publisher) change(changed waxwingseam.ServersChanged) {
	for _, v := range changed.Present {
		p.enter(v)
		p.touch(v)
	}
	for _, v := range changed.Gone {
		p.strike(v)
		p.touch(v)
	}
}

// enter puts a registration into the table.
func (p *publisher) enter(v waxwingseam.Registration) {
	server := v.Announcement.Server
	if before, ok := p.table[server.Name]; ok {
		delete(p.services[before.Announcement.Server.Service], server.Name)
	}
	p.table[server.Name] = v
	if p.services[server.Service] == nil {
		p.services[server.Service] = map[waxwingseam.ServerName]struct{}{}
	}
	p.services[server.Service][server.Name] = struct{}{}
}

// strike takes a registration out of the table.
func (p *publisher) strike(v waxwingseam.Registration) {
	server := v.Announcement.Server
	delete(p.table, server.Name)
	delete(p.services[server.Service], server.Name)
}

// touch marks a registration for all sessions that want to know.
func (p *publisher) touch(v waxwingseam.Registration) {
	for s := range p.sessions {
		if s.wants(v) {
			s.dirty[v.Announcement.Server.Name] = v.Announcement
			s.wake()
		}
	}
}

// MarkPeerComplete implements Publisher.
func (p *publisher) MarkPeerComplete(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[address] = struct{}{}
}

// knowsOwn reports whether the replica's own nodes have had the time to
// announce themselves since it started.
func (p *publisher) knowsOwn() bool {
	return time.Since(p.started) >= SettleTime
}

// knowsAll reports whether the other replicas' nodes are known as well. A
// replica that is out of reach for long is waited for no more.
func (p *publisher) knowsAll() bool {
	if time.Since(p.started) >= registrar.OrphanTime {
		return true
	}
	return p.knowsOwn() && len(p.heard) >= p.config.Peers()
}

// Summary implements Publisher.
func (p *publisher) Summary() RevisionSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holding()
}

func (p *publisher) holding() RevisionSummary {
	h := RevisionSummary{Replica: p.config.Replica, Revision: p.head.Set.Revision, Lowest: p.head.Set.Revision}
	for s := range p.sessions {
		if s.peer {
			continue
		}
		h.Nodes++
		h.Lowest = min(h.Lowest, s.reported.Revision)
		if s.reported.Revision >= h.Revision {
			h.Newest++
			continue
		}
		h.Lagging = append(h.Lagging, s.server)
	}
	slices.Sort(h.Lagging)
	h.Lagging = h.Lagging[:min(len(h.Lagging), maxLagging)]
	return h
}

// Registrations implements Publisher.
func (p *publisher) Registrations() []waxwingseam.Registration {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]waxwingseam.Registration, 0, len(p.table))
	for _, v := range p.table {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b waxwingseam.Registration) int {
		return strings.Compare(string(a.Announcement.Server.Name), string(b.Announcement.Server.Name))
	})
	return list
}

// Watchers implements Publisher.
func (p *publisher) Watchers() []Watcher {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Watcher, 0, len(p.sessions))
	for s := range p.sessions {
		if !s.peer {
			list = append(list, Watcher{Server: s.server, Revision: s.reported.Revision})
		}
	}
	slices.SortFunc(list, func(a, b Watcher) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return list
}

// Serve implements Publisher.
func (p *publisher) Serve(ctx context.Context) error {
	return p.confirmed.serve(ctx)
}
