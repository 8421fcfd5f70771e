// Package experimenter compares layers in virtual time: it drives the reducers
// of all nodes of a deployment with seeded demand, simulated backend servers
// and a fixed delay between hosts.
//
// A Config describes the deployment, the layer, the demand and the faults; Run
// returns a Report. A Fault runs a function on the World at a time: the
// function finds nodes with World.Service and changes them with SetSpeed,
// SetParallel, SetFailing or Restart. Config.Lose drops attempts and answers, and
// Config.Distort changes answers.
package experimenter

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	statusOK        = 200
	statusFailed    = 503
	statusCancelled = 499
)

// settleTime is how long a run continues after the end of the demand.
const settleTime = 10 * time.Second

// dataCentres is the number of data centres that the servers of a service are spread over.
const dataCentres = 3

// nodePort is the port in the addresses of all nodes.
const nodePort = 7000

// Fault changes the world at a time after the start.
type Fault struct {
	At time.Duration
	Do func(w *World)
}

// Config describes one run of an experiment.
type Config struct {
	Deployment Deployment
	Layer      Layer
	// Plan is the plan of each root, Capacity the rate of roots, per second,
	// that counts as a demand of 1.
	Plan     *Visit
	Capacity float64
	// Plans are the plans of the kinds of requests, in their order, if they
	// differ; a kind without one uses Plan.
	Plans  []*Visit
	Demand Demand
	Faults []Fault
	// TriggerStart and TriggerEnd are the times at which the trigger starts and
	// ends; Duration is how long the demand lasts.
	TriggerStart time.Duration
	TriggerEnd   time.Duration
	Duration     time.Duration
	Seed         uint64
	// Lose, if set, reports whether an attempt or answer is lost on the way.
	Lose func(w *World, from, to *Node) bool
	// Distort, if set, changes an answer that a node sends.
	Distort func(from *Node, result *waxwingseam.Result)
	// ArrivalCost returns the processor time that a node takes for an arriving
	// attempt; nil for none. Attempts wait for the processor in order of arrival. It is
	// also asked in between, without an arrival.
	ArrivalCost func(n *Node) time.Duration
	// RefusedShare, if set, returns the share of all requests that the backend servers
	// of a service refuse at a time after the start, whatever their load.
	RefusedShare func(service waxwingseam.ServiceName, at time.Duration) float64
	// Accounts are the client accounts of the callers; none if empty. If UnnamedAccounts is
	// set, the demand is the same, but nodes know of no accounts.
	Accounts        []Account
	UnnamedAccounts bool
	// Uneven, if set, makes servers and requests differ.
	Uneven *Uneven
	// Prepare, if set, changes a node at the start of each incarnation.
	Prepare func(n *Node)
}

// plan returns the plan of a kind of request.
func (c *Config) plan(kind int) *Visit {
	if kind < len(c.Plans) {
		return c.Plans[kind]
	}
	return c.Plan
}

// World is the state of one run.
type World struct {
	config    Config
	scheduler scheduler
	random    *rand.Rand
	set       *waxwingseam.Set
	nodes     []*Node
	byName    map[waxwingseam.ServerName]*Node
	calls     map[waxwingseam.CallID]*callState
	tally     tally
	accounts  accounts
	startTime time.Time
	// choosing is the call that the current event is about, if it arrives or an attempt of
	// it has ended; for an oracle.
	choosing *callState
	// uneven is nil unless Config.Uneven is set.
	uneven *uneven
}

// callState is the state of one call.
type callState struct {
	id    waxwingseam.CallID
	root  *root
	visit *Visit
	// node is the sending node; parent is the run that made the call, nil for
	// a root.
	node   *Node
	parent *job
	target waxwingseam.ServerName
	issued time.Time
	// work is the own work of the call's run; 0 if it is drawn when the run begins.
	work time.Duration
	// begun is set once the run has got a slot.
	begun bool
	// answered is set once the node has answered the call; a run may continue.
	answered bool
	// senderRestarted is set if the node restarted before the answer.
	senderRestarted bool
}

// Run runs one experiment and returns its report.
func Run(config Config) Report {
	w := newWorld(config)
	for _, f := range config.Faults {
		w.scheduler.after(f.At, func() { f.Do(w) })
	}
	if w.uneven != nil {
		w.uneven.start()
	}
	w.startSlotTally()
	newCallers(w).start()
	w.scheduler.runUntil(w.startTime.Add(config.Duration + settleTime))
	return w.tally.report(w)
}

func newWorld(config Config) *World {
	w := &World{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, config.Seed)),
		set:       config.Deployment.set(),
		byName:    map[waxwingseam.ServerName]*Node{},
		calls:     map[waxwingseam.CallID]*callState{},
		startTime: time.Unix(1_000_000, 0),
		accounts:  newAccounts(&config),
	}
	w.accounts.addTo(w.set)
	w.scheduler.now = w.startTime
	if config.Uneven != nil {
		w.uneven = newUneven(w, *config.Uneven)
	}
	if config.Layer.Bind != nil {
		config.Layer.Bind(w)
	}
	for i, t := range config.Deployment.Tiers {
		for j := range t.Servers {
			w.addNode(t, byte(i), byte(j))
		}
	}
	for _, n := range w.nodes {
		n.configure()
	}
	return w
}

func (w *World) addNode(t Tier, tier, number byte) {
	address := netip.AddrFrom4([4]byte{127, 0, tier + 1, number + 1})
	server := waxwingseam.Server{
		Name:        waxwingseam.ServerName(fmt.Sprintf("%s-%d", t.Service, number+1)),
		Service:     t.Service,
		Node:        netip.AddrPortFrom(address, nodePort),
		DataCentre:  waxwingseam.DataCentre(fmt.Sprintf("dc-%d", number%dataCentres+1)),
		Incarnation: 1,
		Instance:    fmt.Sprintf("%s-%d-0", t.Service, number+1),
		Since:       w.startTime.Add(-time.Hour),
	}
	n := newNode(w, t, server)
	w.nodes = append(w.nodes, n)
	w.byName[server.Name] = n
}

// Service returns the nodes of a service.
func (w *World) Service(name waxwingseam.ServiceName) []*Node {
	var out []*Node
	for _, n := range w.nodes {
		if n.Server.Service == name {
			out = append(out, n)
		}
	}
	return out
}

// After schedules a function to run after a delay.
func (w *World) After(d time.Duration, do func()) {
	w.scheduler.after(d, do)
}

// Random returns the world's random source.
func (w *World) Random() *rand.Rand {
	return w.random
}

// Elapsed returns the time since the start.
func (w *World) Elapsed() time.Duration {
	return w.scheduler.now.Sub(w.startTime)
}

func (w *World) stamp() waxwingseam.Stamp {
	return waxwingseam.Stamp{Now: w.scheduler.now, Random: w.random.Uint64()}
}

func (w *World) messageLost(from, to *Node) bool {
	return w.config.Lose != nil && w.config.Lose(w, from, to)
}

// workTime returns a random duration of own work: half fixed, half exponential.
func (w *World) workTime(mean time.Duration) time.Duration {
	return max(mean/2+time.Duration(float64(mean/2)*w.random.ExpFloat64()), 1)
}

func (w *World) newCall(r *root, v *Visit, n *Node, j *job) *callState {
	call := &callState{
		id:     waxwingseam.NewCallID(w.random.Uint64(), w.random.Uint64()),
		root:   r,
		visit:  v,
		node:   n,
		parent: j,
		issued: w.scheduler.now,
	}
	if w.uneven != nil {
		call.work = w.uneven.workOf(v)
	}
	w.calls[call.id] = call
	return call
}

// makeChildCall makes a call of a run at the run's own node.
func (w *World) makeChildCall(n *Node, j *job, v *Visit) {
	call := w.newCall(j.call.root, v, n, j)
	w.scheduler.after(0, func() {
		if call.senderRestarted {
			return
		}
		n.step(waxwingseam.CallArrived{
			Stamp:      w.stamp(),
			ID:         call.id,
			Parent:     j.call.id,
			Service:    v.Service,
			Path:       path(call.root.kind.Class),
			Replayable: true,
		})
	})
}

// reply delivers the answer of a call to the run or caller that made it.
func (w *World) reply(n *Node, v waxwingseam.Reply) {
	call, ok := w.calls[v.ID]
	if !ok || call.node != n || call.senderRestarted || call.answered {
		return
	}
	call.answered = true
	if call.parent != nil {
		w.scheduler.after(0, func() { n.backend.childEnded(call.parent, v.Result) })
		return
	}
	w.scheduler.after(w.config.Deployment.ClientDelay, func() { call.root.ended(v.Result) })
}

// dropCalls drops the unanswered calls that a node sent before its restart;
// those from callers fail at the caller.
func (w *World) dropCalls(n *Node) {
	var dropped []*callState
	for _, call := range w.calls {
		if call.node == n && !call.senderRestarted && !call.answered {
			dropped = append(dropped, call)
		}
	}
	slices.SortFunc(dropped, func(a, b *callState) int { return bytes.Compare(a.id[:], b.id[:]) })
	for _, call := range dropped {
		call.senderRestarted = true
		if call.parent == nil {
			w.scheduler.after(w.config.Deployment.ClientDelay, func() {
				call.root.ended(waxwingseam.Result{
					Outcome: waxwingseam.OutcomeMayHaveRun,
					Reason:  waxwingseam.ReasonConnectionFailed,
				})
			})
		}
	}
}

// openCalls returns the number of unanswered calls, without the dropped ones.
func (w *World) openCalls() int {
	n := 0
	for _, call := range w.calls {
		if !call.senderRestarted && !call.answered {
			n++
		}
	}
	return n
}

// noteChoice records the call for which an event may make a node choose a server.
func (w *World) noteChoice(e waxwingseam.Event) {
	switch v := e.(type) {
	case waxwingseam.CallArrived:
		w.choosing = w.calls[v.ID]
	case waxwingseam.AttemptEnded:
		w.choosing = w.calls[v.ID]
	case waxwingseam.TimerFired:
		w.choosing = w.calls[v.Timer.Call]
	}
}

// succeeded reports whether a backend server served the call in full.
func succeeded(r waxwingseam.Result) bool {
	return r.Completed() && r.Status < 400
}

func sortedKeys(m map[attemptKey]inbound) []attemptKey {
	keys := make([]attemptKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b attemptKey) int {
		return cmp.Or(bytes.Compare(a.id[:], b.id[:]), cmp.Compare(a.attempt, b.attempt))
	})
	return keys
}
