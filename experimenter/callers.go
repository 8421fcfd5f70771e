package experimenter

import (
	"encoding/binary"
	"time"

	"waxwingseam.example/waxwingseam"
)

// Demand describes the requests of the callers.
type Demand struct {
	// Base is the demand, Surge the demand during the trigger if it is not 0; both
	// are multiples of the capacity.
	Base  float64
	Surge float64
	// Resends bounds how often a caller resends a failed request, without delay.
	Resends int
	// Patient callers send the time for which they still wait, from their kind's deadline
	// on, and a refused one resends its request after the time that it was told, or after
	// a third of the time that it has left.
	Patient bool
	// Keys gives each request an idempotency key that its resends repeat.
	Keys bool
	// LeavePercent is the share of roots, in percent, whose caller leaves early.
	LeavePercent int
	// AnyNode makes callers send to any node, in place of one of the request's first
	// service.
	AnyNode bool
}

// request is one request of a caller, with all roots sent for it.
type request struct {
	kind    int
	account int
	issued  time.Time
	resends int
	key     string
	served  bool
	// onTime is set once the request was served within its objective.
	onTime bool
	// answered is when the request was served.
	answered time.Time
	// refusedWindow numbers the last window in which the request was refused, from 1.
	refusedWindow int
	// callerLeft is set once the caller has left before the answer.
	callerLeft bool
}

// root is one send of a request.
type root struct {
	callers *callers
	request *request
	kind    *RequestKind
	call    *callState
	// sent is the time at which the caller sent it.
	sent time.Time
	// work is the time that backend servers have worked for the root.
	work time.Duration
	// slotTime is the time during the trigger for which it held slots of each service.
	slotTime map[waxwingseam.ServiceName]time.Duration
	// attempts counts the attempts of all calls of the root.
	attempts int
	served   bool
	fate     fate
	// callerLeft is set once the caller has left and no longer resends.
	callerLeft bool
}

// callers generates the demand.
type callers struct {
	world      *World
	totalShare int
}

func newCallers(w *World) *callers {
	c := &callers{world: w}
	for _, k := range w.config.Deployment.RequestKinds {
		c.totalShare += k.Share
	}
	return c
}

func (c *callers) start() {
	c.world.scheduler.after(0, c.issueNext)
}

// issueNext issues one request and schedules the next.
func (c *callers) issueNext() {
	w := c.world
	elapsed := w.Elapsed()
	if elapsed >= w.config.Duration {
		return
	}
	c.issue()
	demand := w.config.Demand.Base
	if elapsed >= w.config.TriggerStart && elapsed < w.config.TriggerEnd && w.config.Demand.Surge > 0 {
		demand = w.config.Demand.Surge
	}
	gap := w.random.ExpFloat64() / (demand * w.config.Capacity)
	w.scheduler.after(time.Duration(gap*float64(time.Second)), c.issueNext)
}

func (c *callers) issue() {
	w := c.world
	r := &request{kind: c.pickKind(), account: w.accounts.pick(w), issued: w.scheduler.now}
	if w.config.Demand.Keys {
		var key [8]byte
		binary.BigEndian.PutUint64(key[:], w.random.Uint64())
		r.key = string(key[:])
	}
	w.tally.addRequest(r)
	c.send(r)
}

// pickKind picks a random kind of request, weighted by share.
func (c *callers) pickKind() int {
	n := c.world.random.IntN(c.totalShare)
	for i, k := range c.world.config.Deployment.RequestKinds {
		n -= k.Share
		if n < 0 {
			return i
		}
	}
	return 0
}

// send sends a request as a new root to a random node.
func (c *callers) send(q *request) {
	w := c.world
	kind := &w.config.Deployment.RequestKinds[q.kind]
	plan := w.config.plan(q.kind)
	nodes := w.nodes
	if !w.config.Demand.AnyNode {
		nodes = w.Service(plan.Service)
	}
	n := c.pickNode(nodes)
	if only := w.accounts.node(w, q.account); only != nil {
		n = only
	}
	r := &root{callers: c, request: q, kind: kind, sent: w.scheduler.now}
	r.call = w.newCall(r, plan, n, nil)
	w.tally.addRoot(r)
	w.scheduler.after(w.config.Deployment.ClientDelay, func() {
		if r.call.senderRestarted {
			return
		}
		id := r.call.id
		n.step(waxwingseam.CallArrived{
			Stamp:      w.stamp(),
			ID:         id,
			Root:       waxwingseam.RootID(id),
			Service:    plan.Service,
			Path:       path(kind.Class),
			Key:        q.key,
			Replayable: true,
			Timeout:    c.timeLeft(q),
			KeyDigest:  w.accounts.key(q.account),
		})
	})
	c.scheduleLeave(r)
}

func (c *callers) pickNode(nodes []*Node) *Node {
	if u := c.world.uneven; u != nil {
		return nodes[u.nodeOf(len(nodes))]
	}
	return nodes[c.world.random.IntN(len(nodes))]
}

// timeLeft returns how long the caller of a request still waits; 0 if it does not say.
func (c *callers) timeLeft(q *request) time.Duration {
	if !c.world.config.Demand.Patient {
		return 0
	}
	limit := c.world.config.Deployment.RequestKinds[q.kind].Deadline
	return max(limit-c.world.scheduler.now.Sub(q.issued), 1)
}

// scheduleLeave makes a root's caller leave with the configured probability.
func (c *callers) scheduleLeave(r *root) {
	w := c.world
	if w.config.Demand.LeavePercent == 0 || w.random.IntN(100) >= w.config.Demand.LeavePercent {
		return
	}
	w.scheduler.after(2*w.config.Deployment.ClientDelay, func() { c.leave(r) })
}

// leave reports to a root's node that the caller has left.
func (c *callers) leave(r *root) {
	w := c.world
	if r.call.answered || r.call.senderRestarted {
		return
	}
	r.callerLeft = true
	r.request.callerLeft = true
	r.call.node.step(waxwingseam.CallerLeft{Stamp: w.stamp(), ID: r.call.id})
}

// ended handles the answer to a root, and resends a failed request.
func (r *root) ended(result waxwingseam.Result) {
	c := r.callers
	c.world.tally.rootEnded(c.world, r, result)
	if r.served || r.callerLeft || r.request.resends >= c.world.accounts.resends(c.world, r.request.account) {
		return
	}
	r.request.resends++
	if left := c.timeLeft(r.request); left > 0 && result.RetryAfter > 0 {
		c.world.scheduler.after(min(result.RetryAfter, left/3), func() { c.send(r.request) })
		return
	}
	c.send(r.request)
}
