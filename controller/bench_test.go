package controller

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/publisher"
)

// fleet is a control replica with nodes that are connected to it through a relay,
// which counts the bytes.
type fleet struct {
	control *replica
	relay   *relay
	nodes   []*node
	newest  waxwingseam.Revision
}

// newFleet starts replicas, submits a set with a number of backend server objects,
// and starts nodes.
func newFleet(b *testing.B, replicas, nodes, objects int) *fleet {
	controls := startCluster(b, replicas)
	f := &fleet{control: controls[leaderOf(b, controls)]}
	f.relay = newRelay(b, f.control.address)
	f.apply(b, objects, 1)
	for i := range nodes {
		f.nodes = append(f.nodes, startNode(b, waxwingseam.ServerName(fmt.Sprintf("fees-%d", i)), f.relay.address()))
	}
	f.awaitNewest(b)
	if nodes > 0 {
		time.Sleep(settleWait)
	}
	return f
}

// settleWait is the time, with a margin, after which the replicas report complete
// lists of servers.
const settleWait = publisher.SettleTime + 2*time.Second

// heapBytes returns the bytes that are allocated on the heap.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// apply submits a set with a number of backend server objects. The first has the
// weight 1+weight, the others have 1.
func (f *fleet) apply(b *testing.B, objects, weight int) {
	var text strings.Builder
	text.WriteString("[service fees]\nslots = 15\nconnections = 200\n")
	for i := range objects {
		fmt.Fprintf(&text, "[backend-server fees-%d]\nservice = fees\nslots = 10\nweight = %d\n", i, 1+weight*(1/(i+1)))
	}
	file := checker.File{Name: "fleet.ini", Data: []byte(text.String())}
	answer, err := f.control.client.Submit(b.Context(), administrator.Submission{
		ID:           waxwingseam.SubmissionID(fmt.Sprintf("w%d", weight)),
		BaseRevision: f.newest,
		Files:        []checker.File{file},
	})
	qt.Assert(b, err, qt.IsNil)
	f.newest = answer.Revision
}

// awaitNewest waits until all nodes have the newest revision.
func (f *fleet) awaitNewest(b *testing.B) {
	for _, n := range f.nodes {
		n.updates.await(b, "newest revision in force", func() bool { return n.revision() == f.newest })
	}
}

// cpuTime returns the CPU time that the process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdle measures the cost of a node while nothing changes; an
// iteration lasts one second. The CPU time includes the node, the relay and the
// node's share of the replica.
func BenchmarkIdle(b *testing.B) {
	for _, nodes := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newFleet(b, 1, nodes, 100)
			bytes, used := f.relay.bytes.Load(), cpuTime()
			seconds := 0
			for b.Loop() {
				time.Sleep(time.Second)
				seconds++
			}
			nodeSeconds := float64(nodes * seconds)
			b.ReportMetric(float64(f.relay.bytes.Load()-bytes)/nodeSeconds, "bytes/node/s")
			b.ReportMetric(float64((cpuTime()-used).Microseconds())/nodeSeconds, "cpu-µs/node/s")
			b.ReportMetric(float64(runtime.NumGoroutine())/float64(nodes), "goroutines/node")
		})
	}
}

// BenchmarkInForce measures a change of one object with three replicas, from
// the operator's request until the change is in force at all nodes.
func BenchmarkInForce(b *testing.B) {
	for _, v := range []struct{ nodes, objects int }{{50, 100}, {400, 100}, {400, 6_900}} {
		b.Run(fmt.Sprintf("nodes=%d/objects=%d", v.nodes, v.objects), func(b *testing.B) {
			f := newFleet(b, 3, v.nodes, v.objects)
			before, used := f.relay.bytes.Load(), cpuTime()
			changes := 0
			var accepting time.Duration
			for b.Loop() {
				changes++
				started := time.Now()
				f.apply(b, v.objects, 1+changes)
				accepting += time.Since(started)
				f.awaitNewest(b)
			}
			nodeChanges := float64(v.nodes * changes)
			b.ReportMetric(float64(accepting.Milliseconds())/float64(changes), "ms-to-accept")
			b.ReportMetric(float64(f.relay.bytes.Load()-before)/nodeChanges, "bytes/node/change")
			b.ReportMetric(float64((cpuTime()-used).Microseconds())/nodeChanges, "cpu-µs/node/change")
		})
	}
}

// BenchmarkJoin measures the start of one node with sets of several sizes.
func BenchmarkJoin(b *testing.B) {
	for _, objects := range []int{100, 1_000, 6_900} {
		b.Run(fmt.Sprintf("objects=%d", objects), func(b *testing.B) {
			f := newFleet(b, 1, 0, objects)
			before, joined := f.relay.bytes.Load(), 0
			for b.Loop() {
				joined++
				n := startNode(b, waxwingseam.ServerName(fmt.Sprintf("fees-%d", joined)), f.relay.address())
				n.updates.await(b, "newest revision in force", func() bool { return n.revision() == f.newest })
				n.stop()
			}
			b.ReportMetric(float64(f.relay.bytes.Load()-before)/float64(joined), "bytes/join")
			const heapNodes = 10
			used := heapBytes()
			for i := range heapNodes {
				n := startNode(b, waxwingseam.ServerName(fmt.Sprintf("kept-%d", i)), f.relay.address())
				n.updates.await(b, "newest revision in force", func() bool { return n.revision() == f.newest })
			}
			b.ReportMetric((heapBytes()-used)/heapNodes/1024, "heap-KiB/node")
		})
	}
}

// BenchmarkServerState measures a change of one server's state until all nodes
// that are interested in its service have received it.
func BenchmarkServerState(b *testing.B) {
	for _, nodes := range []int{50, 400} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newFleet(b, 1, nodes, 10)
			self, changes := waxwingseam.Server{Name: "fees-0", Service: "fees", Incarnation: 1}, 0
			before := f.relay.bytes.Load()
			for b.Loop() {
				changes++
				self.Leaving = changes%2 == 1
				f.nodes[0].subscriber.Announce(self)
				for _, n := range f.nodes {
					n.updates.await(b, "changed state received", func() bool {
						s, ok := n.server("fees-0")
						return ok && s.Leaving == self.Leaving
					})
				}
			}
			b.ReportMetric(float64(f.relay.bytes.Load()-before)/float64(nodes*changes), "bytes/node/change")
		})
	}
}

// BenchmarkJoinTogether measures the simultaneous start of all nodes of one
// service until each of them has received all servers.
func BenchmarkJoinTogether(b *testing.B) {
	const nodes = 400
	f := newFleet(b, 1, 0, 10)
	before, rounds, used := f.relay.bytes.Load(), 0, cpuTime()
	for b.Loop() {
		rounds++
		f.nodes = nil
		for i := range nodes {
			f.nodes = append(f.nodes, startNode(b, waxwingseam.ServerName(fmt.Sprintf("fees-%d-%d", rounds, i)), f.relay.address()))
		}
		f.awaitNewest(b)
		for _, n := range f.nodes {
			n.updates.await(b, "all servers received", func() bool { return n.hasServers(nodes) })
		}
		for _, n := range f.nodes {
			n.stop()
		}
	}
	starts := float64(nodes * rounds)
	b.ReportMetric(float64(f.relay.bytes.Load()-before)/starts, "bytes/node")
	b.ReportMetric(float64((cpuTime()-used).Microseconds())/starts, "cpu-µs/node")
}
