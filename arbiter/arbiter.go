// Package arbiter implements the worker that lets only one server of a service
// run the non-repeatable calls with one idempotency key. Before such a call
// starts, a quorum of the service's nodes records the server's claim on the
// key. A view is the set of nodes that count for a quorum. A claim is valid
// only if a majority of one view granted it while these nodes had that view,
// and a node counts only after it has copied the recorded claims, as in a
// reconfigurable replicated register (Gilbert, Lynch, Shvartsman: RAMBO,
// 2010).
package arbiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// Priority orders the arbiter after the receiver, so that it sees the receiver's
// effects of the same event.
const Priority = 150

// The purposes of the arbiter's timers.
const (
	// PurposeClaim is the timeout of a claim without a quorum.
	PurposeClaim waxwingseam.TimerPurpose = "arbiter-claim"
	// PurposeRound starts the periodic work on claims and views.
	PurposeRound waxwingseam.TimerPurpose = "arbiter-round"
)

const (
	defaultKeyRetention  = 10 * time.Minute
	defaultFoundingDelay = 2 * time.Second
	// defaultMaxClaims is enough for the keys of 10 minutes at 135 calls per
	// second on each of three nodes.
	defaultMaxClaims  = 250_000
	readyClaimTimeout = 300 * time.Millisecond
	// roundPeriod is the time between two rounds.
	roundPeriod = time.Second
	// maxClaimRounds bounds how often a claim is requested while views change.
	maxClaimRounds = 4
)

// Config holds the settings and components of an arbiter. Settings of 0 are
// replaced by defaults: KeyRetention by 10 minutes, FoundingDelay by 2 s,
// MaxClaims by 250,000.
type Config struct {
	Deduplicator waxwingseam.Deduplicator
	// KeyRetention is how long a key is remembered, as promised to callers.
	KeyRetention time.Duration
	// FoundingDelay is how long a node waits for reports of other servers
	// before it founds the view of a service that has no view.
	FoundingDelay time.Duration
	// MaxClaims bounds the recorded claims; beyond it, new keys are refused.
	MaxClaims int
}

type arbiter struct {
	config Config
	view   view
	claims claims
	// peers are the other known servers of the service.
	peers map[waxwingseam.ServerName]waxwingseam.Server
	// lostSince holds the time at which each lost member was reported gone.
	lostSince map[waxwingseam.ServerIncarnation]time.Time
	joining   *joining
	// ready is set while the node is a witness and may grant claims.
	ready   bool
	leaving *leaving
	pending map[waxwingseam.CallersKey]*pendingClaim
	uses    map[waxwingseam.CallersKey]*claimUse
	// usesByAttempt maps each open attempt that was admitted to its claim's use.
	usesByAttempt map[attemptKey]*claimUse
	// forgetVotes maps a lost member to the members that agree to its removal.
	forgetVotes map[waxwingseam.ServerIncarnation]map[waxwingseam.ServerIncarnation]bool
	// undoneDrains counts the drains that were undone in this incarnation; it is
	// the term of self.
	undoneDrains uint32
	started      bool
}

// New returns the arbiter of a node that has no view yet.
func New(config Config) waxwingseam.Worker {
	if config.KeyRetention == 0 {
		config.KeyRetention = defaultKeyRetention
	}
	if config.FoundingDelay == 0 {
		config.FoundingDelay = defaultFoundingDelay
	}
	if config.MaxClaims == 0 {
		config.MaxClaims = defaultMaxClaims
	}
	return &arbiter{
		config:        config,
		claims:        newClaims(config.KeyRetention, config.MaxClaims),
		peers:         map[waxwingseam.ServerName]waxwingseam.Server{},
		lostSince:     map[waxwingseam.ServerIncarnation]time.Time{},
		pending:       map[waxwingseam.CallersKey]*pendingClaim{},
		uses:          map[waxwingseam.CallersKey]*claimUse{},
		usesByAttempt: map[attemptKey]*claimUse{},
		forgetVotes:   map[waxwingseam.ServerIncarnation]map[waxwingseam.ServerIncarnation]bool{},
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
		a.keyedAttemptArrived(c, v)
	case waxwingseam.WitnessAsked:
		a.witnessAsked(c, v)
	case waxwingseam.WitnessAnswered:
		a.witnessAnswered(c, v)
	case waxwingseam.TimerFired:
		a.timerFired(c, v.Timer)
	case waxwingseam.ServersUpdated:
		a.updateServers(c, v)
	case waxwingseam.FoundingGranted:
		a.foundView(c)
	case waxwingseam.DrainAsked:
		a.drain(c, v.Undo)
	case waxwingseam.AttemptCancelled:
		a.endAttempt(c, attemptKey{v.ID, v.Attempt}, true)
	}
	a.observeEffects(c)
}

// start begins to join the view of the service, at the first event for which the
// node's own server is known.
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

func (a *arbiter) timerFired(c *waxwingseam.Context, timer waxwingseam.TimerID) {
	switch timer.Purpose {
	case PurposeRound:
		a.runRound(c)
	case PurposeClaim:
		a.claimTimedOut(c, timer.Call)
	}
}

// runRound removes expired claims and lost members, and continues a join or a
// leave. A witness also sends join requests to nodes outside its view.
func (a *arbiter) runRound(c *waxwingseam.Context) {
	a.armRound(c)
	a.claims.expire(c.Now)
	a.removeLost(c)
	switch {
	case a.leaving != nil:
		a.sendHandovers(c)
	case a.joining != nil:
		a.join(c)
	default:
		a.joinNonMembers(c)
	}
}

// updateServers records the other servers of the service and marks those that
// are gone as lost.
func (a *arbiter) updateServers(c *waxwingseam.Context, e waxwingseam.ServersUpdated) {
	for _, s := range e.Servers {
		if s.Service == c.Self.Service && s.Name != c.Self.Name {
			a.peers[s.Name] = s
		}
	}
	for _, name := range e.Gone {
		a.markLost(c, name)
	}
	if a.joining != nil {
		a.joining.serversReceived = true
	}
}

// self returns the node's own incarnation.
func (a *arbiter) self(c *waxwingseam.Context) waxwingseam.ServerIncarnation {
	si := incarnationOf(c.Self)
	si.Term = a.undoneDrains
	return si
}

// sortedPeers returns the other servers in the order of their names.
func (a *arbiter) sortedPeers() []waxwingseam.Server {
	return slices.SortedFunc(maps.Values(a.peers), func(s, o waxwingseam.Server) int {
		return cmp.Compare(s.Name, o.Name)
	})
}

func incarnationOf(s waxwingseam.Server) waxwingseam.ServerIncarnation {
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

// askMembers sends a message to all other members whose servers are known and
// not gone.
func (a *arbiter) askMembers(c *waxwingseam.Context, m waxwingseam.WitnessMessage) {
	for _, si := range a.view.members {
		if peer, ok := a.peers[si.Name]; ok {
			a.ask(c, peer, m)
		}
	}
}

// witnessAsked answers another node's message.
func (a *arbiter) witnessAsked(c *waxwingseam.Context, e waxwingseam.WitnessAsked) {
	delete(a.lostSince, e.Message.From)
	answer := waxwingseam.WitnessAnswer{Verdict: a.handleRequest(c, e.Message)}
	switch answer.Verdict {
	case waxwingseam.WitnessTaken:
		recorded, _ := a.claims.lookup(e.Message.Claims[0].Key)
		answer.Claims = []waxwingseam.Claim{recorded}
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

// handleRequest executes the request of a message.
func (a *arbiter) handleRequest(c *waxwingseam.Context, m waxwingseam.WitnessMessage) waxwingseam.WitnessVerdict {
	if m.Request == waxwingseam.RequestRelease {
		a.releaseAll(m.Claims)
		return waxwingseam.WitnessGranted
	}
	if !a.ready {
		return a.handleWhileUnready(c, m)
	}
	switch m.Request {
	case waxwingseam.RequestClaim:
		return a.handleClaim(c, m)
	case waxwingseam.RequestJoin:
		a.addMember(m)
	case waxwingseam.RequestHandover:
		a.recordAll(c, m.Claims)
	case waxwingseam.RequestLeave:
		a.view.remove(m.From)
	case waxwingseam.RequestForget:
		if !a.lostPastKeyRetention(c, m.Lost) {
			return waxwingseam.WitnessUnready
		}
	}
	return waxwingseam.WitnessGranted
}

// handleWhileUnready executes a request while the node is not a witness. A joining
// node that is already in its view adds another joining node, so that two nodes
// that join at the same time do not wait for each other.
func (a *arbiter) handleWhileUnready(c *waxwingseam.Context, m waxwingseam.WitnessMessage) waxwingseam.WitnessVerdict {
	if m.Request != waxwingseam.RequestJoin || a.joining == nil || !a.view.contains(a.self(c)) {
		return waxwingseam.WitnessUnready
	}
	a.addMember(m)
	return waxwingseam.WitnessJoining
}

// addMember merges the view of a joining node and adds the node as a member.
func (a *arbiter) addMember(m waxwingseam.WitnessMessage) {
	a.view.merge(m.View)
	a.view.add(m.From)
}

// handleClaim records a claim if the views of both nodes have the same
// members, there is room for it and its key has no other claim.
func (a *arbiter) handleClaim(c *waxwingseam.Context, m waxwingseam.WitnessMessage) waxwingseam.WitnessVerdict {
	if len(m.Claims) != 1 || a.claims.full(m.Claims[0].Key) {
		return waxwingseam.WitnessUnready
	}
	if !a.view.hasSameMembers(m.View) {
		a.view.merge(m.View)
		return waxwingseam.WitnessStale
	}
	requested := m.Claims[0]
	recorded := a.claims.record(c.Now, requested)
	if !recorded.Holder.EqualIgnoringTerm(requested.Holder) || recorded.Call != requested.Call {
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

// witnessAnswered handles the answer to one of the node's own messages.
func (a *arbiter) witnessAnswered(c *waxwingseam.Context, e waxwingseam.WitnessAnswered) {
	if !e.Reached {
		return
	}
	delete(a.lostSince, e.Answer.From)
	switch e.Message.Request {
	case waxwingseam.RequestClaim:
		a.claimAnswered(c, e)
	case waxwingseam.RequestJoin:
		a.joinAnswered(c, e)
	case waxwingseam.RequestHandover, waxwingseam.RequestLeave:
		a.handoverAnswered(c, e)
	case waxwingseam.RequestForget:
		a.forgetAnswered(c, e)
	}
}
