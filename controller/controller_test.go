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
	"waxwingseam.example/waxwingseam/subscriber"
)

// waitLimit ends a test whose condition never comes true.
const waitLimit = 20 * time.Second

func quiet(string) *slog.Logger {
	return slog.New(slog.DiscardHandler)
}

// news is signalled when a node under test is told something.
type news chan struct{}

func (n news) signal() {
	select {
	case n <- struct{}{}:
	default:
	}
}

// await waits for a condition that news bring about.
func (n news) await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	limit := time.After(waitLimit)
	for !condition() {
		select {
		case <-n:
		case <-limit:
			t.Fatalf("never came true: %s", what)
		}
	}
}

// replica is a control replica under test.
type replica struct {
	config Config
	// collector gives the replica's metrics.
	collector prometheus.Collector
	address   netip.AddrPort
	// operators is the address of the operator API.
	operators string
	client    operator.Client
	stop      func()
}

// listen opens a drpc server on loopback.
func listen(t testing.TB, address netip.AddrPort) *messenger.Server {
	server, err := messenger.Listen(t.Context(), messenger.ServerConfig{Address: address})
	qt.Assert(t, err, qt.IsNil)
	return server
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// start runs a control replica on loopback until the test ends or it is
// stopped.
func start(t testing.TB, config Config) *replica {
	var lc net.ListenConfig
	operators, err := lc.Listen(t.Context(), "tcp", loopback.String())
	qt.Assert(t, err, qt.IsNil)
	config.Address = config.Server.Address()
	config.Operators = operators
	config.Logger = quiet
	c, err := New(config)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = config.Server.Serve(ctx) })
	group.Go(func() { _ = c.Serve(ctx) })
	stop := sync.OnceFunc(func() { cancel(); group.Wait() })
	t.Cleanup(stop)
	return &replica{
		config:    config,
		collector: c,
		address:   config.Address,
		operators: operators.Addr().String(),
		client:    operator.New(operator.Config{Control: operators.Addr().String(), Name: "dina"}),
		stop:      stop,
	}
}

// cluster starts control replicas that form one cluster, all of them voters.
func cluster(t testing.TB, n int) []*replica {
	return clusterWith(t, n, 0)
}

// clusterWith starts voters and replicas that do not vote.
func clusterWith(t testing.TB, voters, learners int) []*replica {
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
			Server:     servers[i],
			DataFolder: t.TempDir(),
			Voter:      i < voters,
		}
		if i == 0 {
			initialize(t, config)
		}
		replicas[i] = start(t, config)
	}
	return replicas
}

// initialize creates a cluster with one voter.
func initialize(t testing.TB, config Config) {
	_, err := proposer.Initialize(proposer.Config{
		DataFolder: config.DataFolder,
		Self:       config.Replica,
		Address:    config.Server.Address(),
	})
	qt.Assert(t, err, qt.IsNil)
}

// node is a node under test: a subscriber that notes what it is told.
type node struct {
	subscriber subscriber.Subscriber
	address    netip.AddrPort
	stop       func()
	news       news

	mu        sync.Mutex
	revisions []waxwingseam.Revision
	servers   map[waxwingseam.ServerName]waxwingseam.Server
}

// step takes the place of a node's reducer.
func (n *node) step(build func(waxwingseam.Stamp) waxwingseam.Event) {
	defer n.news.signal()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch v := build(waxwingseam.Stamp{}).(type) {
	case waxwingseam.SetAdopted:
		n.revisions = append(n.revisions, v.Set.Revision)
	case waxwingseam.ServersUpdated:
		for _, s := range v.Servers {
			n.servers[s.Name] = s
		}
		for _, name := range v.Gone {
			delete(n.servers, name)
		}
	}
}

// revision returns the revision in force; 0 if one was ever lower than the
// one before.
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

func (n *node) server(name waxwingseam.ServerName) (waxwingseam.Server, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.servers[name]
	return s, ok
}

// knows reports whether the node knows at least a number of servers.
func (n *node) knows(servers int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.servers) >= servers
}

// join starts a node of the service fees that watches control replicas.
func join(t testing.TB, name waxwingseam.ServerName, control ...netip.AddrPort) *node {
	server := listen(t, loopback)
	n := &node{address: server.Address(), news: make(news, 1), servers: map[waxwingseam.ServerName]waxwingseam.Server{}}
	n.subscriber = subscriber.New(subscriber.Config{
		Control:  control,
		Self:     waxwingseam.Server{Name: name, Service: "fees", Node: n.address, Incarnation: 1},
		Services: []waxwingseam.ServiceName{"fees"},
		Step:     n.step,
		Logger:   quiet(""),
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

// example returns the example set of a deployment.
func example(t testing.TB, deployment string) checker.File {
	data, err := os.ReadFile("../examples/" + deployment + "/objects.ini")
	qt.Assert(t, err, qt.IsNil)
	return checker.File{Name: "objects.ini", Data: data}
}

// submission submits a file as the first revision.
func submission(id string, file checker.File) administrator.Submission {
	return administrator.Submission{
		ID:    waxwingseam.SubmissionID(id),
		Files: []checker.File{file},
	}
}

func TestChangeReachesNodes(t *testing.T) {
	t.Parallel()
	control := cluster(t, 1)[0]
	nodes := []*node{join(t, "fees-1", control.address), join(t, "fees-2", control.address)}
	answer, err := control.client.Submit(t.Context(), submission("first", example(t, "van-dalen")))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer, qt.DeepEquals, historian.Answer{Verdict: historian.VerdictAccepted, Revision: 1})
	for _, n := range nodes {
		n.news.await(t, "revision 1 in force", func() bool { return n.revision() == 1 })
		n.news.await(t, "both servers known", func() bool {
			_, one := n.server("fees-1")
			_, two := n.server("fees-2")
			return one && two
		})
	}
	self, _ := nodes[0].server("fees-1")
	self.Leaving = true
	nodes[0].subscriber.Announce(self)
	nodes[1].news.await(t, "leaving known", func() bool {
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

// TestLastWord checks that a node which stops right after it announced that it
// leaves has told so.
func TestLastWord(t *testing.T) {
	t.Parallel()
	control := cluster(t, 1)[0]
	stays, leaves := join(t, "fees-1", control.address), join(t, "fees-2", control.address)
	stays.news.await(t, "the other node known", func() bool { _, ok := stays.server("fees-2"); return ok })
	self, _ := stays.server("fees-2")
	self.Leaving = true
	leaves.subscriber.Announce(self)
	leaves.stop()
	stays.news.await(t, "leaving known", func() bool {
		s, ok := stays.server("fees-2")
		return s.Leaving || !ok
	})
	s, _ := stays.server("fees-2")
	qt.Assert(t, s.Leaving, qt.IsTrue)
}
