// Package proposer runs one replica of the replicated log: it passes events to
// the reducer, persists the replica's state, exchanges messages with the other
// replicas and applies committed commands to the state machine.
package proposer

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/journaler"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/replicator"
)

// Defaults of the fields of Config.
const (
	DefaultTick           = 50 * time.Millisecond
	DefaultLeaderTimeout  = 3 * time.Second
	DefaultRequestTimeout = 5 * time.Second
	DefaultMessageTimeout = 500 * time.Millisecond
	DefaultJoinTime       = 4 * time.Second
)

// The parts of Config.JoinTime, as divisors. A join takes as long as the election of a
// leader, if there is none, then up to two requests, the transfer of the log and the
// promotion.
const (
	joinRequestPart  = 4
	joinIntervalPart = 16
)

// MaxCommandBytes is the maximum size of a command.
const MaxCommandBytes = 2 << 20

// Config holds the settings and components of a replica. Durations of 0 are
// replaced by the defaults; without a Logger nothing is logged.
type Config struct {
	// DataFolder is the path of the folder with the replica's files.
	DataFolder string
	// Disk replaces the data folder if it is set.
	Disk waxwingseam.Disk
	// Self is the replica's name, unique in the cluster.
	Self waxwingseam.ReplicaID
	// Address is the address at which the other replicas reach the messenger.
	Address netip.AddrPort
	// Join lists the addresses of replicas to which join requests are sent.
	Join []netip.AddrPort
	// Voter is set if the replica is to vote once it has all committed entries.
	Voter bool
	// Founders lists the addresses of the first replicas of a cluster that is
	// founded without an operator; otherwise it is empty. All founders must be
	// given the same list, and it must be given only at the first start of the
	// whole system. Self must then be ReplicaIDFromAddress(Address).
	Founders []netip.AddrPort
	// Rejoin is set if a replica that was removed from the cluster is to empty
	// its data folder and join again.
	Rejoin bool
	// Messenger serves the replica's methods.
	Messenger *messenger.Server
	Dialer    messenger.Dialer
	Logger    *slog.Logger
	// Applier is the state machine. Only New and the goroutine of Serve call it.
	Applier waxwingseam.Applier
	// Tick is the duration of a tick of the reducer.
	Tick time.Duration
	// LeaderTimeout limits how long a request waits for a leader.
	LeaderTimeout time.Duration
	// RequestTimeout limits a request to the leader and the transfer of one
	// snapshot part.
	RequestTimeout time.Duration
	// JoinTime is the time in which a replica with an empty data folder is to
	// join while a quorum runs. It determines the limit of one join request,
	// including the dial, and the time between two requests to one replica.
	JoinTime time.Duration
	// MessageTimeout limits each delivery to another replica, and each dial that
	// is not part of a join request. A connection on which a delivery exceeds it
	// is closed and replaced.
	MessageTimeout time.Duration
	// Replicator holds the limits of the reducer; its Identity and Recovery are
	// overwritten with those from the data folder.
	Replicator replicator.Config
}

func (c Config) withDefaults() Config {
	if c.Tick == 0 {
		c.Tick = DefaultTick
	}
	if c.RequestTimeout == 0 {
		c.RequestTimeout = DefaultRequestTimeout
	}
	if c.MessageTimeout == 0 {
		c.MessageTimeout = DefaultMessageTimeout
	}
	if c.JoinTime == 0 {
		c.JoinTime = DefaultJoinTime
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.LeaderTimeout == 0 {
		c.LeaderTimeout = DefaultLeaderTimeout
	}
	return c
}

// joinRequestTimeout limits one join request, including the dial.
func (c Config) joinRequestTimeout() time.Duration {
	return c.JoinTime / joinRequestPart
}

// joinInterval is the time between an answer to a join request and the next request to the
// same replica.
func (c Config) joinInterval() time.Duration {
	return c.JoinTime / joinIntervalPart
}

// handoverTimeout returns how long a stopping leader waits for the next leader.
func (c Config) handoverTimeout() time.Duration {
	return time.Duration(cmp.Or(c.Replicator.ElectionTicks, replicator.DefaultElectionTicks)) * c.Tick
}

type proposer struct {
	config  Config
	disk    waxwingseam.Disk
	journal waxwingseam.Journal
	reducer waxwingseam.Replicator
	inbox   chan eventFunc
	links   *links
	stamper stamper
	done    chan struct{}
	// held are the effects that wait for the journal. stalledSince is when the disk was found
	// full; zero while it has room. handoverAsked is when the replica last tried to leave the
	// lead since then, and lastWrite when it last wrote. Only the goroutine of Serve uses them.
	held          heldEffects
	stalledSince  time.Time
	handoverAsked time.Time
	lastWrite     time.Time

	mu            sync.Mutex
	status        waxwingseam.ReplicaStatus
	statusChanged chan struct{}
	requests      map[waxwingseam.RequestID]chan<- answer
	lastID        waxwingseam.RequestID
	incoming      incomingSnapshot
}

// inboxSize is the capacity of the event queue; enqueue blocks while it is full.
const inboxSize = 1024

func (c Config) openDisk() (waxwingseam.Disk, error) {
	if c.Disk != nil {
		return c.Disk, nil
	}
	return journaler.OpenFolder(c.DataFolder)
}

// New opens the data folder and registers the replica's methods with the
// messenger. The replica processes no events before Serve.
func New(config Config) (waxwingseam.Proposer, error) {
	config = config.withDefaults()
	p := &proposer{
		config:        config,
		inbox:         make(chan eventFunc, inboxSize),
		stamper:       newStamper(),
		done:          make(chan struct{}),
		statusChanged: make(chan struct{}),
		requests:      map[waxwingseam.RequestID]chan<- answer{},
	}
	p.status.Self.Replica = config.Self
	if err := p.open(); err != nil {
		return nil, err
	}
	if err := config.Messenger.Register(p, methods); err != nil {
		return nil, trace.Wrap(err)
	}
	return p, nil
}

// open opens the data folder and recovers the replica from it. A founder
// formats an unformatted folder here; any other replica formats it when it
// joins, in Serve.
func (p *proposer) open() error {
	disk, err := p.config.openDisk()
	if err != nil {
		return err
	}
	p.disk = disk
	formatted, err := journaler.Formatted(disk)
	if err == nil && !formatted && slices.Contains(p.config.Founders, p.config.Address) {
		err = p.formatAsFounder()
		formatted = true
	}
	if err == nil && formatted {
		err = p.recover()
	}
	if err != nil {
		return trace.NewAggregate(err, disk.Close())
	}
	return nil
}

// recover opens the journal, restores the state machine from the snapshot and
// creates the reducer.
func (p *proposer) recover() error {
	journal, recovery, err := journaler.Open(p.disk)
	if err != nil {
		return err
	}
	identity := journal.Identity()
	if identity.Replica != p.config.Self {
		return trace.BadParameter("the data folder belongs to replica %q, not to %q", identity.Replica, p.config.Self)
	}
	if recovery.Snapshot.Index > 0 {
		if err := p.config.Applier.Restore(recovery.Snapshot.Data); err != nil {
			return trace.Wrap(err, "restoring the snapshot")
		}
	}
	config := p.config.Replicator
	config.Identity = identity
	config.Recovery = recovery
	p.journal = journal
	p.reducer = replicator.New(config)
	p.links = newLinks(p.config, identity)
	p.links.onMismatch = p.reportMismatch
	p.links.onSnapshotFailure = p.reportSnapshotFailure
	p.publish()
	for _, m := range p.status.Members {
		p.links.updatePeer(m.Member)
	}
	p.config.Logger.Info("replica opened",
		"cluster", identity.Cluster, "storage", identity.Storage,
		"snapshot", recovery.Snapshot.Index, "entries", len(recovery.Entries))
	return nil
}

// Serve implements waxwingseam.Proposer.
func (p *proposer) Serve(ctx context.Context) error {
	defer close(p.done)
	defer p.failRequests()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		err := p.serveMember(ctx)
		if !p.config.Rejoin || !errors.Is(err, errRemoved) || ctx.Err() != nil {
			return err
		}
		p.config.Logger.Warn("replica removed from the cluster; emptying the data folder to join again")
		if err := p.eraseData(); err != nil {
			return err
		}
	}
}

// serveMember joins the cluster if the data folder is not formatted, and runs
// the replica.
func (p *proposer) serveMember(ctx context.Context) error {
	if p.reducer == nil {
		if err := p.join(ctx); err != nil {
			return trace.NewAggregate(err, p.disk.Close())
		}
	}
	announceCtx, stop := context.WithCancel(ctx)
	defer stop()
	announceErrors := make(chan error, 1)
	go func() { announceErrors <- p.announce(announceCtx) }()
	err := p.run(ctx, announceErrors)
	p.links.close()
	if closeErr := p.journal.Close(); closeErr != nil {
		return trace.NewAggregate(err, closeErr)
	}
	return err
}

// eraseData empties the data folder and resets the replica's status.
func (p *proposer) eraseData() error {
	disk, err := p.config.openDisk()
	if err != nil {
		return err
	}
	p.disk = disk
	p.reducer = nil
	// What the removed replica could not store is not of the one that joins.
	p.held, p.stalledSince, p.handoverAsked = heldEffects{}, time.Time{}, time.Time{}
	p.mu.Lock()
	p.status = waxwingseam.ReplicaStatus{Self: waxwingseam.Member{Replica: p.config.Self}}
	p.mu.Unlock()
	return journaler.Erase(disk)
}

// Status implements waxwingseam.Proposer.
func (p *proposer) Status() waxwingseam.ReplicaStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

// publish updates the status from the reducer and wakes the goroutines that
// wait for a change of the status.
func (p *proposer) publish() {
	status := p.reducer.Status()
	if status.Leader == "" {
		status.Refused = waxwingseam.ReasonNoQuorum
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if status.DiskFull = p.stalled(); status.DiskFull {
		// Entries that are held are not applied yet.
		status.Applied = p.status.Applied
	}
	if status.Leader != p.status.Leader || status.Term != p.status.Term {
		p.config.Logger.Info("leadership changed",
			"role", status.Role, "term", status.Term, "leader", status.Leader)
	}
	p.status = status
	close(p.statusChanged)
	p.statusChanged = make(chan struct{})
}

// setRefused records in the status why the replica has not joined.
func (p *proposer) setRefused(reason waxwingseam.ReplicaReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status.Refused = reason
}

// watch returns the status and a channel that is closed at its next update.
func (p *proposer) watch() (waxwingseam.ReplicaStatus, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status, p.statusChanged
}
