package experimenter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// maxDepth is how many depths of calls are told apart.
const maxDepth = 16

// attemptKey names one attempt of one call.
type attemptKey struct {
	id      waxwingseam.CallID
	attempt waxwingseam.Attempt
}

// inbound is an attempt that a node has to answer.
type inbound struct {
	sender *Node
	// arrived counts the node's events at its arrival.
	arrived uint64
	depth   uint8
}

// Node is one backend server with the reducer beside it.
type Node struct {
	// Server is what the others know of it.
	Server  waxwingseam.Server
	world   *World
	tier    Tier
	reducer waxwingseam.Reducer
	backend *backend
	timers  map[waxwingseam.TimerID]uint64
	armed   uint64
	inbound map[attemptKey]inbound
	// events counts the reduced events.
	events uint64
	// started is the event at which a run of each importance and depth last
	// started.
	started [int(waxwingseam.MaxImportance) + 1][maxDepth]uint64
}

func newNode(w *World, t Tier, server waxwingseam.Server) *Node {
	n := &Node{world: w, tier: t, Server: server}
	n.start()
	return n
}

// start begins a life of the node.
func (n *Node) start() {
	n.reducer = n.world.config.Layer.New(n.Server)
	n.backend = newBackend(n, n.tier)
	n.timers = map[waxwingseam.TimerID]uint64{}
	n.inbound = map[attemptKey]inbound{}
	if n.world.config.Prepare != nil {
		n.world.config.Prepare(n)
	}
}

// step reduces one event and carries out its effects.
func (n *Node) step(e waxwingseam.Event) {
	n.events++
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
		n.started[v.Call.Rank.Importance][min(v.Call.Depth, maxDepth-1)] = n.events
		n.backend.run(n.world.calls[v.Call.ID])
	case waxwingseam.Reply:
		n.world.reply(n, v)
	case waxwingseam.CancelAttempt:
		n.cancelAttempt(v)
	case waxwingseam.CancelRun:
		n.backend.cancel(v.ID)
	case waxwingseam.Fence:
		n.fence(v)
	case waxwingseam.ArmTimer:
		n.arm(v)
	case waxwingseam.StopTimer:
		delete(n.timers, v.Timer)
	}
}

// dispatch carries an attempt to its node.
func (n *Node) dispatch(v waxwingseam.Dispatch) {
	w := n.world
	call := w.calls[v.Call.ID]
	call.root.attempts++
	call.target = v.Server.Name
	to := w.byName[v.Server.Name]
	key := attemptKey{v.Call.ID, v.Attempt}
	w.agenda.after(n.delay(to), func() {
		if w.lost(n, to) {
			return
		}
		to.inbound[key] = inbound{sender: n, arrived: to.events, depth: v.Call.Depth}
		to.step(waxwingseam.AttemptArrived{
			Stamp:       w.stamp(),
			Call:        v.Call,
			Attempt:     v.Attempt,
			Incarnation: v.Server.Incarnation,
		})
	})
}

// answer carries an answer back to the attempt's sender.
func (n *Node) answer(v waxwingseam.AnswerAttempt) {
	w := n.world
	key := attemptKey{v.ID, v.Attempt}
	in, ok := n.inbound[key]
	if !ok {
		return
	}
	delete(n.inbound, key)
	w.tally.answered(n, w.calls[v.ID], in, v.Result)
	result := v.Result
	if w.config.Distort != nil {
		w.config.Distort(n, &result)
	}
	w.agenda.after(n.delay(in.sender), func() {
		if w.lost(n, in.sender) {
			return
		}
		in.sender.step(waxwingseam.AttemptEnded{
			Stamp:   w.stamp(),
			ID:      v.ID,
			Attempt: v.Attempt,
			Result:  result,
		})
	})
}

// cancelAttempt carries a cancellation to the node that has the attempt.
func (n *Node) cancelAttempt(v waxwingseam.CancelAttempt) {
	w := n.world
	to := w.byName[w.calls[v.ID].target]
	w.agenda.after(n.delay(to), func() {
		delete(to.inbound, attemptKey{v.ID, v.Attempt})
		to.step(waxwingseam.AttemptCancelled{
			Stamp:   w.stamp(),
			ID:      v.ID,
			Attempt: v.Attempt,
		})
	})
}

// fence carries a fence there and its answer back.
func (n *Node) fence(v waxwingseam.Fence) {
	w := n.world
	to := w.byName[v.Server.Name]
	w.agenda.after(n.delay(to), func() {
		for _, x := range to.reduce(waxwingseam.FenceAsked{Stamp: w.stamp(), ID: v.ID, Until: v.Until}) {
			answer, ok := x.(waxwingseam.AnswerFence)
			if !ok {
				to.execute(x)
				continue
			}
			w.agenda.after(n.delay(to), func() {
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

func (n *Node) reduce(e waxwingseam.Event) []waxwingseam.Effect {
	n.events++
	return n.reducer.Reduce(e)
}

// arm fires a timer unless it is stopped or armed anew meanwhile.
func (n *Node) arm(v waxwingseam.ArmTimer) {
	w := n.world
	n.armed++
	armed := n.armed
	n.timers[v.Timer] = armed
	w.agenda.after(v.At.Sub(w.agenda.now), func() {
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

// SetSpeed scales the backend server's work from now on; 1 is usual.
func (n *Node) SetSpeed(speed float64) {
	n.backend.setSpeed(speed)
}

// SetParallel bounds how many runs work at full speed at once; the server loses
// the part drag of its speed to each further multiple of that.
func (n *Node) SetParallel(parallel int, drag float64) {
	n.backend.advance()
	n.backend.parallel = parallel
	n.backend.drag = drag
	n.backend.plan()
}

// SetFailing makes every run end at once with an error, or no longer.
func (n *Node) SetFailing(failing bool) {
	n.backend.failing = failing
}

// Restart ends the node's life with all its runs and begins the next. Senders
// see their connections fail; all nodes learn of the new life.
func (n *Node) Restart() {
	w := n.world
	open := n.inbound
	for _, j := range n.backend.jobs {
		j.over = true
	}
	n.backend.wake++
	n.Server.Incarnation++
	n.Server.Since = w.agenda.now
	n.start()
	n.adopt()
	w.dropCalls(n)
	for _, key := range sortedKeys(open) {
		sender := open[key].sender
		w.agenda.after(n.delay(sender), func() {
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
	for _, other := range w.nodes {
		other.learn([]waxwingseam.Server{n.Server})
	}
}

// adopt gives the node the configuration and the servers.
func (n *Node) adopt() {
	w := n.world
	n.step(waxwingseam.SetAdopted{Stamp: w.stamp(), Set: w.set})
	servers := make([]waxwingseam.Server, 0, len(w.nodes))
	for _, other := range w.nodes {
		servers = append(servers, other.Server)
	}
	n.learn(servers)
}

func (n *Node) learn(servers []waxwingseam.Server) {
	n.step(waxwingseam.ServersUpdated{Stamp: n.world.stamp(), Servers: servers})
}
