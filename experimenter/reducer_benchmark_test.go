package experimenter

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// nodeBench drives the reducer of one node with queued calls and known servers.
type nodeBench struct {
	reducer waxwingseam.Reducer
	now     time.Time
	lastID  uint64
	// running is the call at the backend server.
	running waxwingseam.CallID
}

const benchClass = "benched"

func newNodeBench(queued, servers int) *nodeBench {
	self := waxwingseam.Server{Name: "fees-0", Service: "fees", Incarnation: 1}
	b := &nodeBench{reducer: Waxwingseam().New(self), now: time.Unix(1000, 0)}
	b.reducer.Reduce(waxwingseam.SetAdopted{Stamp: b.stamp(), Set: &waxwingseam.Set{
		Revision: 1,
		Services: []waxwingseam.Service{{Name: "fees", Slots: 1}},
		RequestClasses: []waxwingseam.RequestClass{{
			Name: benchClass, Service: "fees", Importance: 5, Deadline: time.Hour, WaitLimit: "long",
		}},
		WaitLimits: []waxwingseam.WaitLimit{{Name: "long", Wait: time.Hour, Waiting: queued}},
	}})
	known := make([]waxwingseam.Server, servers)
	for i := range known {
		known[i] = waxwingseam.Server{Name: waxwingseam.ServerName(fmt.Sprintf("fees-%d", i)), Service: "fees", Incarnation: 1}
	}
	b.reducer.Reduce(waxwingseam.ServersUpdated{Stamp: b.stamp(), Servers: known})
	for range queued + 1 {
		b.arrive(5)
	}
	return b
}

func (b *nodeBench) stamp() waxwingseam.Stamp {
	b.now = b.now.Add(time.Microsecond)
	return waxwingseam.Stamp{Now: b.now, Random: b.lastID}
}

func (b *nodeBench) reduce(e waxwingseam.Event) {
	for _, x := range b.reducer.Reduce(e) {
		if v, ok := x.(waxwingseam.Run); ok {
			b.running = v.Call.ID
		}
	}
}

// arrive delivers an attempt to the node.
func (b *nodeBench) arrive(importance waxwingseam.Importance) {
	b.lastID++
	b.reduce(waxwingseam.AttemptArrived{Stamp: b.stamp(), Attempt: 1, Call: waxwingseam.Call{
		ID: waxwingseam.NewCallID(1, b.lastID), Service: "fees", Class: benchClass,
		Rank: waxwingseam.Rank{Importance: importance, Order: b.lastID}, Deadline: b.now.Add(time.Hour),
	}})
}

// serve ends the running call and delivers another attempt.
func (b *nodeBench) serve() {
	b.reduce(waxwingseam.RunEnded{Stamp: b.stamp(), ID: b.running, Result: waxwingseam.Result{Status: statusOK}})
	b.arrive(5)
}

// send delivers a root to the node and ends its attempt.
func (b *nodeBench) send() {
	b.lastID++
	id := waxwingseam.NewCallID(2, b.lastID)
	b.reduce(waxwingseam.CallArrived{
		Stamp: b.stamp(), ID: id, Root: waxwingseam.RootID(id), Service: "fees", Path: "/", Replayable: true,
	})
	b.reduce(waxwingseam.AttemptEnded{
		Stamp: b.stamp(), ID: id, Attempt: 1, Result: waxwingseam.Result{Status: statusOK, Reached: true},
	})
}

func BenchmarkReducer(b *testing.B) {
	for _, queued := range []int{10, 100, 1000} {
		for _, servers := range []int{20, 100, 1000} {
			n := newNodeBench(queued, servers)
			for _, v := range []struct {
				name   string
				events float64
				do     func()
			}{
				{"serve", 2, n.serve},
				{"refuse", 1, func() { n.arrive(1) }},
				{"send", 2, n.send},
			} {
				b.Run(fmt.Sprintf("%s/queued-%d/servers-%d", v.name, queued, servers), func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						v.do()
					}
					b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/v.events, "ns/event")
				})
			}
		}
	}
}

const (
	// servingAllocations is the number of allocations of a call through two nodes
	// in the forwarder's BenchmarkCall, without those of the backend server.
	servingAllocations = 277
	// refusalPercent is the target for the cost of a refusal, in percent of that.
	refusalPercent = 5
	maxAllocations = servingAllocations * refusalPercent / 100
)

// TestRefusalAllocationsBounded checks that a refusal makes at most maxAllocations
// allocations, also with a long queue.
func TestRefusalAllocationsBounded(t *testing.T) {
	for _, queued := range []int{10, 1000} {
		n := newNodeBench(queued, 1000)
		got := testing.AllocsPerRun(100, func() { n.arrive(1) })
		qt.Check(t, got <= maxAllocations, qt.IsTrue, qt.Commentf("%d queued: %v allocations", queued, got))
	}
}
