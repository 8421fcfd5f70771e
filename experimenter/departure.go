package experimenter

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// drainTime passes from the start of a node's drain until it is removed.
	drainTime = 2 * time.Second
	// noticeTime passes from a node's crash until the others are told.
	noticeTime = time.Second
)

// Leave drains the node and then removes it. Callers no longer choose it.
func (n *Node) Leave() {
	n.step(waxwingseam.DrainAsked{Stamp: n.world.stamp()})
	n.unlist()
	n.world.After(drainTime, n.reportGone)
}

// Crash stops the node and its backend server and starts them again after a time,
// which has to be longer than noticeTime. Until then, connections to it are refused.
func (n *Node) Crash(down time.Duration) {
	w := n.world
	unanswered := n.inbound
	for _, j := range n.backend.jobs {
		j.ended = true
	}
	n.backend.wakeGeneration++
	n.down = true
	n.timers = map[waxwingseam.TimerID]uint64{}
	n.inbound = map[attemptKey]inbound{}
	w.dropCalls(n)
	n.failAttempts(unanswered)
	n.unlist()
	w.After(noticeTime, n.reportGone)
	w.After(down, n.comeBack)
}

// comeBack starts the next incarnation after a crash.
func (n *Node) comeBack() {
	w := n.world
	n.down = false
	n.Server.Incarnation++
	n.Server.Since = w.scheduler.now
	n.start()
	w.nodes = append(w.nodes, n)
	n.configure()
	for _, other := range w.nodes {
		other.updateServers([]waxwingseam.Server{n.Server})
	}
}

// unlist removes the node from the world's nodes.
func (n *Node) unlist() {
	w := n.world
	w.nodes = slices.DeleteFunc(slices.Clone(w.nodes), func(other *Node) bool { return other == n })
}

// reportGone tells all other nodes that the node is gone.
func (n *Node) reportGone() {
	w := n.world
	for _, other := range w.nodes {
		other.step(waxwingseam.ServersUpdated{Stamp: w.stamp(), Gone: []waxwingseam.ServerName{n.Server.Name}})
	}
}

// refuseConnection answers an attempt that reaches no node.
func (n *Node) refuseConnection(sender *Node, key attemptKey) {
	w := n.world
	w.scheduler.after(n.delay(sender), func() {
		sender.step(waxwingseam.AttemptEnded{
			Stamp:   w.stamp(),
			ID:      key.id,
			Attempt: key.attempt,
			Result: waxwingseam.Result{
				Outcome: waxwingseam.OutcomeDidNotRun,
				Reason:  waxwingseam.ReasonConnectionFailed,
			},
		})
	})
}
