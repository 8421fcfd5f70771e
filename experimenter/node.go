package experimenter

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// maxDepth is the number of depths told apart; deeper calls count as the last.
const maxDepth = 16

// attemptKey identifies one attempt of a call.
type attemptKey struct {
	id      waxwingseam.CallID
	attempt waxwingseam.Attempt
}

// inbound is an attempt that a node has not answered yet.
type inbound struct {
	sender *Node
	// eventsAtArrival is the node's event count at the attempt's arrival.
	eventsAtArrival uint64
	depth           uint8
}

// Node is a node's reducer with its simulated backend server.
type Node struct {
	// Server describes the backend server to all nodes.
	Server  waxwingseam.Server
	world   *World
	tier    Tier
	reducer waxwingseam.Reducer
	backend *backend
	// timers maps each armed timer to the number that it was armed with.
	timers    map[waxwingseam.TimerID]uint64
	lastArmed uint64
	inbound   map[attemptKey]inbound
	// told holds what the node has learned from answers about the instances of backend
	// servers.
	told map[string]toldStatement
	// pausedUntil is when a pause of the node ends.
	pausedUntil time.Time
	// processorFree is when the node has processed the attempts that have arrived.
	processorFree time.Time
	// down is set while the node has crashed and is not back yet.
	down bool
	// incarnations counts the replacements of the backend server.
	incarnations int
	// events counts the reduced events.
	events uint64
	// lastStart is the event count at the last start of a run of each
	// importance and depth.
	lastStart [int(waxwingseam.MaxImportance) + 1][maxDepth]uint64
}

// toldStatement holds since when a node has known a statement; zero if it does not.
type toldStatement struct {
	limited time.Time
	leaving time.Time
}

func newNode(w *World, t Tier, server waxwingseam.Server) *Node {
	n := &Node{world: w, tier: t, Server: server}
	n.start()
	return n
}

// start starts an incarnation of the node.
func (n *Node) start() {
	n.reducer = n.world.config.Layer.New(n.Server)
	before := n.backend
	n.backend = newBackend(n, n.tier)
	if before != nil {
		n.backend.states, n.backend.statement, n.backend.arrivals = before.states, before.statement, before.arrivals
	}
	n.told = map[string]toldStatement{}
	n.timers = map[waxwingseam.TimerID]uint64{}
	n.inbound = map[attemptKey]inbound{}
	if n.world.config.Prepare != nil {
		n.world.config.Prepare(n)
	}
}

// step reduces one event and executes its effects.
func (n *Node) step(e waxwingseam.Event) {
	if n.down {
		return
	}
	if wait := n.pausedUntil.Sub(n.world.scheduler.now); wait > 0 {
		reducer := n.reducer
		n.world.scheduler.after(wait, func() {
			if n.reducer == reducer {
				n.step(restamped(e, n.world.stamp()))
			}
		})
		return
	}
	n.events++
	n.world.noteChoice(e)
	for _, x := range n.reducer.Reduce(e) {
		n.execute(x)
	}
}

func (n *Node) execute(x waxwingseam.Effect) {
	switch v := x.(type) {
	case waxwingseam.Dispatch:
		n.dispatch(v)
	case waxwingseam.AnswerAttempt:
		n.answer(v)
	case waxwingseam.Run:
		n.lastStart[v.Call.Rank.Importance][min(v.Call.Depth, maxDepth-1)] = n.events
		n.backend.run(n.world.calls[v.Call.ID], v)
	case waxwingseam.Reply:
		n.world.reply(n, v)
	case waxwingseam.CancelAttempt:
		n.cancelAttempt(v)
	case waxwingseam.CancelRun:
		n.backend.cancel(v.ID)
	case waxwingseam.Fence:
		n.fence(v)
	case waxwingseam.Announce:
		n.announce(v)
	case waxwingseam.ArmTimer:
		n.arm(v)
	case waxwingseam.StopTimer:
		delete(n.timers, v.Timer)
	}
}

// dispatch delivers an attempt to the node of its server.
func (n *Node) dispatch(v waxwingseam.Dispatch) {
	w := n.world
	call := w.calls[v.Call.ID]
	call.root.attempts++
	call.target = v.Server.Name
	to := w.byName[v.Server.Name]
	key := attemptKey{v.Call.ID, v.Attempt}
	w.scheduler.after(n.delay(to), func() {
		if w.messageLost(n, to) {
			return
		}
		received := w.scheduler.now
		w.scheduler.after(to.processorDelay(), func() {
			if to.down {
				to.refuseConnection(n, key)
				return
			}
			to.inbound[key] = inbound{sender: n, eventsAtArrival: to.events, depth: v.Call.Depth}
			to.step(waxwingseam.AttemptArrived{
				Stamp:       w.stamp(),
				Call:        v.Call,
				Attempt:     v.Attempt,
				Incarnation: v.Server.Incarnation,
				Known:       v.Known,
				Patient:     v.Patient,
				Received:    received,
			})
		})
	})
}

// processorDelay counts an arriving attempt and returns when the node's processor is
// done with it, as a time from now.
func (n *Node) processorDelay() time.Duration {
	w := n.world
	if w.config.ArrivalCost == nil {
		return 0
	}
	if n.processorFree.Before(w.scheduler.now) {
		n.processorFree = w.scheduler.now
	}
	n.processorFree = n.processorFree.Add(w.config.ArrivalCost(n))
	return n.processorFree.Sub(w.scheduler.now)
}

// answer delivers an answer to the attempt's sender.
func (n *Node) answer(v waxwingseam.AnswerAttempt) {
	w := n.world
	key := attemptKey{v.ID, v.Attempt}
	in, ok := n.inbound[key]
	if !ok {
		return
	}
	delete(n.inbound, key)
	w.tally.countInversion(n, w.calls[v.ID], in, v.Result)
	result := v.Result
	if w.config.Distort != nil {
		w.config.Distort(n, &result)
	}
	statement, instance := n.backend.statement, n.Server.Instance
	w.scheduler.after(n.delay(in.sender), func() {
		if w.messageLost(n, in.sender) {
			return
		}
		if result.Completed() {
			in.sender.learn(instance, statement)
		}
		in.sender.step(waxwingseam.AttemptEnded{
			Stamp:   w.stamp(),
			ID:      v.ID,
			Attempt: v.Attempt,
			Result:  result,
		})
	})
}

// cancelAttempt delivers a cancellation to the call's latest target.
func (n *Node) cancelAttempt(v waxwingseam.CancelAttempt) {
	w := n.world
	to := w.byName[w.calls[v.ID].target]
	w.scheduler.after(n.delay(to), func() {
		delete(to.inbound, attemptKey{v.ID, v.Attempt})
		to.step(waxwingseam.AttemptCancelled{
			Stamp:   w.stamp(),
			ID:      v.ID,
			Attempt: v.Attempt,
		})
	})
}

// fence delivers a fence to its server's node, and the answer back.
func (n *Node) fence(v waxwingseam.Fence) {
	w := n.world
	to := w.byName[v.Server.Name]
	w.scheduler.after(n.delay(to), func() {
		if to.down {
			w.scheduler.after(n.delay(to), func() {
				n.step(waxwingseam.FenceAnswered{Stamp: w.stamp(), ID: v.ID, Attempt: v.Attempt})
			})
			return
		}
		for _, x := range to.reduce(waxwingseam.FenceAsked{Stamp: w.stamp(), ID: v.ID, Until: v.Until}) {
			answer, ok := x.(waxwingseam.AnswerFence)
			if !ok {
				to.execute(x)
				continue
			}
			w.scheduler.after(n.delay(to), func() {
				n.step(waxwingseam.FenceAnswered{
					Stamp:       w.stamp(),
					ID:          v.ID,
					Attempt:     v.Attempt,
					Reached:     true,
					Started:     answer.Started,
					Incarnation: answer.Incarnation,
				})
			})
		}
	})
}

// learn records what an answer that the node passes on says of a backend server.
func (n *Node) learn(instance string, s waxwingseam.Statement) {
	t := n.told[instance]
	if s.Limited && t.limited.IsZero() {
		t.limited = n.world.scheduler.now
	}
	if s.Leaving && t.leaving.IsZero() {
		t.leaving = n.world.scheduler.now
	}
	n.told[instance] = t
}

// announce delivers the node's description of its backend server to all nodes.
func (n *Node) announce(v waxwingseam.Announce) {
	n.Server = v.Self
	w := n.world
	w.scheduler.after(w.config.Deployment.Delay, func() {
		for _, other := range w.nodes {
			other.updateServers([]waxwingseam.Server{v.Self})
		}
	})
}

// restamped returns an event with another stamp.
func restamped(e waxwingseam.Event, s waxwingseam.Stamp) waxwingseam.Event {
	v := reflect.New(reflect.TypeOf(e)).Elem()
	v.Set(reflect.ValueOf(e))
	v.FieldByName("Stamp").Set(reflect.ValueOf(s))
	return v.Interface().(waxwingseam.Event)
}

// SetStatement sets what the backend server says in the header of its answers.
func (n *Node) SetStatement(s waxwingseam.Statement) {
	n.backend.states, n.backend.statement = true, s
}

// Arrivals returns the requests that were handed to the backend servers of the node.
func (n *Node) Arrivals() []Arrival {
	return n.backend.arrivals
}

// Pause stops the node for a time, in which its backend server goes on. What the node
// knew of backend servers does not count until it has been told again.
func (n *Node) Pause(d time.Duration) {
	n.told = map[string]toldStatement{}
	n.pausedUntil = n.world.scheduler.now.Add(d)
}

// ReplaceBackend ends all runs and starts a new incarnation of the backend server
// beside the running node.
func (n *Node) ReplaceBackend() {
	w := n.world
	for _, id := range slices.SortedFunc(maps.Keys(n.backend.jobs), waxwingseam.CallID.Compare) {
		if j, ok := n.backend.jobs[id]; ok {
			n.backend.end(j, statusFailed)
		}
	}
	n.backend.statement = waxwingseam.Statement{}
	n.incarnations++
	n.Server.Instance = fmt.Sprintf("%s-%d", n.Server.Name, n.incarnations)
	n.step(waxwingseam.BackendReported{Stamp: w.stamp(), Report: waxwingseam.BackendReport{
		Instance: n.Server.Instance,
		Service:  n.Server.Service,
		State:    waxwingseam.BackendReady,
		Started:  w.scheduler.now,
		Sequence: 1,
	}})
}

func (n *Node) reduce(e waxwingseam.Event) []waxwingseam.Effect {
	n.events++
	return n.reducer.Reduce(e)
}

// arm fires a timer at its time unless it is stopped or rearmed before.
func (n *Node) arm(v waxwingseam.ArmTimer) {
	w := n.world
	n.lastArmed++
	armed := n.lastArmed
	n.timers[v.Timer] = armed
	w.scheduler.after(v.At.Sub(w.scheduler.now), func() {
		if n.timers[v.Timer] != armed {
			return
		}
		delete(n.timers, v.Timer)
		n.step(waxwingseam.TimerFired{Stamp: w.stamp(), Timer: v.Timer})
	})
}

func (n *Node) delay(to *Node) time.Duration {
	if n == to {
		return 0
	}
	return n.world.config.Deployment.Delay
}

// SetSpeed sets the speed of the backend server's work; 1 is normal.
func (n *Node) SetSpeed(speed float64) {
	n.backend.setSpeed(speed)
}

// SetParallel sets how many runs can work at full speed at once, and the
// relative slowdown for each further multiple of that.
func (n *Node) SetParallel(parallel int, contention float64) {
	n.backend.advanceClock()
	n.backend.parallel = parallel
	n.backend.contention = contention
	n.backend.scheduleWorkEnd()
}

// SetFailing sets whether every new run fails at once.
func (n *Node) SetFailing(failing bool) {
	n.backend.failing = failing
}

// Restart ends the node's incarnation with all its runs and starts the next.
// Unanswered attempts end with a failed connection, and all nodes receive the
// new incarnation.
func (n *Node) Restart() {
	w := n.world
	unanswered := n.inbound
	for _, j := range n.backend.jobs {
		j.ended = true
		n.backend.countSlotTime(j)
	}
	n.backend.wakeGeneration++
	n.Server.Incarnation++
	n.Server.Since = w.scheduler.now
	n.start()
	n.configure()
	w.dropCalls(n)
	n.failAttempts(unanswered)
	for _, other := range w.nodes {
		other.updateServers([]waxwingseam.Server{n.Server})
	}
}

// failAttempts ends unanswered attempts with a failed connection.
func (n *Node) failAttempts(unanswered map[attemptKey]inbound) {
	w := n.world
	for _, key := range sortedKeys(unanswered) {
		sender := unanswered[key].sender
		w.scheduler.after(n.delay(sender), func() {
			sender.step(waxwingseam.AttemptEnded{
				Stamp:   w.stamp(),
				ID:      key.id,
				Attempt: key.attempt,
				Result: waxwingseam.Result{
					Outcome: waxwingseam.OutcomeMayHaveRun,
					Reason:  waxwingseam.ReasonConnectionFailed,
				},
			})
		})
	}
}

// configure delivers the configuration and all servers to the node's reducer.
func (n *Node) configure() {
	w := n.world
	n.step(waxwingseam.SetAdopted{Stamp: w.stamp(), Set: w.set})
	servers := make([]waxwingseam.Server, 0, len(w.nodes))
	for _, other := range w.nodes {
		servers = append(servers, other.Server)
	}
	n.updateServers(servers)
}

func (n *Node) updateServers(servers []waxwingseam.Server) {
	n.step(waxwingseam.ServersUpdated{Stamp: n.world.stamp(), Servers: servers})
}
