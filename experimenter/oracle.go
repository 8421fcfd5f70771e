package experimenter

import (
	"container/heap"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/balancer"
)

// Oracle returns the project's layer with a balancer that knows the true work of each
// call and the state and speed of each server at this moment. It sends a call to the
// server that would end it first, and refuses a root that could not end within its
// objective at any server. It bounds from above what a choice of servers can reach,
// except for the order in queues.
func Oracle() Layer {
	return newOracle("oracle", true)
}

// StateOracle returns an oracle that knows the state of the servers and the work of the
// calls there, but of the call that it sends only the mean work of its class. The difference
// to Oracle is what no choice can gain, as long calls look like others.
func StateOracle() Layer {
	return newOracle("oracle of the state", false)
}

func newOracle(name string, knowsWork bool) Layer {
	var world *World
	return variantWith(variantConfig{
		name: name,
		balancer: func(self waxwingseam.Server) waxwingseam.Balancer {
			inner := balancer.New(balancer.Config{Self: self.Name, DataCentre: self.DataCentre})
			return &oracle{Balancer: inner, world: world, knowsWork: knowsWork}
		},
		bind: func(w *World) { world = w },
	})
}

// oracleWait is the longest time for which the oracle lets a root wait, so that it refuses
// requests of all costs alike.
const oracleWait = 50 * time.Millisecond

// oracle embeds a balancer for what it does not decide itself.
type oracle struct {
	waxwingseam.Balancer
	world     *World
	knowsWork bool
}

// Choose implements waxwingseam.Balancer.
func (o *oracle) Choose(c *waxwingseam.Context, q waxwingseam.Query) waxwingseam.Choice {
	call := o.world.choosing
	work := call.work
	if u := o.world.uneven; !o.knowsWork && u != nil {
		work = time.Duration(float64(call.visit.Work) * u.MeanCost())
	}
	var best *Node
	var bestEnd time.Duration
	for _, n := range o.world.nodes {
		if n.Server.Service != q.Service || n.down || slices.Contains(q.Tried, n.Server.Name) {
			continue
		}
		if end := n.backend.expectedEnd(work); best == nil || end < bestEnd {
			best, bestEnd = n, end
		}
	}
	if best == nil {
		return waxwingseam.Choice{Refused: true, Reason: waxwingseam.ReasonNoServer, Basis: waxwingseam.BasisServers}
	}
	spent := c.Now.Sub(call.issued)
	wait := bestEnd - time.Duration(float64(work)/best.backend.speed)
	if q.Root && (wait > oracleWait || spent+bestEnd > call.root.kind.Objective) {
		return waxwingseam.Choice{Refused: true, Reason: waxwingseam.ReasonOverloaded, Basis: waxwingseam.BasisServers, RetryAfter: time.Second}
	}
	best.backend.assigned = append(best.backend.assigned, call)
	return waxwingseam.Choice{Server: best.Server}
}

// Observe implements waxwingseam.Balancer.
func (o *oracle) Observe(*waxwingseam.Context, waxwingseam.Feedback) {}

// Overloaded implements waxwingseam.Balancer.
func (o *oracle) Overloaded(*waxwingseam.Context, waxwingseam.ServiceName) bool { return false }

// durationHeap is a min-heap of durations.
type durationHeap []time.Duration

// Len implements heap.Interface.
func (x durationHeap) Len() int { return len(x) }

// Less implements heap.Interface.
func (x durationHeap) Less(i, j int) bool { return x[i] < x[j] }

// Swap implements heap.Interface.
func (x durationHeap) Swap(i, j int) { x[i], x[j] = x[j], x[i] }

// Push implements heap.Interface.
func (x *durationHeap) Push(v any) { *x = append(*x, v.(time.Duration)) }

// Pop implements heap.Interface.
func (x *durationHeap) Pop() any {
	old := *x
	last := old[len(old)-1]
	*x = old[:len(old)-1]
	return last
}

// expectedEnd returns the time until the server would end a further call of a work,
// after those that run, wait and are on their way, if its speed stays as it is.
func (b *backend) expectedEnd(work time.Duration) time.Duration {
	b.assigned = slices.DeleteFunc(b.assigned, func(c *callState) bool { return c.begun || c.answered })
	b.advanceClock()
	free := make(durationHeap, 0, b.slots)
	for _, j := range b.working {
		free = append(free, j.finish-b.workClock)
	}
	for len(free) < b.slots {
		free = append(free, 0)
	}
	if len(b.assigned) == 0 && len(b.working) < b.slots {
		return time.Duration(float64(work) / b.speed)
	}
	heap.Init(&free)
	for _, c := range b.assigned {
		free[0] += c.work
		heap.Fix(&free, 0)
	}
	return time.Duration(float64(free[0]+work) / b.speed)
}
