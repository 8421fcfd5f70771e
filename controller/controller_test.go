package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/operator"
	"waxwingseam.example/waxwingseam/proposer"
	"waxwingseam.example/waxwingseam/registrar"
	"waxwingseam.example/waxwingseam/subscriber"
)

// waitLimit bounds the wait for a condition.
const waitLimit = 20 * time.Second

func discardLogger(string) *slog.Logger {
	return slog.New(slog.DiscardHandler)
}

// updateSignal is signalled for each event of a node under test.
type updateSignal chan struct{}

func (n updateSignal) notify() {
	select {
	case n <- struct{}{}:
	default:
	}
}

// await waits until a condition is true. It checks the condition after each
// signal.
func (n updateSignal) await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	limit := time.After(waitLimit)
	for !condition() {
		select {
		case <-n:
		case <-limit:
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// replica is a control replica under test.
type replica struct {
	config Config
	// collector collects the replica's metrics.
	collector prometheus.Collector
	address   netip.AddrPort
	// operators is the address of the operator API.
	operators string
	client    operator.Client
	stop      func()
	// knowsEnding reports whether the replica knows an ending of a server.
	knowsEnding func(waxwingseam.ServerName) bool
	// knowsRetryUse reports whether the replica knows the use of a retry budget.
	knowsRetryUse func(waxwingseam.ServerName) bool
}

// listen opens a drpc server on an address.
func listen(t testing.TB, address netip.AddrPort) *messenger.Server {
	server, err := messenger.Listen(t.Context(), messenger.ServerConfig{Address: address})
	qt.Assert(t, err, qt.IsNil)
	return server
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// startReplica starts a control replica on loopback. It runs until it is stopped
// or the test ends.
func startReplica(t testing.TB, config Config) *replica {
	var lc net.ListenConfig
	operators, err := lc.Listen(t.Context(), "tcp", loopback.String())
	qt.Assert(t, err, qt.IsNil)
	config.Address = config.Messenger.Address()
	config.Operators = operators
	config.Logger = discardLogger
	c, err := New(config)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = config.Messenger.Serve(ctx) })
	group.Go(func() { _ = c.Serve(ctx) })
	stop := sync.OnceFunc(func() { cancel(); group.Wait() })
	t.Cleanup(stop)
	return &replica{
		config:    config,
		collector: c,
		address:   config.Address,
		operators: operators.Addr().String(),
		client:    operator.New(operator.Config{Address: operators.Addr().String(), Name: "dina"}),
		stop:      stop,
		knowsEnding: func(name waxwingseam.ServerName) bool {
			return len(c.(*controller).publisher.Endings(name)) > 0
		},
		knowsRetryUse: func(name waxwingseam.ServerName) bool {
			_, ok := c.(*controller).publisher.RetryUse(name)
			return ok
		},
	}
}

// startCluster starts a cluster of n control replicas, all of them voters.
func startCluster(t testing.TB, n int) []*replica {
	return startMixedCluster(t, n, 0)
}

// startMixedCluster starts a cluster of voters and non-voting replicas.
func startMixedCluster(t testing.TB, voters, learners int) []*replica {
	n := voters + learners
	servers := make([]*messenger.Server, n)
	addresses := make([]netip.AddrPort, n)
	for i := range servers {
		servers[i] = listen(t, loopback)
		addresses[i] = servers[i].Address()
	}
	replicas := make([]*replica, n)
	for i := range replicas {
		config := Config{
			Replica:    waxwingseam.ReplicaID(fmt.Sprintf("r%d", i+1)),
			Control:    addresses,
			Messenger:  servers[i],
			DataFolder: t.TempDir(),
			Voter:      i < voters,
		}
		if i == 0 {
			initialize(t, config)
		}
		replicas[i] = startReplica(t, config)
	}
	return replicas
}

// initialize creates a cluster whose only voter is the configured replica.
func initialize(t testing.TB, config Config) {
	_, err := proposer.Initialize(proposer.Config{
		DataFolder: config.DataFolder,
		Self:       config.Replica,
		Address:    config.Messenger.Address(),
	})
	qt.Assert(t, err, qt.IsNil)
}

// node is a node under test: a subscriber whose events are recorded.
type node struct {
	subscriber subscriber.Subscriber
	address    netip.AddrPort
	stop       func()
	updates    updateSignal

	mu        sync.Mutex
	revisions []waxwingseam.Revision
	servers   map[waxwingseam.ServerName]waxwingseam.Server
	endings   registrar.Endings
	complete  bool
	histories []waxwingseam.RetryHistory
}

// step records an event; it replaces the node's reducer.
func (n *node) step(build func(waxwingseam.Stamp) waxwingseam.Event) {
	defer n.updates.notify()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch v := build(waxwingseam.Stamp{}).(type) {
	case waxwingseam.SetAdopted:
		n.revisions = append(n.revisions, v.Set.Revision)
	case waxwingseam.EndingsLearned:
		for _, e := range v.Endings {
			n.endings.Add(time.Now(), e)
		}
		n.complete = n.complete || v.Complete
	case waxwingseam.RetryHistoryLearned:
		n.histories = append(n.histories, v.History)
	case waxwingseam.ServersUpdated:
		for _, s := range v.Servers {
			n.servers[s.Name] = s
		}
		for _, name := range v.Gone {
			delete(n.servers, name)
		}
	}
}

// revision returns the revision in force, or 0 if the adopted revisions did not
// strictly increase.
func (n *node) revision() waxwingseam.Revision {
	n.mu.Lock()
	defer n.mu.Unlock()
	var last waxwingseam.Revision
	for _, r := range n.revisions {
		if r <= last {
			return 0
		}
		last = r
	}
	return last
}

// knows reports whether control has told the node of an ending.
func (n *node) knows(e waxwingseam.Ending) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endings.Has(e)
}

// endingsComplete reports whether control has named all endings of the node's server.
func (n *node) endingsComplete() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.complete
}

func (n *node) server(name waxwingseam.ServerName) (waxwingseam.Server, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.servers[name]
	return s, ok
}

// hasServers reports whether the node lists at least a number of servers.
func (n *node) hasServers(servers int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.servers) >= servers
}

// startNode starts a node of the service fees that watches control replicas. It
// runs until it is stopped or the test ends.
func startNode(t testing.TB, name waxwingseam.ServerName, control ...netip.AddrPort) *node {
	return startIncarnation(t, name, 1, control...)
}

// startIncarnation is startNode for one of several processes of a node.
func startIncarnation(t testing.TB, name waxwingseam.ServerName, incarnation waxwingseam.Incarnation, control ...netip.AddrPort) *node {
	server := listen(t, loopback)
	n := &node{address: server.Address(), updates: make(updateSignal, 1), servers: map[waxwingseam.ServerName]waxwingseam.Server{}}
	n.subscriber = subscriber.New(subscriber.Config{
		Control:  control,
		Self:     waxwingseam.Server{Name: name, Service: "fees", Node: n.address, Incarnation: incarnation},
		Services: []waxwingseam.ServiceName{"fees"},
		Step:     n.step,
		Logger:   discardLogger(""),
	})
	qt.Assert(t, server.Register(n.subscriber, subscriber.Description), qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(ctx) })
	group.Go(func() { _ = n.subscriber.Run(ctx) })
	n.stop = sync.OnceFunc(func() { cancel(); group.Wait() })
	t.Cleanup(n.stop)
	return n
}

// example returns the objects file of an example deployment.
func example(t testing.TB, deployment string) checker.File {
	data, err := os.ReadFile("../examples/" + deployment + "/objects.ini")
	qt.Assert(t, err, qt.IsNil)
	return checker.File{Name: "objects.ini", Data: data}
}

// submission returns a submission of one file as the first revision.
func submission(id string, file checker.File) administrator.Submission {
	return administrator.Submission{
		ID:    waxwingseam.SubmissionID(id),
		Files: []checker.File{file},
	}
}

// TestChangeReachesNodes checks that an accepted set and a server's announcements
// reach all nodes, and that the status and metrics count them.
func TestChangeReachesNodes(t *testing.T) {
	t.Parallel()
	control := startCluster(t, 1)[0]
	nodes := []*node{startNode(t, "fees-1", control.address), startNode(t, "fees-2", control.address)}
	answer, err := control.client.Submit(t.Context(), submission("first", example(t, "van-dalen")))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer, qt.DeepEquals, historian.Answer{Verdict: historian.VerdictAccepted, Revision: 1})
	for _, n := range nodes {
		n.updates.await(t, "revision 1 in force", func() bool { return n.revision() == 1 })
		n.updates.await(t, "both servers received", func() bool {
			_, one := n.server("fees-1")
			_, two := n.server("fees-2")
			return one && two
		})
	}
	self, _ := nodes[0].server("fees-1")
	self.Leaving = true
	nodes[0].subscriber.Announce(self)
	nodes[1].updates.await(t, "leaving state received", func() bool {
		s, _ := nodes[1].server("fees-1")
		return s.Leaving
	})
	status, err := control.client.Status(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.Nodes[0].Nodes, qt.Equals, 2)
	qt.Assert(t, status.Servers, qt.HasLen, 2)
	qt.Assert(t, status.Servers[0].State, qt.Equals, "leaving")
	metrics := `# HELP waxwingseam_control_backend_servers Announced backend servers known, by state.
# TYPE waxwingseam_control_backend_servers gauge
waxwingseam_control_backend_servers{state="leaving"} 1
waxwingseam_control_backend_servers{state="present"} 1
# HELP waxwingseam_control_nodes Nodes that watch the replica.
# TYPE waxwingseam_control_nodes gauge
waxwingseam_control_nodes 2
`
	err = testutil.CollectAndCompare(control.collector, strings.NewReader(metrics),
		"waxwingseam_control_backend_servers", "waxwingseam_control_nodes")
	qt.Assert(t, err, qt.IsNil)
}

// TestLeavingAnnouncedBeforeStop checks that a node that stops right after it
// announced that it is leaving still sends the announcement.
func TestLeavingAnnouncedBeforeStop(t *testing.T) {
	t.Parallel()
	control := startCluster(t, 1)[0]
	observer, leaving := startNode(t, "fees-1", control.address), startNode(t, "fees-2", control.address)
	observer.updates.await(t, "other server received", func() bool { _, ok := observer.server("fees-2"); return ok })
	self, _ := observer.server("fees-2")
	self.Leaving = true
	leaving.subscriber.Announce(self)
	leaving.stop()
	observer.updates.await(t, "leaving state received", func() bool {
		s, ok := observer.server("fees-2")
		return s.Leaving || !ok
	})
	s, _ := observer.server("fees-2")
	qt.Assert(t, s.Leaving, qt.IsTrue)
}
