// Package experimenter measures layers against each other in virtual time: it
// drives the reducers of all nodes of a deployment with seeded demand, fakes of
// their backend servers and a fixed delay between hosts.
//
// A Config names the deployment, the layer, the demand and the faults; Run
// gives a Report. A fault is a function on the World at a time: it finds nodes
// by Service or Server and changes them by SetSpeed, SetParallel, SetFailing or
// Restart. Lose and Distort change what goes between nodes.
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

// settleTime is how long a run goes on after the demand.
const settleTime = 10 * time.Second

// nodePort is the port in the addresses of all nodes.
const nodePort = 7000

// Fault changes the world at a time after its start.
type Fault struct {
	At time.Duration
	Do func(w *World)
}

// Config describes one run of an experiment.
type Config struct {
	Deployment Deployment
	Layer      Layer
	// Plan is what each root does, Capacity the roots per second that count
	// as a demand of 1.
	Plan     *Visit
	Capacity float64
	// Plans are those of the kinds of requests, in their order, where they are
	// not all Plan.
	Plans  []*Visit
	Demand Demand
	Faults []Fault
	// TriggerStart is the end of the quiet time at the start; the trigger is on from
	// there to TriggerEnd; Duration is the end of the demand.
	TriggerStart time.Duration
	TriggerEnd   time.Duration
	Duration     time.Duration
	Seed         uint64
	// Lose, where set, says whether a message is lost on the way.
	Lose func(w *World, from, to *Node) bool
	// Distort, where set, changes an answer on its way from a node.
	Distort func(from *Node, result *waxwingseam.Result)
	// Prepare, where set, changes each node at the start of each of its lives.
	Prepare func(n *Node)
}

// plan returns what a kind of request does.
func (c *Config) plan(mix int) *Visit {
	if mix < len(c.Plans) {
		return c.Plans[mix]
	}
	return c.Plan
}

// World is the state of one run.
type World struct {
	config Config
	agenda agenda
	random *rand.Rand
	set    *waxwingseam.Set
	nodes  []*Node
	byName map[waxwingseam.ServerName]*Node
	calls  map[waxwingseam.CallID]*callState
	tally  tally
	zero   time.Time
}

// callState is what the world keeps of one call.
type callState struct {
	id    waxwingseam.CallID
	root  *root
	visit *Visit
	// node sent the call; job is the run that made it, nil for a root.
	node   *Node
	job    *job
	target waxwingseam.ServerName
	// answered is set once its sender has the answer; a run may still go on.
	answered bool
	// lost is set once the node that sent it has restarted.
	lost bool
}

// Run carries out one experiment.
func Run(config Config) Report {
	w := newWorld(config)
	for _, f := range config.Faults {
		w.agenda.after(f.At, func() { f.Do(w) })
	}
	newCallers(w).start()
	w.agenda.runUntil(w.zero.Add(config.Duration + settleTime))
	return w.tally.report(w)
}

func newWorld(config Config) *World {
	w := &World{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		set:    config.Deployment.set(),
		byName: map[waxwingseam.ServerName]*Node{},
		calls:  map[waxwingseam.CallID]*callState{},
		zero:   time.Unix(1_000_000, 0),
	}
	w.agenda.now = w.zero
	for i, t := range config.Deployment.Tiers {
		for j := range t.Servers {
			w.addNode(t, byte(i), byte(j))
		}
	}
	for _, n := range w.nodes {
		n.adopt()
	}
	return w
}

func (w *World) addNode(t Tier, tier, number byte) {
	address := netip.AddrFrom4([4]byte{127, 0, tier + 1, number + 1})
	server := waxwingseam.Server{
		Name:        waxwingseam.ServerName(fmt.Sprintf("%s-%d", t.Service, number+1)),
		Service:     t.Service,
		Node:        netip.AddrPortFrom(address, nodePort),
		DataCentre:  waxwingseam.DataCentre(fmt.Sprintf("dc-%d", number%3+1)),
		Incarnation: 1,
		Since:       w.zero.Add(-time.Hour),
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

// After does something once a time has passed.
func (w *World) After(d time.Duration, do func()) {
	w.agenda.after(d, do)
}

// Random returns the world's random source.
func (w *World) Random() *rand.Rand {
	return w.random
}

// Elapsed returns the time passed since the start.
func (w *World) Elapsed() time.Duration {
	return w.agenda.now.Sub(w.zero)
}

func (w *World) stamp() waxwingseam.Stamp {
	return waxwingseam.Stamp{Now: w.agenda.now, Random: w.random.Uint64()}
}

func (w *World) lost(from, to *Node) bool {
	return w.config.Lose != nil && w.config.Lose(w, from, to)
}

// workTime draws the time of one run's own work: half fixed, half exponential.
func (w *World) workTime(mean time.Duration) time.Duration {
	return max(mean/2+time.Duration(float64(mean/2)*w.random.ExpFloat64()), 1)
}

func (w *World) newCall(r *root, v *Visit, n *Node, j *job) *callState {
	call := &callState{
		id:    waxwingseam.NewCallID(w.random.Uint64(), w.random.Uint64()),
		root:  r,
		visit: v,
		node:  n,
		job:   j,
	}
	w.calls[call.id] = call
	return call
}

// childCall makes a call of a run at its own node.
func (w *World) childCall(n *Node, j *job, v *Visit) {
	call := w.newCall(j.call.root, v, n, j)
	w.agenda.after(0, func() {
		if call.lost {
			return
		}
		n.step(waxwingseam.CallArrived{
			Stamp:      w.stamp(),
			ID:         call.id,
			Parent:     j.call.id,
			Service:    v.Service,
			Path:       path(call.root.mix.Class),
			Replayable: true,
		})
	})
}

// reply carries the answer of a call to the run or the caller that made it.
func (w *World) reply(n *Node, v waxwingseam.Reply) {
	call, ok := w.calls[v.ID]
	if !ok || call.node != n || call.lost || call.answered {
		return
	}
	call.answered = true
	if call.job != nil {
		w.agenda.after(0, func() { n.backend.childEnded(call.job, v.Result) })
		return
	}
	w.agenda.after(w.config.Deployment.ClientDelay, func() { call.root.ended(v.Result) })
}

// dropCalls forgets the calls that a node had sent before its restart; callers
// see their connections fail.
func (w *World) dropCalls(n *Node) {
	var lost []*callState
	for _, call := range w.calls {
		if call.node == n && !call.lost && !call.answered {
			lost = append(lost, call)
		}
	}
	slices.SortFunc(lost, func(a, b *callState) int { return bytes.Compare(a.id[:], b.id[:]) })
	for _, call := range lost {
		call.lost = true
		if call.job == nil {
			w.agenda.after(w.config.Deployment.ClientDelay, func() {
				call.root.ended(waxwingseam.Result{
					Outcome: waxwingseam.OutcomeMayHaveRun,
					Reason:  waxwingseam.ReasonConnectionFailed,
				})
			})
		}
	}
}

// openCalls counts the calls without an answer.
func (w *World) openCalls() int {
	n := 0
	for _, call := range w.calls {
		if !call.lost && !call.answered {
			n++
		}
	}
	return n
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
