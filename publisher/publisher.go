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
	// HeartbeatInterval is the maximum time between messages in each direction.
	HeartbeatInterval = 300 * time.Millisecond
	// SilenceTimeout is the time without a message after which a connection is
	// closed.
	SilenceTimeout = 900 * time.Millisecond
	// SettleTime is how long after its start a publisher waits for nodes to
	// announce themselves before it reports a list of servers as complete.
	SettleTime = 6 * time.Second
	// maxSteps bounds the steps that are kept.
	maxSteps = 256
	// maxLagging bounds the nodes that a RevisionSummary names.
	maxLagging = 20
)

// Confirmer confirms that the local state is up to date.
type Confirmer interface {
	// ReadIndex returns nil once the local state contains everything that a
	// quorum had accepted at the time of the call.
	ReadIndex(ctx context.Context) error
}

// Config holds the dependencies of a publisher.
type Config struct {
	Replica   waxwingseam.ReplicaID
	Historian historian.Historian
	Confirmer Confirmer
	// Step passes an event to the registrar's reducer.
	Step func(build func(waxwingseam.Stamp) waxwingseam.Event)
	// Peers returns the number of other control replicas; nil means none.
	Peers func() int
	// Replicas returns the addresses of all control replicas, which are sent to
	// the watching nodes; nil if they are not sent.
	Replicas func() []netip.AddrPort
	// Endings stores the endings of backend servers; nil keeps them in memory only.
	// Recovered are those that it held at the start.
	Endings   waxwingseam.EndingJournal
	Recovered []waxwingseam.EndingsMessage
	Logger    *slog.Logger
	// FirstStart is set at the first start of the whole system, before which no node has spent
	// a part of a retry budget.
	FirstStart bool
}

// Publisher serves the watchers of one control replica. It executes the
// registrar's effects.
type Publisher interface {
	// Publish sends an update to the watchers. It may be called while the
	// historian is locked.
	Publish(u historian.Update)
	// Kinds and Execute handle the registrar's effects.
	Kinds() []waxwingseam.Kind
	Execute(e waxwingseam.Effect)
	// MarkPeerComplete records that another control replica has listed all its
	// servers.
	MarkPeerComplete(address string)
	// AddEndings adds endings that another control replica sent; complete is set if it
	// has sent all that it knows.
	AddEndings(peer string, all map[waxwingseam.ServerName][]waxwingseam.Ending, complete bool)
	// AddRetryUses adds what nodes have stated to another control replica of their use of
	// retry budgets; covered is set if the replica has sent all that it knows, which is
	// complete for that time.
	AddRetryUses(peer string, uses map[waxwingseam.ServerName]ServerRetryUse, covered time.Duration)
	// RetryUse returns what the node of a server has stated last; false if it has not.
	RetryUse(server waxwingseam.ServerName) (ServerRetryUse, bool)
	// StoreEndings adds endings of a server that does not watch the replica, or whose node
	// can't reach it. It returns once the journal has them, or an error when the context
	// ends before. Endings that are older than registrar.EndingTime are refused.
	StoreEndings(ctx context.Context, m *waxwingseam.EndingsMessage) (*EndingsStored, error)
	// Endings returns the known endings of a server.
	Endings(server waxwingseam.ServerName) []waxwingseam.Ending
	// Watch serves one watcher over a stream of Reports and Pushes.
	Watch(stream drpc.Stream) error
	// Serve confirms the local state regularly and on request, and writes endings, until
	// the context ends.
	Serve(ctx context.Context) error
	// Summary summarizes the revisions that the watching nodes hold.
	Summary() RevisionSummary
	// Registrations returns the table of servers, ordered by name.
	Registrations() []waxwingseam.Registration
	// Quarantined returns the requests that watching nodes refuse, ordered by digest.
	Quarantined() []waxwingseam.QuarantinedRequest
	// AccountUsage returns the use of client accounts over the watching nodes.
	AccountUsage() UsageSummary
	// OrderQuarantine passes an operator's decision to the watching nodes and returns their
	// number.
	OrderQuarantine(o waxwingseam.QuarantineOrder) (nodes int)
	// Watchers returns the nodes that watch the replica, ordered by name.
	Watchers() []Watcher
}

// Watcher is a node that watches the replica, and the revision that it holds.
type Watcher struct {
	// Server is empty if the node has not announced a backend server.
	Server   waxwingseam.ServerName `json:"server"`
	Revision waxwingseam.Revision   `json:"revision"`
}

type publisher struct {
	config  Config
	batcher *batcher

	mu            sync.Mutex
	head          historian.Update
	packed        []byte
	steps         []Step
	table         map[waxwingseam.ServerName]waxwingseam.Registration
	services      map[waxwingseam.ServiceName]map[waxwingseam.ServerName]struct{}
	sessions      map[*session]struct{}
	completePeers map[string]struct{}
	endings       endings
	retryUses     retryUses
	started       time.Time
	// usage is the sum at usageAt that is sent to other replicas.
	usage   UsageSummary
	usageAt time.Time
}

// New returns a publisher without watchers.
func New(config Config) Publisher {
	if config.Peers == nil {
		config.Peers = func() int { return 0 }
	}
	p := &publisher{
		config:        config,
		batcher:       newBatcher(config.Confirmer),
		table:         map[waxwingseam.ServerName]waxwingseam.Registration{},
		services:      map[waxwingseam.ServiceName]map[waxwingseam.ServerName]struct{}{},
		sessions:      map[*session]struct{}{},
		completePeers: map[string]struct{}{},
		endings:       newEndings(config.Recovered),
		retryUses:     newRetryUses(time.Now(), config.FirstStart),
		started:       time.Now(),
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
		p.steps = append(p.steps, Step{Revision: u.Set.Revision, Digest: u.Digest, Change: u.Change.WithoutKeys()})
		p.steps = p.steps[max(0, len(p.steps)-maxSteps):]
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
		p.updateServers(v)
	case waxwingseam.ServerSuperseded:
		p.notifySuperseded(v)
	}
}

// notifySuperseded sends a node its latest known incarnation.
func (p *publisher) notifySuperseded(e waxwingseam.ServerSuperseded) {
	p.config.Logger.Warn("a node announced an earlier incarnation than before", "server", e.Server, "known", e.Incarnation)
	for s := range p.sessions {
		if s.server == e.Server {
			s.latestIncarnation = e.Incarnation
			s.wake()
		}
	}
}

// updateServers applies changes to the table of servers.
func (p *publisher) updateServers(changed waxwingseam.ServersChanged) {
	now := time.Now()
	for _, v := range changed.Present {
		p.addServer(v)
		p.retryUses.updateServer(now, v.Announcement.Server, true)
		p.markDirty(v)
	}
	for _, v := range changed.Gone {
		p.removeServer(v)
		p.retryUses.updateServer(now, v.Announcement.Server, false)
		p.markDirty(v)
	}
}

// addServer adds or replaces a registration in the table.
func (p *publisher) addServer(v waxwingseam.Registration) {
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

// removeServer removes a registration from the table.
func (p *publisher) removeServer(v waxwingseam.Registration) {
	server := v.Announcement.Server
	delete(p.table, server.Name)
	delete(p.services[server.Service], server.Name)
}

// markDirty marks a registration as changed for all sessions that cover it.
func (p *publisher) markDirty(v waxwingseam.Registration) {
	for s := range p.sessions {
		if s.covers(v) {
			s.dirty[v.Announcement.Server.Name] = v.Announcement
			s.wake()
		}
	}
}

// MarkPeerComplete implements Publisher.
func (p *publisher) MarkPeerComplete(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.completePeers[address] = struct{}{}
}

// ownServersComplete reports whether the replica has run long enough for its own
// nodes to have announced themselves.
func (p *publisher) ownServersComplete() bool {
	return time.Since(p.started) >= SettleTime
}

// allServersComplete reports whether the servers of this replica and of all others
// are known. Once OrphanTime has passed since the start, other replicas are ignored.
func (p *publisher) allServersComplete() bool {
	if time.Since(p.started) >= registrar.OrphanTime {
		return true
	}
	return p.ownServersComplete() && len(p.completePeers) >= p.config.Peers()
}

// Summary implements Publisher.
func (p *publisher) Summary() RevisionSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.summary()
}

func (p *publisher) summary() RevisionSummary {
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
	ctx, cancel := context.WithCancel(ctx)
	var writer sync.WaitGroup
	defer writer.Wait()
	defer cancel()
	if p.config.Endings != nil {
		writer.Go(func() { p.writeEndings(ctx) })
	}
	return p.batcher.serve(ctx)
}
