// Package arbiter is the worker that lets only one server of a service run the
// not-repeatable calls with one caller's key. Before such a call starts, the
// server has its claim on the key recorded by a quorum of the service's nodes.
// The nodes that count are agreed on as views: a claim stands only where a
// majority of one view granted it while it held that view, and a node counts
// only after it has taken the claims over, as in a reconfigurable replicated
// register (Gilbert, Lynch, Shvartsman: RAMBO, 2010).
package arbiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// Priority is the arbiter's place among the workers: after the receiver, whose
// answers it follows up.
const Priority = 150

// The purposes of the arbiter's timers.
const (
	// PurposeClaim is due when a claim has had enough time.
	PurposeClaim waxwingseam.TimerPurpose = "arbiter-claim"
	// PurposeRound is due when views and joins are to be looked at again.
	PurposeRound waxwingseam.TimerPurpose = "arbiter-round"
)

const (
	defaultKeyLife = 10 * time.Minute
	defaultSettle  = 2 * time.Second
	// defaultMaxClaims holds the keys of 10 minutes of 135 calls a second at
	// each of three nodes.
	defaultMaxClaims = 250_000
	claimPatience    = 300 * time.Millisecond
	// roundPeriod is the time between two rounds.
	roundPeriod = time.Second
	// maxRounds bounds how often a claim is made again over a changed view.
	maxRounds = 4
)

// Config holds the parts of an arbiter.
type Config struct {
	Deduplicator waxwingseam.Deduplicator
	// KeyLife is for how long a key is remembered, as promised to callers.
	KeyLife time.Duration
	// Settle is how long a node waits to learn of others before it founds the
	// view of a service that has none.
	Settle time.Duration
	// MaxClaims bounds the claims kept; new keys are refused beyond it.
	MaxClaims int
}

type arbiter struct {
	config Config
	view   view
	claims claims
	// peers are the other known servers of the service.
	peers map[waxwingseam.ServerName]waxwingseam.Server
	// lost says since when a member is gone.
	lost    map[waxwingseam.ServerIncarnation]time.Time
	joining *joining
	// ready is set while the node counts as a witness.
	ready   bool
	leaving *leaving
	pending map[waxwingseam.CallersKey]*pending
	uses    map[waxwingseam.CallersKey]*use
	// open finds the use of an attempt that was let in.
	open    map[attemptKey]*use
	forgets map[waxwingseam.ServerIncarnation]map[waxwingseam.ServerIncarnation]bool
	term    uint32
	started bool
}

// New returns the worker of a node whose view is still to be found.
func New(config Config) waxwingseam.Worker {
	if config.KeyLife == 0 {
		config.KeyLife = defaultKeyLife
	}
	if config.Settle == 0 {
		config.Settle = defaultSettle
	}
	if config.MaxClaims == 0 {
		config.MaxClaims = defaultMaxClaims
	}
	return &arbiter{
		config:  config,
		claims:  newClaims(config.KeyLife, config.MaxClaims),
		peers:   map[waxwingseam.ServerName]waxwingseam.Server{},
		lost:    map[waxwingseam.ServerIncarnation]time.Time{},
		pending: map[waxwingseam.CallersKey]*pending{},
		uses:    map[waxwingseam.CallersKey]*use{},
		open:    map[attemptKey]*use{},
		forgets: map[waxwingseam.ServerIncarnation]map[waxwingseam.ServerIncarnation]bool{},
	}
}

// Kinds implements waxwingseam.Worker.
func (a *arbiter) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{
		waxwingseam.KindKeyedAttemptArrived,
		waxwingseam.KindWitnessAsked,
		waxwingseam.KindWitnessAnswered,
		waxwingseam.KindTimerFired,
		waxwingseam.KindFoundingGranted,
		waxwingseam.KindServersUpdated,
		waxwingseam.KindSetAdopted,
		waxwingseam.KindDrainAsked,
		waxwingseam.KindAttemptArrived,
		waxwingseam.KindAttemptCancelled,
		waxwingseam.KindRunEnded,
		waxwingseam.KindFenceAsked,
	}
}

// Reduce implements waxwingseam.Worker.
func (a *arbiter) Reduce(c *waxwingseam.Context, e waxwingseam.Event) {
	a.start(c)
	switch v := e.(type) {
	case waxwingseam.KeyedAttemptArrived:
		a.arrive(c, v)
	case waxwingseam.WitnessAsked:
		a.witness(c, v)
	case waxwingseam.WitnessAnswered:
		a.answered(c, v)
	case waxwingseam.TimerFired:
		a.fire(c, v.Timer)
	case waxwingseam.ServersUpdated:
		a.learn(c, v)
	case waxwingseam.FoundingGranted:
		a.found(c)
	case waxwingseam.DrainAsked:
		a.drain(c, v.Undo)
	case waxwingseam.AttemptCancelled:
		a.closeUse(c, attemptKey{v.ID, v.Attempt}, true)
	}
	a.follow(c)
}

// start begins the search for the view, once.
func (a *arbiter) start(c *waxwingseam.Context) {
	if a.started || c.Self.Name == "" {
		return
	}
	a.started = true
	a.joining = newJoining(c.Now)
	a.armRound(c)
}

func (a *arbiter) armRound(c *waxwingseam.Context) {
	c.Emit(waxwingseam.ArmTimer{
		Timer: waxwingseam.TimerID{Purpose: PurposeRound},
		At:    c.Now.Add(roundPeriod),
	})
}

func (a *arbiter) fire(c *waxwingseam.Context, timer waxwingseam.TimerID) {
	switch timer.Purpose {
	case PurposeRound:
		a.round(c)
	case PurposeClaim:
		a.giveUp(c, timer.Call)
	}
}

// round forgets what is old, and goes on with joins, leaves and strangers.
func (a *arbiter) round(c *waxwingseam.Context) {
	a.armRound(c)
	a.claims.expire(c.Now)
	a.forgetLost(c)
	switch {
	case a.leaving != nil:
		a.pushHandover(c)
	case a.joining != nil:
		a.join(c)
	default:
		a.greetStrangers(c)
	}
}

// learn takes in the other servers of the service.
func (a *arbiter) learn(c *waxwingseam.Context, e waxwingseam.ServersUpdated) {
	for _, s := range e.Servers {
		if s.Service == c.Self.Service && s.Name != c.Self.Name {
			a.peers[s.Name] = s
		}
	}
	for _, name := range e.Gone {
		a.lose(c, name)
	}
	if a.joining != nil {
		a.joining.learned = true
	}
}

// self returns the node's own life.
func (a *arbiter) self(c *waxwingseam.Context) waxwingseam.ServerIncarnation {
	l := lifeOf(c.Self)
	l.Term = a.term
	return l
}

// sortedPeers returns the other servers in the order of their names.
func (a *arbiter) sortedPeers() []waxwingseam.Server {
	return slices.SortedFunc(maps.Values(a.peers), func(s, o waxwingseam.Server) int {
		return cmp.Compare(s.Name, o.Name)
	})
}

func lifeOf(s waxwingseam.Server) waxwingseam.ServerIncarnation {
	return waxwingseam.ServerIncarnation{
		Name:        s.Name,
		Incarnation: s.Incarnation,
	}
}

// ask sends a message to another node.
func (a *arbiter) ask(c *waxwingseam.Context, to waxwingseam.Server, m waxwingseam.WitnessMessage) {
	m.From = a.self(c)
	m.View = a.view.export()
	c.Emit(waxwingseam.AskWitness{
		To:      to,
		Message: m,
	})
}

// askMembers sends a message to all other members that are reachable.
func (a *arbiter) askMembers(c *waxwingseam.Context, m waxwingseam.WitnessMessage) {
	for _, l := range a.view.members {
		if peer, ok := a.peers[l.Name]; ok {
			a.ask(c, peer, m)
		}
	}
}

// witness answers another node's message.
func (a *arbiter) witness(c *waxwingseam.Context, e waxwingseam.WitnessAsked) {
	delete(a.lost, e.Message.From)
	answer := waxwingseam.WitnessAnswer{Verdict: a.serve(c, e.Message)}
	switch answer.Verdict {
	case waxwingseam.WitnessTaken:
		standing, _ := a.claims.holder(e.Message.Claims[0].Key)
		answer.Claims = []waxwingseam.Claim{standing}
	case waxwingseam.WitnessGranted:
		if e.Message.Request == waxwingseam.RequestJoin {
			answer.Claims, answer.Next = a.claims.page(c.Now, e.Message.Index)
		}
	}
	answer.From = a.self(c)
	answer.View = a.view.export()
	c.Emit(waxwingseam.AnswerWitness{
		Number: e.Number,
		Answer: answer,
	})
}

// serve carries a message out.
func (a *arbiter) serve(c *waxwingseam.Context, m waxwingseam.WitnessMessage) waxwingseam.WitnessVerdict {
	if m.Request == waxwingseam.RequestRelease {
		a.releaseAll(m.Claims)
		return waxwingseam.WitnessGranted
	}
	if !a.ready {
		return a.serveUnready(c, m)
	}
	switch m.Request {
	case waxwingseam.RequestClaim:
		return a.serveClaim(c, m)
	case waxwingseam.RequestJoin:
		a.count(m)
	case waxwingseam.RequestHandover:
		a.recordAll(c, m.Claims)
	case waxwingseam.RequestLeave:
		a.view.remove(m.From)
	case waxwingseam.RequestForget:
		if !a.lostLong(c, m.Lost) {
			return waxwingseam.WitnessUnready
		}
	}
	return waxwingseam.WitnessGranted
}

// serveUnready answers while the node does not count yet. Another node that
// joins is counted from now on, so that two which join at once need not wait
// for each other.
func (a *arbiter) serveUnready(c *waxwingseam.Context, m waxwingseam.WitnessMessage) waxwingseam.WitnessVerdict {
	if m.Request != waxwingseam.RequestJoin || a.joining == nil || !a.view.has(a.self(c)) {
		return waxwingseam.WitnessUnready
	}
	a.count(m)
	return waxwingseam.WitnessJoining
}

// count takes a joining node into the view.
func (a *arbiter) count(m waxwingseam.WitnessMessage) {
	a.view.merge(m.View)
	a.view.add(m.From)
}

// serveClaim records a claim while both nodes hold the same view.
func (a *arbiter) serveClaim(c *waxwingseam.Context, m waxwingseam.WitnessMessage) waxwingseam.WitnessVerdict {
	if len(m.Claims) != 1 || a.claims.full(m.Claims[0].Key) {
		return waxwingseam.WitnessUnready
	}
	if !a.view.agrees(m.View) {
		a.view.merge(m.View)
		return waxwingseam.WitnessStale
	}
	asked := m.Claims[0]
	standing := a.claims.record(c.Now, asked)
	if !standing.Holder.EqualIgnoringTerm(asked.Holder) || standing.Call != asked.Call {
		return waxwingseam.WitnessTaken
	}
	return waxwingseam.WitnessGranted
}

func (a *arbiter) recordAll(c *waxwingseam.Context, list []waxwingseam.Claim) {
	for _, v := range list {
		a.claims.record(c.Now, v)
	}
}

func (a *arbiter) releaseAll(list []waxwingseam.Claim) {
	for _, v := range list {
		a.claims.release(v)
	}
}

// answered takes in the answer to one of the node's own messages.
func (a *arbiter) answered(c *waxwingseam.Context, e waxwingseam.WitnessAnswered) {
	if !e.Reached {
		return
	}
	delete(a.lost, e.Answer.From)
	switch e.Message.Request {
	case waxwingseam.RequestClaim:
		a.claimAnswered(c, e)
	case waxwingseam.RequestJoin:
		a.joinAnswered(c, e)
	case waxwingseam.RequestHandover, waxwingseam.RequestLeave:
		a.leaveAnswered(c, e)
	case waxwingseam.RequestForget:
		a.forgetAnswered(c, e)
	}
}
