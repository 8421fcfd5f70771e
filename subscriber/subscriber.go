// Package subscriber is the node's side of control: it announces the node's
// backend server, and brings revisions and servers to the node's reducer.
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
	// farewellTimeout bounds the wait for a last report to be read.
	farewellTimeout = 300 * time.Millisecond
	// healthyAfter is how long a connection must last for the next attempt to
	// follow at once.
	healthyAfter = 2 * time.Second
	// returnAfter is the mean time before a node tries its preferred replica
	// again, spread so that nodes do not return together.
	returnAfter = 5 * time.Minute
	// doubtfulPushes is how many pushes in a row may be unconfirmed before a
	// node leaves the replica for another one.
	doubtfulPushes = 2
	// patientPushes is that number once all replicas were found unconfirmed.
	patientPushes = 20
	// minBackoff and maxBackoff bound the time before another attempt.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// errUnconfirmed ends a connection to a replica that lags or is cut off.
var errUnconfirmed = errors.New("replica cannot confirm its state")

// errReturn ends a connection for one to the preferred replica.
var errReturn = errors.New("tries the preferred replica again")

// Config holds the parts of a subscriber.
type Config struct {
	// Control lists the addresses of control replicas, the preferred first.
	Control []netip.AddrPort
	Dialer  messenger.Dialer
	// Self is announced; its name is empty in a process without a backend
	// server.
	Self waxwingseam.Server
	// Services are the services whose servers are learned from the start.
	Services []waxwingseam.ServiceName
	// All is set to learn the servers of all services.
	All bool
	// Step feeds the node's reducer.
	Step   func(build func(waxwingseam.Stamp) waxwingseam.Event)
	Logger *slog.Logger
	// ReturnAfter is the mean time after which a node that watches another
	// replica than the preferred one tries that again; 0 for the default.
	ReturnAfter time.Duration
	// Seed starts the random source of delays and choices.
	Seed uint64
}

// Subscriber keeps one node in touch with control.
type Subscriber interface {
	// Run keeps a connection to a control replica until the context ends.
	Run(ctx context.Context) error
	// Announce replaces what the node says of its backend server.
	Announce(self waxwingseam.Server)
	// AddInterest adds a service whose servers the node wants to know.
	AddInterest(service waxwingseam.ServiceName)
	// NoteRevision records that another node holds a revision; a higher one is fetched
	// from there when control does not bring it. Without an address, some of
	// the known nodes are asked.
	NoteRevision(revision waxwingseam.Revision, node netip.AddrPort)
	// Held answers another node with the set that this one holds.
	Held(ctx context.Context, q *HeldQuery) (*HeldAnswer, error)
	// Status describes the connection to control.
	Status() Status
}

// Status is what a node knows of control.
type Status struct {
	Revision waxwingseam.Revision `json:"revision"`
	// Control is the replica watched; the zero value without one.
	Control netip.AddrPort `json:"control"`
	// Servers counts the known backend servers.
	Servers int `json:"servers"`
}

type subscriber struct {
	config Config
	woken  chan struct{}

	// newest is the revision held. NoteRevision reads it for each call without
	// the lock.
	newest atomic.Uint64

	// adopting orders the revisions on their way to the reducer.
	adopting sync.Mutex

	mu           sync.Mutex
	random       *rand.Rand
	held         *waxwingseam.Set
	digest       uint64
	announcement waxwingseam.Announcement
	interest     publisher.Interest
	servers      map[waxwingseam.ServerName]waxwingseam.Announcement
	control      netip.AddrPort
	noticed      notice
	// replicas are the control replicas that one of them named.
	replicas []netip.AddrPort
	doubt    doubt
	// changed tells the writer what to report.
	changed changes
}

// doubt counts what speaks against the replica watched.
type doubt struct {
	// pushes counts the unconfirmed pushes in a row over this connection.
	pushes int
	// replicas counts the replicas left for that since one was confirmed.
	replicas int
}

// changes marks what the present replica has not been told yet.
type changes struct {
	announcement bool
	interest     bool
	held         bool
}

// New returns a subscriber that holds no set.
func New(config Config) Subscriber {
	if config.ReturnAfter == 0 {
		config.ReturnAfter = returnAfter
	}
	return &subscriber{
		config:       config,
		woken:        make(chan struct{}, 1),
		random:       rand.New(rand.NewPCG(config.Seed, config.Seed)),
		held:         &waxwingseam.Set{},
		announcement: waxwingseam.Announcement{Server: config.Self},
		interest:     publisher.Interest{Services: slices.Clone(config.Services), All: config.All},
		servers:      map[waxwingseam.ServerName]waxwingseam.Announcement{},
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
	go s.keepCatchingUp(ctx)
	backoff := minBackoff
	for i := 0; ctx.Err() == nil; i++ {
		started := time.Now()
		if s.visit(ctx, i) {
			i = -1
		}
		if time.Since(started) > healthyAfter {
			backoff = minBackoff
			continue
		}
		s.pause(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// visit watches one of the control replicas, the preferred one for 0, and
// reports whether the preferred one is to be tried next.
func (s *subscriber) visit(ctx context.Context, i int) bool {
	control := s.controls()
	if len(control) == 0 {
		return false
	}
	i %= len(control)
	address := control[i]
	err := s.watch(ctx, address, i > 0)
	s.config.Logger.Info("left a control replica", "address", address, "cause", err)
	return errors.Is(err, errReturn)
}

// controls lists the control replicas, the preferred first: those of the
// settings, then those that one of them named.
func (s *subscriber) controls() []netip.AddrPort {
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

// around returns a time between half a mean and one and a half.
func (s *subscriber) around(mean time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// pause waits for a random time around a mean.
func (s *subscriber) pause(ctx context.Context, mean time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(s.around(mean)):
	}
}

// adopt puts a set in force at the node if it is higher than the one held.
func (s *subscriber) adopt(set *waxwingseam.Set, digest uint64) {
	s.adopting.Lock()
	defer s.adopting.Unlock()
	s.mu.Lock()
	higher := set.Revision > s.held.Revision
	if higher {
		s.held, s.digest = set, digest
		s.newest.Store(uint64(set.Revision))
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

// current returns the set held, which must not be changed, and its digest.
func (s *subscriber) current() (*waxwingseam.Set, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held, s.digest
}
