// Package quarantiner finds the requests that end the backend servers that run them, and
// keeps them from further servers. It notices the ends of the node's own backend server,
// shares them with the other nodes, and judges requests by the ends of all.
package quarantiner

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// Priority orders the quarantiner after the supervisor, whose state it reads, and before
// the receiver, which asks it.
const Priority = 75

// The purposes of the quarantiner's timers.
const (
	// TimerEnd fires when all runs that an end broke off have been reported.
	TimerEnd waxwingseam.TimerPurpose = "quarantiner-end"
	// TimerJudge fires when requests are to be judged again.
	TimerJudge waxwingseam.TimerPurpose = "quarantiner-judge"
	// TimerShare fires when changes are to be sent to the other nodes.
	TimerShare waxwingseam.TimerPurpose = "quarantiner-share"
	// TimerCompare fires when the state is to be compared with that of another node.
	TimerCompare waxwingseam.TimerPurpose = "quarantiner-compare"
)

// Config holds the dependencies of a quarantiner.
type Config struct {
	// Drainer knows whether an end of the backend server is planned.
	Drainer waxwingseam.Drainer
}

type quarantiner struct {
	drainer waxwingseam.Drainer
	local   localServer
	history history
	table   table
	// verdicts holds the requests that are refused or on trial.
	verdicts map[waxwingseam.RequestDigest]*verdict
	// watched are the heads of these requests, in the order last emitted.
	watched []uint64
	servers map[waxwingseam.ServerName]waxwingseam.Server
	// dirty holds the requests cleared here that the other nodes do not know of yet.
	dirty map[waxwingseam.ServerEndID][]waxwingseam.EndedRequest
	// comparing is set while TimerCompare is armed.
	comparing bool
}

// New returns a quarantiner that knows of no ends.
func New(config Config) waxwingseam.Quarantine {
	return &quarantiner{
		drainer:  config.Drainer,
		history:  newHistory(),
		table:    newTable(),
		verdicts: map[waxwingseam.RequestDigest]*verdict{},
		servers:  map[waxwingseam.ServerName]waxwingseam.Server{},
		dirty:    map[waxwingseam.ServerEndID][]waxwingseam.EndedRequest{},
	}
}

// Kinds implements waxwingseam.Worker.
func (q *quarantiner) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{
		waxwingseam.KindRunEnded,
		waxwingseam.KindBackendProbed,
		waxwingseam.KindBackendReported,
		waxwingseam.KindEndingsLearned,
		waxwingseam.KindEndsReceived,
		waxwingseam.KindQuarantineOrdered,
		waxwingseam.KindServersUpdated,
		waxwingseam.KindTimerFired,
	}
}

// Reduce implements waxwingseam.Worker.
func (q *quarantiner) Reduce(c *waxwingseam.Context, e waxwingseam.Event) {
	switch v := e.(type) {
	case waxwingseam.RunEnded:
		q.runEnded(c, v)
	case waxwingseam.BackendProbed:
		q.backendProbed(c, v)
	case waxwingseam.BackendReported, waxwingseam.EndingsLearned:
		q.backendReported(c)
	case waxwingseam.EndsReceived:
		q.endsReceived(c, v.Message)
	case waxwingseam.QuarantineOrdered:
		q.ordered(c, v.Order)
	case waxwingseam.ServersUpdated:
		q.serversUpdated(c, v)
	case waxwingseam.TimerFired:
		q.fire(c, v.Timer.Purpose)
	}
}

func (q *quarantiner) fire(c *waxwingseam.Context, purpose waxwingseam.TimerPurpose) {
	switch purpose {
	case waxwingseam.PurposeBackendStarted:
		q.backendReported(c)
	case TimerEnd:
		q.recordEnd(c, waxwingseam.EndProofRefused)
	case TimerJudge:
		q.judge(c)
	case TimerShare:
		q.shareCleared(c)
	case TimerCompare:
		q.compare(c)
	}
}

func arm(c *waxwingseam.Context, purpose waxwingseam.TimerPurpose, after time.Duration) {
	c.Emit(waxwingseam.ArmTimer{Timer: waxwingseam.TimerID{Purpose: purpose}, At: c.Now.Add(after)})
}
