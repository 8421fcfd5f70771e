// Package dispatcher implements the worker for calls at their sending node. It
// classifies a call, sends its attempts, and replies to it once.
package dispatcher

import (
	"cmp"
	"slices"

	"waxwingseam.example/waxwingseam"
)

// Priority orders the dispatcher after the receiver, so that it sees the runs
// that the receiver cancels in the same event.
const Priority = 200

// The purposes of the dispatcher's timers.
const (
	PurposeDeadline waxwingseam.TimerPurpose = "call-deadline"
	PurposeRetry    waxwingseam.TimerPurpose = "call-retry"
)

// Config holds the components of a dispatcher.
type Config struct {
	Classifier waxwingseam.Classifier
	Balancer   waxwingseam.Balancer
	Retrier    waxwingseam.Retrier
	Tracker    waxwingseam.Tracker
	// Routers narrow the choice of a server; the one with the lowest priority
	// runs first.
	Routers []waxwingseam.PrioritizedRouter
	// Authenticator identifies the client accounts of roots; nil if sets have none.
	Authenticator waxwingseam.Authenticator
	// Limiter keeps the limits of client accounts; nil for no limits. If it is a worker
	// too, that runs before the dispatcher.
	Limiter waxwingseam.AccountLimiter
}

type dispatcher struct {
	Config
	flights       map[waxwingseam.CallID]*flight
	keyAllowances keyAllowances
	roundRobins   roundRobins
	lateness      lateness
	// keysRequired is set if the set in force has client accounts.
	keysRequired bool
	setAge       setAge
	// undecided counts the flights that wait for the decision on their account's limit.
	undecided int
	// held are the calls with an unknown key, in the order of their arrival.
	held    []heldCall
	chances chances
	// stop is that of the latest drain; zero if it was undone.
	stop waxwingseam.ProcessStop
}

// New returns a dispatcher without calls.
func New(config Config) waxwingseam.Worker {
	config.Routers = slices.Clone(config.Routers)
	slices.SortStableFunc(config.Routers, func(a, b waxwingseam.PrioritizedRouter) int {
		return cmp.Compare(a.Priority, b.Priority)
	})
	return &dispatcher{
		Config:        config,
		flights:       map[waxwingseam.CallID]*flight{},
		keyAllowances: keyAllowances{byKey: map[rootKey]*keyAllowance{}},
		roundRobins:   roundRobins{},
		lateness:      lateness{},
		chances:       chances{},
	}
}

// Kinds implements waxwingseam.Worker.
func (d *dispatcher) Kinds() []waxwingseam.Kind {
	kinds := []waxwingseam.Kind{
		waxwingseam.KindCallArrived,
		waxwingseam.KindCallerLeft,
		waxwingseam.KindReplyStarted,
		waxwingseam.KindBodyConsumed,
		waxwingseam.KindAttemptEnded,
		waxwingseam.KindAttemptSilent,
		waxwingseam.KindFenceAnswered,
		waxwingseam.KindTimerFired,
		waxwingseam.KindServersUpdated,
		waxwingseam.KindSetAdopted,
		waxwingseam.KindAttemptCancelled,
		waxwingseam.KindRunEnded,
		waxwingseam.KindControlHeard,
		waxwingseam.KindAttemptArrived,
		waxwingseam.KindAccountMessageReceived,
		waxwingseam.KindRouteAsked,
		waxwingseam.KindDrainAsked,
	}
	w, ok := d.Limiter.(waxwingseam.Worker)
	if !ok {
		return kinds
	}
	// Any event that the limiter handles may bring a decision on a waiting root.
	for _, k := range w.Kinds() {
		if !slices.Contains(kinds, k) {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

// Reduce implements waxwingseam.Worker.
func (d *dispatcher) Reduce(c *waxwingseam.Context, e waxwingseam.Event) {
	switch v := e.(type) {
	case waxwingseam.CallArrived:
		d.callArrived(c, v)
	case waxwingseam.CallerLeft:
		d.callerLeft(c, v)
	case waxwingseam.ReplyStarted:
		d.markNotReplayable(v.ID)
	case waxwingseam.BodyConsumed:
		d.markNotReplayable(v.ID)
	case waxwingseam.AttemptEnded:
		d.setAge.revisionNamed(v.Result.Load.Revision)
		d.attemptEnded(c, v)
	case waxwingseam.AttemptSilent:
		d.attemptSilent(c, v)
	case waxwingseam.FenceAnswered:
		d.fenceAnswered(c, v)
	case waxwingseam.TimerFired:
		d.timerFired(c, v)
	case waxwingseam.RunEnded:
		d.endRun(c, v.ID)
	default:
		d.noteNews(c, e)
	}
	d.resumeDecided(c)
	d.endCancelledRuns(c)
}

// noteNews handles an event about the configuration, the servers or the other nodes.
func (d *dispatcher) noteNews(c *waxwingseam.Context, e waxwingseam.Event) {
	switch v := e.(type) {
	case waxwingseam.ServersUpdated:
		d.Balancer.UpdateServers(c, v.Servers, v.Gone)
	case waxwingseam.SetAdopted:
		d.Classifier.Adopt(c.Set)
		d.Balancer.Adopt(c.Set)
		d.roundRobins.adopt(c.Set)
		d.lateness.adopt(c.Set)
		d.adoptAccounts(c)
		d.chances.adopt(c.Set)
		d.releaseKnown(c)
	case waxwingseam.ControlHeard:
		d.controlHeard(c, v)
	case waxwingseam.AttemptArrived:
		d.setAge.revisionNamed(v.Call.Revision)
	case waxwingseam.DrainAsked:
		d.drainAsked(v)
	case waxwingseam.RouteAsked:
		c.Emit(waxwingseam.ExplainRoute{ID: v.ID, Route: d.explainRoute(c, v)})
	}
}

// endCancelledRuns ends the runs that the receiver cancelled in the same event.
func (d *dispatcher) endCancelledRuns(c *waxwingseam.Context) {
	for _, e := range c.Effects() {
		if v, ok := e.(waxwingseam.CancelRun); ok {
			d.endRun(c, v.ID)
		}
	}
}

// endRun cancels the open child calls of an ended run. Later calls of the run
// are refused.
func (d *dispatcher) endRun(c *waxwingseam.Context, id waxwingseam.CallID) {
	for _, child := range d.Tracker.End(id) {
		if f, ok := d.flights[child]; ok {
			d.finish(c, f, waxwingseam.Result{Reason: waxwingseam.ReasonCancelled})
		}
	}
}

func (d *dispatcher) callerLeft(c *waxwingseam.Context, e waxwingseam.CallerLeft) {
	if f, ok := d.flights[e.ID]; ok {
		d.finish(c, f, waxwingseam.Result{Reason: waxwingseam.ReasonCancelled})
		return
	}
	d.refuseHeld(c, e.ID, waxwingseam.ReasonCancelled)
}

func (d *dispatcher) timerFired(c *waxwingseam.Context, e waxwingseam.TimerFired) {
	if e.Timer.Purpose == PurposeUnknownKey {
		d.refuseHeld(c, e.Timer.Call, waxwingseam.ReasonSetUnconfirmed)
		return
	}
	f, ok := d.flights[e.Timer.Call]
	if !ok {
		return
	}
	switch e.Timer.Purpose {
	case PurposeDeadline:
		d.finish(c, f, waxwingseam.Result{Reason: waxwingseam.ReasonDeadline})
	case PurposeRetry:
		f.backingOff = false
		d.send(c, f)
	}
}
