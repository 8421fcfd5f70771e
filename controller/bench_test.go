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

// fleet is a control replica with nodes behind a relay that counts bytes.
type fleet struct {
	control *replica
	relay   *relay
	nodes   []*node
	base    waxwingseam.Revision
}

// newFleet starts nodes on a set with a number of backend server objects.
func newFleet(b *testing.B, replicas, nodes, objects int) *fleet {
	controls := cluster(b, replicas)
	f := &fleet{control: controls[leaderOf(b, controls)]}
	f.relay = newRelay(b, f.control.address)
	f.apply(b, objects, 1)
	for i := range nodes {
		f.nodes = append(f.nodes, join(b, waxwingseam.ServerName(fmt.Sprintf("fees-%d", i)), f.relay.address()))
	}
	f.inForce(b)
	if nodes > 0 {
		time.Sleep(settled)
	}
	return f
}

// settled is the time after which the replicas have listed all servers.
const settled = publisher.SettleTime + 2*time.Second

// heap returns the bytes in use on the heap.
func heap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// apply submits the set with a number of objects, one of which has a weight.
func (f *fleet) apply(b *testing.B, objects, weight int) {
	var text strings.Builder
	text.WriteString("[service fees]\nslots = 15\nconnections = 200\n")
	for i := range objects {
		fmt.Fprintf(&text, "[backend-server fees-%d]\nservice = fees\nslots = 10\nweight = %d\n", i, 1+weight*(1/(i+1)))
	}
	file := checker.File{Name: "fleet.ini", Data: []byte(text.String())}
	answer, err := f.control.client.Submit(b.Context(), administrator.Submission{
		ID:           waxwingseam.SubmissionID(fmt.Sprintf("w%d", weight)),
		BaseRevision: f.base,
		Files:        []checker.File{file},
	})
	qt.Assert(b, err, qt.IsNil)
	f.base = answer.Revision
}

// inForce waits until all nodes have the newest revision.
func (f *fleet) inForce(b *testing.B) {
	for _, n := range f.nodes {
		n.news.await(b, "newest revision in force", func() bool { return n.revision() == f.base })
	}
}

// processorTime returns the processor time of the test so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdle measures what a node costs while nothing changes; an
// iteration is one second. The processor time is that of the node, the relay
// and the node's share of the replica together.
func BenchmarkIdle(b *testing.B) {
	for _, nodes := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newFleet(b, 1, nodes, 100)
			bytes, used := f.relay.bytes.Load(), processorTime()
			seconds := 0
			for b.Loop() {
				time.Sleep(time.Second)
				seconds++
			}
			share := float64(nodes * seconds)
			b.ReportMetric(float64(f.relay.bytes.Load()-bytes)/share, "bytes/node/s")
			b.ReportMetric(float64((processorTime()-used).Microseconds())/share, "cpu-µs/node/s")
			b.ReportMetric(float64(runtime.NumGoroutine())/float64(nodes), "goroutines/node")
		})
	}
}

// BenchmarkInForce measures a change of one object, from the operator's
// request to the moment when all nodes have it in force, with three replicas.
func BenchmarkInForce(b *testing.B) {
	for _, v := range []struct{ nodes, objects int }{{50, 100}, {400, 100}, {400, 6_900}} {
		b.Run(fmt.Sprintf("nodes=%d/objects=%d", v.nodes, v.objects), func(b *testing.B) {
			f := newFleet(b, 3, v.nodes, v.objects)
			before, used := f.relay.bytes.Load(), processorTime()
			changes := 0
			var accepting time.Duration
			for b.Loop() {
				changes++
				started := time.Now()
				f.apply(b, v.objects, 1+changes)
				accepting += time.Since(started)
				f.inForce(b)
			}
			share := float64(v.nodes * changes)
			b.ReportMetric(float64(accepting.Milliseconds())/float64(changes), "ms-to-accept")
			b.ReportMetric(float64(f.relay.bytes.Load()-before)/share, "bytes/node/change")
			b.ReportMetric(float64((processorTime()-used).Microseconds())/share, "cpu-µs/node/change")
		})
	}
}

// BenchmarkJoin measures the start of one node against the size of the set.
func BenchmarkJoin(b *testing.B) {
	for _, objects := range []int{100, 1_000, 6_900} {
		b.Run(fmt.Sprintf("objects=%d", objects), func(b *testing.B) {
			f := newFleet(b, 1, 0, objects)
			before, joined := f.relay.bytes.Load(), 0
			for b.Loop() {
				joined++
				n := join(b, waxwingseam.ServerName(fmt.Sprintf("fees-%d", joined)), f.relay.address())
				n.news.await(b, "newest revision in force", func() bool { return n.revision() == f.base })
				n.stop()
			}
			b.ReportMetric(float64(f.relay.bytes.Load()-before)/float64(joined), "bytes/join")
			const kept = 10
			used := heap()
			for i := range kept {
				n := join(b, waxwingseam.ServerName(fmt.Sprintf("kept-%d", i)), f.relay.address())
				n.news.await(b, "newest revision in force", func() bool { return n.revision() == f.base })
			}
			b.ReportMetric((heap()-used)/kept/1024, "heap-KiB/node")
		})
	}
}

// BenchmarkMembership measures one server's change of state at all nodes that
// are interested in its service.
func BenchmarkMembership(b *testing.B) {
	for _, nodes := range []int{50, 400} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newFleet(b, 1, nodes, 10)
			self, leaving := waxwingseam.Server{Name: "fees-0", Service: "fees", Incarnation: 1}, 0
			before := f.relay.bytes.Load()
			for b.Loop() {
				leaving++
				self.Leaving = leaving%2 == 1
				f.nodes[0].subscriber.Announce(self)
				for _, n := range f.nodes {
					n.news.await(b, "state known", func() bool {
						s, ok := n.server("fees-0")
						return ok && s.Leaving == self.Leaving
					})
				}
			}
			b.ReportMetric(float64(f.relay.bytes.Load()-before)/float64(nodes*leaving), "bytes/node/change")
		})
	}
}

// BenchmarkJoinTogether measures the start of all nodes of one service at
// once, until each knows all of them.
func BenchmarkJoinTogether(b *testing.B) {
	const nodes = 400
	f := newFleet(b, 1, 0, 10)
	before, rounds, used := f.relay.bytes.Load(), 0, processorTime()
	for b.Loop() {
		rounds++
		f.nodes = nil
		for i := range nodes {
			f.nodes = append(f.nodes, join(b, waxwingseam.ServerName(fmt.Sprintf("fees-%d-%d", rounds, i)), f.relay.address()))
		}
		f.inForce(b)
		for _, n := range f.nodes {
			n.news.await(b, "all servers known", func() bool { return n.knows(nodes) })
		}
		for _, n := range f.nodes {
			n.stop()
		}
	}
	share := float64(nodes * rounds)
	b.ReportMetric(float64(f.relay.bytes.Load()-before)/share, "bytes/node")
	b.ReportMetric(float64((processorTime()-used).Microseconds())/share, "cpu-µs/node")
}
