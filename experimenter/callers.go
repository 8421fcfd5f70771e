package experimenter

import (
	"encoding/binary"
	"time"

	"waxwingseam.example/waxwingseam"
)

// Demand is what the callers do.
type Demand struct {
	// Base is the demand outside the trigger, Surge that while it is on; both
	// as a multiple of the capacity.
	Base  float64
	Surge float64
	// Resends is how often a caller sends a failed request again at once.
	Resends int
	// Keys makes resends carry the first request's idempotency key.
	Keys bool
	// LeavePercent is the share of callers, in percent, that leave before the answer.
	LeavePercent int
}

// request is what a caller wants, over all its roots.
type request struct {
	mix     int
	issued  time.Time
	resends int
	key     string
	done    bool
	// left is set once its caller is gone before the answer.
	left bool
}

// root is one root of a request.
type root struct {
	callers *callers
	request *request
	mix     *RequestKind
	call    *callState
	// sent is when the caller sent it.
	sent time.Time
	// work is the time that backend servers have worked for it.
	work time.Duration
	// attempts counts the attempts over the whole chain.
	attempts int
	served   bool
	// left is set once the caller has gone; it does not come back.
	left bool
}

// callers make the demand.
type callers struct {
	world *World
	total int
}

func newCallers(w *World) *callers {
	c := &callers{world: w}
	for _, m := range w.config.Deployment.RequestKinds {
		c.total += m.Share
	}
	return c
}

func (c *callers) start() {
	c.world.agenda.after(0, c.next)
}

// next issues one request and plans the next.
func (c *callers) next() {
	w := c.world
	since := w.Elapsed()
	if since >= w.config.Duration {
		return
	}
	c.issue()
	demand := w.config.Demand.Base
	if since >= w.config.TriggerStart && since < w.config.TriggerEnd && w.config.Demand.Surge > 0 {
		demand = w.config.Demand.Surge
	}
	gap := w.random.ExpFloat64() / (demand * w.config.Capacity)
	w.agenda.after(time.Duration(gap*float64(time.Second)), c.next)
}

func (c *callers) issue() {
	w := c.world
	r := &request{mix: c.pick(), issued: w.agenda.now}
	if w.config.Demand.Keys {
		var key [8]byte
		binary.BigEndian.PutUint64(key[:], w.random.Uint64())
		r.key = string(key[:])
	}
	w.tally.requested(r)
	c.send(r)
}

// pick draws a kind of request by its share.
func (c *callers) pick() int {
	n := c.world.random.IntN(c.total)
	for i, m := range c.world.config.Deployment.RequestKinds {
		n -= m.Share
		if n < 0 {
			return i
		}
	}
	return 0
}

// send makes a root of a request at a node of the first service.
func (c *callers) send(q *request) {
	w := c.world
	mix := &w.config.Deployment.RequestKinds[q.mix]
	plan := w.config.plan(q.mix)
	nodes := w.Service(plan.Service)
	n := nodes[w.random.IntN(len(nodes))]
	r := &root{callers: c, request: q, mix: mix, sent: w.agenda.now}
	r.call = w.newCall(r, plan, n, nil)
	w.tally.sent(r)
	w.agenda.after(w.config.Deployment.ClientDelay, func() {
		if r.call.lost {
			return
		}
		id := r.call.id
		n.step(waxwingseam.CallArrived{
			Stamp:      w.stamp(),
			ID:         id,
			Root:       waxwingseam.RootID(id),
			Service:    plan.Service,
			Path:       path(mix.Class),
			Key:        q.key,
			Replayable: true,
		})
	})
	c.mayLeave(r)
}

// mayLeave lets a share of the callers go while their root is under way.
func (c *callers) mayLeave(r *root) {
	w := c.world
	if w.config.Demand.LeavePercent == 0 || w.random.IntN(100) >= w.config.Demand.LeavePercent {
		return
	}
	w.agenda.after(2*w.config.Deployment.ClientDelay, func() { c.leave(r) })
}

// leave tells the node of a root that its caller is gone.
func (c *callers) leave(r *root) {
	w := c.world
	if r.call.answered || r.call.lost {
		return
	}
	r.left = true
	r.request.left = true
	r.call.node.step(waxwingseam.CallerLeft{Stamp: w.stamp(), ID: r.call.id})
}

// ended takes in the answer to a root: a caller sends a failed request again.
func (r *root) ended(result waxwingseam.Result) {
	c := r.callers
	c.world.tally.ended(c.world, r, result)
	if r.served || r.left || r.request.resends >= c.world.config.Demand.Resends {
		return
	}
	r.request.resends++
	c.send(r.request)
}
