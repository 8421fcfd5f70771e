// Package subscriber connects a node to control: it announces the node's backend
// server, and passes revisions and servers to the node's reducer.
package subscriber

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/publisher"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 500 * time.Millisecond
	// finalReportTimeout bounds the wait until the final report has been read.
	finalReportTimeout = 300 * time.Millisecond
	// minHealthyDuration is how long a connection must have lasted for the next
	// connection to be opened without a delay.
	minHealthyDuration = 2 * time.Second
	// returnAfter is the mean time before a node returns to its preferred
	// replica, randomized so that nodes do not return at the same time.
	returnAfter = 5 * time.Minute
	// unconfirmedLimit is the number of unconfirmed pushes in a row after which
	// a node leaves the replica for another one.
	unconfirmedLimit = 2
	// allUnconfirmedLimit replaces unconfirmedLimit once all replicas were left
	// because of unconfirmed pushes.
	allUnconfirmedLimit = 20
	// minBackoff and maxBackoff bound the mean delay before the next connection
	// is opened.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxEchoAge bounds the age of the report that a push answers, for the push to count
	// as news from control. It spans two heartbeats in each direction; an older one was
	// sent before this process was stopped.
	maxEchoAge = time.Second
)

// errUnconfirmed ends a connection to a replica that lags or has no quorum.
var errUnconfirmed = errors.New("replica cannot confirm its state")

// errReturn ends a connection to return to the preferred replica.
var errReturn = errors.New("returning to the preferred replica")

// Config holds the settings and dependencies of a subscriber.
type Config struct {
	// Control lists the addresses of control replicas, the preferred first.
	Control []netip.AddrPort
	Dialer  messenger.Dialer
	// Self is the backend server to announce; its name is empty in a process
	// without one.
	Self waxwingseam.Server
	// Services are the services whose servers are requested from the start.
	Services []waxwingseam.ServiceName
	// All is set to request the servers of all services.
	All bool
	// Step passes an event to the node's reducer.
	Step func(build func(waxwingseam.Stamp) waxwingseam.Event)
	// Tally returns the roots of client accounts to report; false if no report is due. It
	// may be nil.
	Tally  func() (waxwingseam.AccountTally, bool)
	Logger *slog.Logger
	// ReturnAfter is the mean time after which a node that watches another
	// replica returns to its preferred one; 0 means the default.
	ReturnAfter time.Duration
	// Seed seeds the random source of delays.
	Seed uint64
}

// Subscriber connects one node to control.
type Subscriber interface {
	// Run maintains a connection to a control replica until the context ends.
	Run(ctx context.Context) error
	// Announce replaces the announced description of the backend server.
	Announce(self waxwingseam.Server)
	// NoteQuarantine reports to control that the node refuses a request, or no longer.
	NoteQuarantine(r waxwingseam.QuarantinedRequest)
	// NoteRetryUse reports to control what the node has spent of its part of the slack of the
	// retry budget.
	NoteRetryUse(repeats int)
	// RecordEnding returns nil once the watched replica has an ending of the backend server.
	RecordEnding(ctx context.Context, e waxwingseam.Ending) error
	// Replicas returns the addresses of the known control replicas, the watched one first.
	// Connected is unset while none is watched.
	Replicas() (replicas []netip.AddrPort, connected bool)
	// Servers returns the known backend servers.
	Servers() []waxwingseam.Server
	// AddInterest adds a service whose servers are requested.
	AddInterest(service waxwingseam.ServiceName)
	// NoteRevision records that another node holds a revision. A higher revision
	// is fetched from that node if control does not send it in time. Without a
	// valid address, some of the known nodes are asked.
	NoteRevision(revision waxwingseam.Revision, node netip.AddrPort)
	// Held returns this node's set to another node.
	Held(ctx context.Context, q *HeldQuery) (*HeldAnswer, error)
	// Status returns the node's revision, its watched replica and the number of its
	// known servers.
	Status() Status
}

// Status describes a node's connection to control, its set and its known servers.
type Status struct {
	// Revision is the revision of the set in force; 0 if the node has no set yet.
	Revision waxwingseam.Revision `json:"revision"`
	// Control is the watched replica; the zero value if there is none.
	Control netip.AddrPort `json:"control"`
	// Servers counts the known backend servers.
	Servers int `json:"servers"`
}

type subscriber struct {
	config  Config
	woken   chan struct{}
	started time.Time

	// heldRevision equals held.Revision. NoteRevision, which runs for each arriving
	// attempt, reads it without the lock.
	heldRevision atomic.Uint64

	// adoptMu ensures that revisions reach the reducer in order.
	adoptMu sync.Mutex

	mu           sync.Mutex
	random       *rand.Rand
	held         *waxwingseam.Set
	digest       uint64
	announcement waxwingseam.Announcement
	interest     publisher.Interest
	servers      map[waxwingseam.ServerName]waxwingseam.Announcement
	gone         goneServers
	control      netip.AddrPort
	noted        notedRevision
	// quarantined holds the requests that the node refuses.
	quarantined map[waxwingseam.RequestDigest]waxwingseam.QuarantinedRequest
	endings     ownEndings
	// retryRepeats is the latest use of the retry budget, as of retryUsedAt.
	retryRepeats int
	retryUsedAt  time.Time
	// replicas are the control replicas in the latest push that listed any.
	replicas    []netip.AddrPort
	unconfirmed unconfirmedCounts
	// changed marks what the writer has to report.
	changed changes
}

// unconfirmedCounts counts unconfirmed pushes, and how often the subscriber left a
// replica because of them.
type unconfirmedCounts struct {
	// pushes counts the unconfirmed pushes in a row over this connection.
	pushes int
	// replicas counts how often a replica was left because of unconfirmed pushes
	// since a push was last confirmed.
	replicas int
}

// changes marks what has not been reported to the watched replica yet.
type changes struct {
	announcement bool
	interest     bool
	held         bool
	quarantine   bool
	endings      bool
	retryUse     bool
}

// New returns a subscriber without a set.
func New(config Config) Subscriber {
	if config.ReturnAfter == 0 {
		config.ReturnAfter = returnAfter
	}
	return &subscriber{
		config:       config,
		woken:        make(chan struct{}, 1),
		started:      time.Now(),
		random:       rand.New(rand.NewPCG(config.Seed, config.Seed)),
		held:         &waxwingseam.Set{},
		announcement: waxwingseam.Announcement{Server: config.Self},
		interest:     publisher.Interest{Services: slices.Clone(config.Services), All: config.All},
		servers:      map[waxwingseam.ServerName]waxwingseam.Announcement{},
		gone:         goneServers{},
		quarantined:  map[waxwingseam.RequestDigest]waxwingseam.QuarantinedRequest{},
		endings:      ownEndings{changed: make(chan struct{})},
	}
}

// Announce implements Subscriber.
func (s *subscriber) Announce(self waxwingseam.Server) {
	s.mu.Lock()
	s.announcement.Server = self
	s.announcement.Sequence++
	s.changed.announcement = true
	s.mu.Unlock()
	s.wake()
}

// AddInterest implements Subscriber.
func (s *subscriber) AddInterest(service waxwingseam.ServiceName) {
	s.mu.Lock()
	known := s.interest.All || slices.Contains(s.interest.Services, service)
	if !known {
		s.interest.Services = append(slices.Clone(s.interest.Services), service)
		s.changed.interest = true
	}
	s.mu.Unlock()
	if !known {
		s.wake()
	}
}

// NoteQuarantine implements Subscriber.
func (s *subscriber) NoteQuarantine(r waxwingseam.QuarantinedRequest) {
	s.mu.Lock()
	if r.State == waxwingseam.QuarantineLifted {
		delete(s.quarantined, r.Digest)
	} else {
		s.quarantined[r.Digest] = r
	}
	s.changed.quarantine = true
	s.mu.Unlock()
	s.wake()
}

// NoteRetryUse implements Subscriber.
func (s *subscriber) NoteRetryUse(repeats int) {
	s.mu.Lock()
	s.retryRepeats, s.retryUsedAt = repeats, time.Now()
	s.changed.retryUse = true
	s.mu.Unlock()
	s.wake()
}

// Status implements Subscriber.
func (s *subscriber) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{Revision: s.held.Revision, Control: s.control, Servers: len(s.servers)}
}

func (s *subscriber) wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// Run implements Subscriber.
func (s *subscriber) Run(ctx context.Context) error {
	go s.runCatchUp(ctx)
	backoff := minBackoff
	for i := 0; ctx.Err() == nil; i++ {
		started := time.Now()
		if s.watchReplica(ctx, i) {
			i = -1
		}
		if time.Since(started) > minHealthyDuration {
			backoff = minBackoff
			continue
		}
		s.sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// watchReplica watches control replica i % n of the n known replicas. It reports
// whether to try the preferred replica, which is replica 0, next.
func (s *subscriber) watchReplica(ctx context.Context, i int) bool {
	control := s.controlReplicas()
	if len(control) == 0 {
		return false
	}
	i %= len(control)
	address := control[i]
	err := s.watch(ctx, address, i > 0)
	s.config.Logger.Info("left a control replica", "address", address, "cause", err)
	return errors.Is(err, errReturn)
}

// controlReplicas returns the control replicas, the preferred first: those of the
// settings, then those of the latest push that listed any.
func (s *subscriber) controlReplicas() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clone(s.config.Control)
	for _, address := range s.replicas {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// Replicas implements Subscriber.
func (s *subscriber) Replicas() (replicas []netip.AddrPort, connected bool) {
	replicas = s.controlReplicas()
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(replicas, s.control); i > 0 {
		replicas = slices.Concat(replicas[i:i+1], replicas[:i], replicas[i+1:])
	}
	return replicas, s.control.IsValid()
}

// jitter returns a random time between half and one and a half times a mean.
func (s *subscriber) jitter(mean time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// sleep waits for a random time around a mean or until the context ends.
func (s *subscriber) sleep(ctx context.Context, mean time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(s.jitter(mean)):
	}
}

// adopt puts a set in force at the node if its revision is higher than that of the
// held set.
func (s *subscriber) adopt(set *waxwingseam.Set, digest uint64) {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	s.mu.Lock()
	higher := set.Revision > s.held.Revision
	if higher {
		s.held, s.digest = set, digest
		s.heldRevision.Store(uint64(set.Revision))
		s.changed.held = true
	}
	s.mu.Unlock()
	if !higher {
		return
	}
	s.config.Step(func(stamp waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.SetAdopted{Stamp: stamp, Set: set}
	})
	s.wake()
}

// currentSet returns the set in force, which must not be changed, and its digest.
func (s *subscriber) currentSet() (*waxwingseam.Set, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held, s.digest
}
