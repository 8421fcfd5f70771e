package publisher_test

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/publisher"
	"waxwingseam.example/waxwingseam/subscriber"
)

var (
	quiet    = slog.New(slog.DiscardHandler)
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
)

// waitTimeout is how long a test waits for a value before it fails.
const waitTimeout = 20 * time.Second

// confirmer simulates a replicated log that may lose and regain its quorum.
type confirmer struct {
	// reports is signalled for each report that the replica receives from a node.
	reports chan struct{}

	mu     sync.Mutex
	quorum bool
}

// ReadIndex implements publisher.Confirmer.
func (c *confirmer) ReadIndex(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quorum {
		return nil
	}
	return errors.New("no quorum")
}

// step replaces the registrar's reducer.
func (c *confirmer) step(func(waxwingseam.Stamp) waxwingseam.Event) {
	select {
	case c.reports <- struct{}{}:
	default:
	}
}

func (c *confirmer) setQuorum(quorum bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quorum = quorum
}

// accept applies a submission that sets the slots of a service.
func accept(t *testing.T, h historian.Historian, id string, base waxwingseam.Revision) {
	c := historian.Command{Submission: waxwingseam.SubmissionID(id), Base: base}
	c.Change.Put.Services = []waxwingseam.Service{{Name: "fees", Slots: 1 + int(base), Connections: 9}}
	data, err := historian.Encode(c)
	qt.Assert(t, err, qt.IsNil)
	h.Apply(0, data)
}

// watch runs a node's subscriber and returns the revisions that it adopts.
func watch(t *testing.T, control ...netip.AddrPort) <-chan waxwingseam.Revision {
	revisions := make(chan waxwingseam.Revision, 1024)
	s := subscriber.New(subscriber.Config{
		Control:     control,
		Self:        waxwingseam.Server{Name: "fees-1", Service: "fees"},
		ReturnAfter: time.Millisecond,
		Logger:      quiet,
		Step: func(build func(waxwingseam.Stamp) waxwingseam.Event) {
			if v, ok := build(waxwingseam.Stamp{}).(waxwingseam.SetAdopted); ok {
				revisions <- v.Set.Revision
			}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
	return revisions
}

func next[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for a value")
	}
	panic("unreachable")
}

// serve runs a publisher with a historian at an address.
func serve(t *testing.T, log *confirmer, address netip.AddrPort) (historian.Historian, netip.AddrPort) {
	var p publisher.Publisher
	h := historian.New(historian.Config{OnUpdate: func(u historian.Update) { p.Publish(u) }})
	p = publisher.New(publisher.Config{
		Historian: h,
		Confirmer: log,
		Step:      log.step,
		Logger:    quiet,
	})
	server, err := messenger.Listen(t.Context(), messenger.ServerConfig{Address: address})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, server.Register(p, publisher.Description), qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(ctx) })
	group.Go(func() { _ = p.Serve(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
	return h, server.Address()
}

// TestUnconfirmedSetIsNotSent checks that a node which watches a lagging replica
// does not receive the old set, but receives the set that a quorum confirms later.
func TestUnconfirmedSetIsNotSent(t *testing.T) {
	log := &confirmer{reports: make(chan struct{}, 1)}
	h, address := serve(t, log, loopback)
	accept(t, h, "first", 0)
	revisions := watch(t, address)
	for range 5 {
		next(t, log.reports)
	}
	qt.Assert(t, revisions, qt.HasLen, 0)
	accept(t, h, "second", 1)
	log.setQuorum(true)
	qt.Assert(t, next(t, revisions), qt.Equals, waxwingseam.Revision(2))
}

// TestStepsAndSets checks that a node adopts increasing revisions from steps, and
// receives a whole set if more revisions are missing than steps are kept.
func TestStepsAndSets(t *testing.T) {
	log := &confirmer{reports: make(chan struct{}, 1)}
	log.setQuorum(true)
	h, address := serve(t, log, loopback)
	accept(t, h, "0", 0)
	first := watch(t, address)
	qt.Assert(t, next(t, first), qt.Equals, waxwingseam.Revision(1))
	const last = 600
	for base := range waxwingseam.Revision(last) {
		accept(t, h, "s"+string(rune('a'+base%26))+string(rune('0'+base/26)), base)
	}
	var before waxwingseam.Revision
	for before < last {
		r := next(t, first)
		qt.Assert(t, r > before, qt.IsTrue)
		before = r
	}
	qt.Assert(t, next(t, watch(t, address)), qt.Equals, waxwingseam.Revision(last))
}

// TestReturnToPreferredReplica checks that a node watches another replica while
// its preferred replica is unreachable, and returns to that replica afterwards.
func TestReturnToPreferredReplica(t *testing.T) {
	log := &confirmer{reports: make(chan struct{}, 1)}
	log.setQuorum(true)
	free, err := messenger.Listen(t.Context(), messenger.ServerConfig{Address: loopback})
	qt.Assert(t, err, qt.IsNil)
	preferred := free.Address()
	ended, end := context.WithCancel(t.Context())
	end()
	_ = free.Serve(ended)
	h, other := serve(t, log, loopback)
	accept(t, h, "first", 0)
	revisions := watch(t, preferred, other)
	qt.Assert(t, next(t, revisions), qt.Equals, waxwingseam.Revision(1))
	h, _ = serve(t, log, preferred)
	accept(t, h, "first", 0)
	accept(t, h, "second", 1)
	qt.Assert(t, next(t, revisions), qt.Equals, waxwingseam.Revision(2))
}

// TestNodeLeavesReplicaWithoutQuorum checks that a node leaves a replica that has
// lost its quorum but still sends heartbeats, for a replica with a newer revision.
func TestNodeLeavesReplicaWithoutQuorum(t *testing.T) {
	isolated, healthy := &confirmer{reports: make(chan struct{}, 1)}, &confirmer{reports: make(chan struct{}, 1)}
	isolated.setQuorum(true)
	healthy.setQuorum(true)
	h, preferred := serve(t, isolated, loopback)
	accept(t, h, "first", 0)
	h, other := serve(t, healthy, loopback)
	accept(t, h, "first", 0)
	revisions := watch(t, preferred, other)
	qt.Assert(t, next(t, revisions), qt.Equals, waxwingseam.Revision(1))
	accept(t, h, "second", 1)
	isolated.setQuorum(false)
	qt.Assert(t, next(t, revisions), qt.Equals, waxwingseam.Revision(2))
}

// TestNodesGetNoKeys checks that neither a set nor a step that is sent to nodes contains
// a key of a client account, and that the nodes report the digest that the replica has.
func TestNodesGetNoKeys(t *testing.T) {
	log := &confirmer{quorum: true}
	h, address := serve(t, log, loopback)
	submit := func(base waxwingseam.Revision, keys ...string) {
		c := historian.Command{Submission: waxwingseam.SubmissionID(keys[0]), Base: base}
		c.Change.Put.ClientAccounts = []waxwingseam.ClientAccount{{Name: "archive", Keys: keys}}
		data, err := historian.Encode(c)
		qt.Assert(t, err, qt.IsNil)
		h.Apply(0, data)
	}
	submit(0, "first-key")
	sets := make(chan *waxwingseam.Set, 8)
	heard := make(chan struct{}, 1)
	s := subscriber.New(subscriber.Config{
		Control: []netip.AddrPort{address},
		Self:    waxwingseam.Server{Name: "fees-1", Service: "fees"},
		Logger:  quiet,
		Step: func(build func(waxwingseam.Stamp) waxwingseam.Event) {
			switch v := build(waxwingseam.Stamp{}).(type) {
			case waxwingseam.SetAdopted:
				sets <- v.Set
			case waxwingseam.ControlHeard:
				select {
				case heard <- struct{}{}:
				default:
				}
			}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
	check := func(keys ...string) {
		a := next(t, sets).ClientAccounts[0]
		want := waxwingseam.ClientAccount{Name: "archive", Keys: keys}
		qt.Assert(t, a.Keys, qt.HasLen, 0)
		qt.Assert(t, a.KeyDigests, qt.DeepEquals, want.Digests())
	}
	check("first-key")
	submit(1, "second-key", "first-key")
	check("second-key", "first-key")
	next(t, heard)
	held, err := s.Held(t.Context(), &subscriber.HeldQuery{})
	qt.Assert(t, err, qt.IsNil)
	set, err := publisher.Unpack(held.Set)
	qt.Assert(t, err, qt.IsNil)
	_, digest := h.Head()
	qt.Assert(t, checker.Digest(set), qt.Equals, digest)
}
