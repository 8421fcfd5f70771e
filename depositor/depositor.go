// Package depositor records the endings of a node's backend server outside the node, which has
// no disk, and holds those of other nodes for them.
package depositor

import (
	"cmp"
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/registrar"
)

const (
	// holderCount is the number of nodes that an ending is sent to, besides control.
	holderCount = 3
	// depositTime is how long a report waits for control and for one of these nodes. A report
	// must be answered within 1 s.
	depositTime = 700 * time.Millisecond
	// remindInterval is the time between two messages of a holder to the node. It is less
	// than the time for which a started node keeps reports back.
	remindInterval = 250 * time.Millisecond
	// minSendTime and maxSendTime bound the wait for a connection to a node that is reminded,
	// and that for its answer. The wait begins short, since a node that has restarted does
	// not answer on the connection of before, and doubles up to the time that a handshake
	// takes on a long link or a busy host.
	minSendTime = remindInterval
	maxSendTime = 2 * time.Second
	// remindTime is how long a holder sends them. Backend servers that leave serve for
	// seconds, and their heartbeats are late by seconds.
	remindTime = 2 * time.Minute
	// maxHeldServers bounds the backend servers whose endings a node holds, each with a
	// connection. If all servers of a deployment leave at once, a node holds three on average.
	maxHeldServers = 200
)

// Config holds the dependencies of a depositor.
type Config struct {
	Self waxwingseam.Server
	// Servers returns the backend servers that the node knows.
	Servers func() []waxwingseam.Server
	// RecordAtControl returns nil once the watched control replica has stored an ending of
	// the node's own backend server.
	RecordAtControl func(ctx context.Context, e waxwingseam.Ending) error
	// Replicas returns the addresses of the known control replicas, the watched one first.
	// Connected is unset while none is watched.
	Replicas func() (replicas []netip.AddrPort, connected bool)
	// Dial opens a connection to another node.
	Dial func(ctx context.Context, node netip.AddrPort) (Conn, error)
	// Step passes an event to the node's reducer.
	Step   func(build func(waxwingseam.Stamp) waxwingseam.Event)
	Logger *slog.Logger
}

// Conn is a connection to another node.
type Conn = drpc.Conn

// Depositor records endings outside the node. It executes RecordEnding.
type Depositor struct {
	config Config

	mu      sync.Mutex
	request uint64
	// waiting holds the callers of Record by request.
	waiting map[uint64]chan error
	held    map[waxwingseam.ServerName]heldEndings
	// storing holds the endings that control has not stored yet. The channel is closed once
	// it has.
	storing map[incarnation]chan struct{}
	// passedOn are the node's own endings that other nodes told of and control was sent.
	passedOn registrar.Endings
	// stopped is closed when the depositor stops to send.
	stopped chan struct{}
}

// heldEndings are the endings of another node's backend server.
type heldEndings struct {
	node    netip.AddrPort
	endings registrar.Endings
	// until is when the node is reminded last.
	until time.Time
}

// New returns a depositor without endings.
func New(config Config) *Depositor {
	return &Depositor{
		config:  config,
		waiting: map[uint64]chan error{},
		held:    map[waxwingseam.ServerName]heldEndings{},
		storing: map[incarnation]chan struct{}{},
		stopped: make(chan struct{}),
	}
}

// Report passes a report to the reducer, and waits until an ending that it tells is recorded.
func (d *Depositor) Report(ctx context.Context, r waxwingseam.BackendReport) error {
	if r.State == waxwingseam.BackendReady {
		d.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.BackendReported{Stamp: s, Report: r}
		})
		return nil
	}
	if other, ok := d.otherServer(r.Instance); ok && r.State == waxwingseam.BackendGone {
		return d.passOn(other, r)
	}
	recorded := make(chan error, 1)
	d.mu.Lock()
	d.request++
	request := d.request
	d.waiting[request] = recorded
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.waiting, request)
		d.mu.Unlock()
	}()
	d.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.BackendReported{Stamp: s, Report: r, Request: request}
	})
	select {
	case err := <-recorded:
		return err
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Unstored returns the number of incarnations whose ending control has not stored yet.
func (d *Depositor) Unstored() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.storing)
}

// Kinds implements runner.Executor.
func (d *Depositor) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{waxwingseam.KindRecordEnding}
}

// Execute implements runner.Executor.
func (d *Depositor) Execute(e waxwingseam.Effect) {
	v, ok := e.(waxwingseam.RecordEnding)
	if !ok {
		return
	}
	d.mu.Lock()
	recorded := d.waiting[v.Request]
	d.mu.Unlock()
	if recorded == nil {
		recorded = make(chan error, 1)
	}
	if v.Ending == (waxwingseam.Ending{}) {
		recorded <- trace.BadParameter("the report is older than the state of the backend server, or incomplete")
		return
	}
	go func() { recorded <- d.deposit(v.Ending) }()
}

// deposit sends an ending of the node's own backend server to control and to other nodes. It
// returns nil once the ending is recorded.
func (d *Depositor) deposit(e waxwingseam.Ending) error {
	message := &waxwingseam.EndingsMessage{Server: d.config.Self.Name, Node: d.config.Self.Node, Endings: []waxwingseam.Ending{e}}
	return d.record(message, func(ctx context.Context) error { return d.config.RecordAtControl(ctx, e) }, nil)
}

// passOn records the leave of a backend server beside another node, which did not acknowledge
// it. The other node is told as if this one had held the ending for it.
func (d *Depositor) passOn(other waxwingseam.Server, r waxwingseam.BackendReport) error {
	e := waxwingseam.Ending{Instance: r.Instance, Started: r.Started, At: time.Now()}
	if e.Started.IsZero() {
		e.Started = other.Started
	}
	message := &waxwingseam.EndingsMessage{Server: other.Name, Node: other.Node, Endings: []waxwingseam.Ending{e}}
	return d.record(message, nil, []recordWay{
		func(ctx context.Context) error { _, err := d.Hold(ctx, message); return err },
		func(ctx context.Context) error { return d.invoke(ctx, other.Node, methodRemind, message) },
	})
}

// otherServer returns the server beside another node that has announced an instance, unless
// the node's own server has announced it too.
func (d *Depositor) otherServer(instance string) (other waxwingseam.Server, ok bool) {
	for _, s := range d.config.Servers() {
		switch {
		case s.Instance != instance || !s.Node.IsValid():
		case s.Name == d.config.Self.Name:
			return waxwingseam.Server{}, false
		default:
			other, ok = s, true
		}
	}
	return other, ok
}

// recordWay records endings somewhere outside the node.
type recordWay func(context.Context) error

// record has an ending stored by control, for which watched is a way if it is not nil, sends
// it to other nodes, and runs further ways to have these hold it. It returns nil once the ending
// is recorded.
func (d *Depositor) record(m *waxwingseam.EndingsMessage, watched recordWay, ways []recordWay) error {
	ctx, cancel := context.WithTimeout(context.Background(), depositTime)
	for _, to := range d.holders(m.Server) {
		ways = append(ways, func(ctx context.Context) error { return d.invoke(ctx, to, methodHold, m) })
	}
	var group sync.WaitGroup
	atNodes := make(chan error, len(ways))
	for _, way := range ways {
		group.Go(func() { atNodes <- way(ctx) })
	}
	stored := d.store(m, watched)
	// What is still on its way when the ending is recorded goes on.
	go func() { group.Wait(); cancel() }()
	return d.await(m.Server, stored, len(ways), atNodes)
}

// await waits until control has stored an ending of a server and, unless that takes too long,
// one of a number of nodes holds it. Nodes have no disk: what only they hold is lost when they
// end, in whatever way.
func (d *Depositor) await(server waxwingseam.ServerName, stored <-chan struct{}, nodes int, atNodes <-chan error) error {
	timer := time.NewTimer(depositTime)
	defer timer.Stop()
	held := false
	for stored != nil || !held && nodes > 0 {
		select {
		case <-stored:
			stored = nil
		case err := <-atNodes:
			nodes--
			held = held || err == nil
		case <-timer.C:
			if stored == nil {
				return nil
			}
			d.config.Logger.Warn("the end of a backend server is not acknowledged until control has stored it", "server", server, "held", held)
			return trace.ConnectionProblem(nil, "control has not stored the end of the backend server yet")
		}
	}
	return nil
}

// holders returns the addresses of the nodes to which endings are sent: those with the highest
// hash of both names.
func (d *Depositor) holders(server waxwingseam.ServerName) []netip.AddrPort {
	type candidate struct {
		hash uint64
		node netip.AddrPort
	}
	var list []candidate
	for _, s := range d.config.Servers() {
		if s.Name != d.config.Self.Name && s.Name != server && s.Node.IsValid() {
			list = append(list, candidate{xxhash.Sum64String(string(server) + " " + string(s.Name)), s.Node})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	list = list[:min(len(list), holderCount)]
	out := make([]netip.AddrPort, len(list))
	for i, v := range list {
		out[i] = v.node
	}
	return out
}
