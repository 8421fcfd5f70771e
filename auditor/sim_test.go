package auditor_test

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/admitter"
	"waxwingseam.example/waxwingseam/arbiter"
	"waxwingseam.example/waxwingseam/auditor"
	"waxwingseam.example/waxwingseam/balancer"
	"waxwingseam.example/waxwingseam/classifier"
	"waxwingseam.example/waxwingseam/deduplicator"
	"waxwingseam.example/waxwingseam/dispatcher"
	"waxwingseam.example/waxwingseam/drainer"
	"waxwingseam.example/waxwingseam/limiter"
	"waxwingseam.example/waxwingseam/receiver"
	"waxwingseam.example/waxwingseam/recorder"
	"waxwingseam.example/waxwingseam/reducer"
	"waxwingseam.example/waxwingseam/retrier"
	"waxwingseam.example/waxwingseam/tracker"
)

// faults are the chances of what may go wrong, in percent, and the mechanisms
// that a test switches off.
type faults struct {
	lose, delay, duplicate, cross int
	restarts, drains, partitions  int
	// partial is the chance that a node learns late of a change of servers.
	partial int

	noFence, noIncarnation, noHandover, noDigest bool
}

// dueEvent is something that happens at a time.
type dueEvent struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []dueEvent

func (a agenda) Len() int      { return len(a) }
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(dueEvent)) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}

func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// history is one run of two senders and three servers of one service.
type history struct {
	faults
	random  *rand.Rand
	now     time.Time
	seq     int
	agenda  agenda
	hosts   []*host
	logs    []*bytes.Buffer
	records []*recorder.Recorder
	runs    []auditor.Run
	answers []auditor.Answer
	told    map[waxwingseam.Outcome]int
	founder waxwingseam.ServerIncarnation
}

// host is one host over all lives of its node.
type host struct {
	h      *history
	name   waxwingseam.ServerName
	parted bool
	*life
}

// life is one life of a node.
type life struct {
	host     *host
	alive    bool
	self     waxwingseam.Server
	reducer  waxwingseam.Reducer
	recorder *recorder.Recorder
	timers   map[waxwingseam.TimerID]int
	// calls are those that this node sends, with the connection in use.
	calls map[waxwingseam.CallID]*outgoing
	// inbound are the attempts that wait for an answer here.
	inbound map[attempt]*connection
	running map[waxwingseam.CallID]bool
	witness map[uint64]func(waxwingseam.WitnessAnswer)
	asked   uint64
	leaving bool
}

type attempt struct {
	id     waxwingseam.CallID
	number waxwingseam.Attempt
}

// outgoing is a call at its sender.
type outgoing struct {
	call   waxwingseam.Call
	tag    uint64
	resend func(waxwingseam.Result)
	open   map[waxwingseam.Attempt]*connection
	lives  map[waxwingseam.Attempt]waxwingseam.Incarnation
}

// connection is one connection of an attempt.
type connection struct {
	answer func(waxwingseam.Result, uint64)
	left   bool
	call   waxwingseam.Call
}

func newHistory(seed uint64, f faults) *history {
	h := &history{
		faults: f,
		random: rand.New(rand.NewPCG(seed, seed)),
		now:    time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC),
		told:   map[waxwingseam.Outcome]int{},
	}
	for n := range 5 {
		o := &host{h: h, name: waxwingseam.ServerName(fmt.Sprintf("ledger-%d", n))}
		if n < 2 {
			o.name = ""
		}
		h.hosts = append(h.hosts, o)
		o.boot(1, n)
	}
	for _, o := range h.hosts {
		o.announce()
	}
	return h
}

// servers are the hosts with a backend server, senders those without.
func (h *history) servers() []*host { return h.hosts[2:] }
func (h *history) senders() []*host { return h.hosts[:2] }

func (h *history) chance(percent int) bool { return h.random.IntN(100) < percent }

func (h *history) after(d time.Duration, do func()) {
	h.seq++
	heap.Push(&h.agenda, dueEvent{h.now.Add(d), h.seq, do})
}

// transit is the time that a message takes.
func (h *history) transit() time.Duration {
	d := time.Duration(h.random.IntN(5000)) * time.Microsecond
	if h.chance(h.delay) {
		d += time.Duration(h.random.IntN(20_000)) * time.Millisecond
	}
	return d
}

// part cuts a host off from all others for a while.
func (h *history) part(o *host) {
	o.parted = true
	h.after(time.Duration(1000+h.random.IntN(20_000))*time.Millisecond, func() { o.parted = false })
}

// send delivers a message from one host to another, perhaps never, late or
// twice.
func (h *history) send(from, to *host, deliver func()) {
	if from.parted || to.parted {
		return
	}
	if !h.chance(h.lose) {
		h.after(h.transit(), deliver)
	}
	if h.chance(h.duplicate) {
		h.after(h.transit(), deliver)
	}
}

func (h *history) run(until time.Duration) {
	end := h.now.Add(until)
	for len(h.agenda) > 0 && !h.agenda[0].at.After(end) {
		next := heap.Pop(&h.agenda).(dueEvent)
		h.now = next.at
		next.do()
	}
}

var simSet = &waxwingseam.Set{
	Revision: 1,
	Services: []waxwingseam.Service{{Name: "ledger", Slots: 4, Connections: 8}},
	RequestClasses: []waxwingseam.RequestClass{
		{Name: "marks", Service: "ledger", Path: "/marks", Repeat: waxwingseam.RepeatNever, Deadline: 4 * time.Second, RetryLimit: "r", WaitLimit: "w"},
		{Name: "lookups", Service: "ledger", Path: "/lookups", Repeat: waxwingseam.RepeatIdempotent, Deadline: 4 * time.Second, RetryLimit: "r", WaitLimit: "w"},
	},
	RetryLimits: []waxwingseam.RetryLimit{{Name: "r", Allowance: 3, BudgetPercent: 100}},
	WaitLimits:  []waxwingseam.WaitLimit{{Name: "w", Wait: time.Second, Waiting: 8}},
}

// boot starts a life of the host's node.
func (o *host) boot(incarnation waxwingseam.Incarnation, n int) {
	h := o.h
	self := waxwingseam.Server{
		Name: o.name, Service: "ledger", Incarnation: incarnation,
		Node: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n+1)),
	}
	if o.name == "" {
		self.Service = ""
	}
	log := &bytes.Buffer{}
	h.logs = append(h.logs, log)
	o.life = &life{
		host: o, alive: true, self: self, reducer: newNode(self),
		recorder: recorder.New(recorder.Config{Writer: log, Process: string(o.name)}),
		timers:   map[waxwingseam.TimerID]int{},
		calls:    map[waxwingseam.CallID]*outgoing{},
		inbound:  map[attempt]*connection{},
		running:  map[waxwingseam.CallID]bool{},
		witness:  map[uint64]func(waxwingseam.WitnessAnswer){},
	}
	h.records = append(h.records, o.recorder)
	o.step(waxwingseam.SetAdopted{Stamp: h.stamp(), Set: simSet})
}

func newNode(self waxwingseam.Server) waxwingseam.Reducer {
	retries := retrier.New(retrier.Config{})
	runs := tracker.New(tracker.Config{})
	records := deduplicator.New(deduplicator.Config{KeyRetention: time.Hour})
	router := arbiter.NewRouter()
	var routers []waxwingseam.PrioritizedRouter
	if self.Node.Port() == 1 {
		// The other sender sends the calls with one key anywhere.
		routers = append(routers, waxwingseam.PrioritizedRouter{Priority: arbiter.RouterPriority, Router: router})
	}
	return reducer.New(reducer.Config{Self: self, Workers: []waxwingseam.PrioritizedWorker{
		{Priority: arbiter.RouterPriority, Worker: router},
		{Priority: receiver.Priority, Worker: receiver.New(receiver.Config{
			Admitter: admitter.New(admitter.Config{Limiter: limiter.NewFixed(), RootLimiter: limiter.NewFixed()}), Deduplicator: records,
			Drainer: drainer.New(drainer.Config{}), Tracker: runs,
		})},
		{Priority: arbiter.Priority, Worker: arbiter.New(arbiter.Config{Deduplicator: records, KeyLife: time.Hour})},
		{Priority: 200, Worker: dispatcher.New(dispatcher.Config{
			Classifier: classifier.New(), Balancer: balancer.New(balancer.Config{Self: self.Name}), Retrier: retries, Tracker: runs,
			Routers: routers,
		})},
	}})
}

func (h *history) stamp() waxwingseam.Stamp {
	return waxwingseam.Stamp{Now: h.now, Random: h.random.Uint64()}
}

func (h *history) newID() waxwingseam.CallID {
	return waxwingseam.NewCallID(h.random.Uint64(), h.random.Uint64())
}

// announce tells all other nodes of the present life, some late.
func (o *host) announce() {
	self := o.self
	for _, other := range o.h.hosts {
		wait := time.Duration(o.h.random.IntN(200)) * time.Millisecond
		if o.h.chance(o.h.partial) {
			wait = time.Duration(o.h.random.IntN(6000)) * time.Millisecond
		}
		o.h.after(wait, func() {
			e := waxwingseam.ServersUpdated{Stamp: o.h.stamp()}
			if self.Name != "" {
				e.Servers = []waxwingseam.Server{self}
			}
			other.step(e)
		})
	}
}

// gone tells all other nodes that the host's server is gone.
func (o *host) gone() {
	for _, other := range o.h.hosts {
		o.h.after(time.Duration(o.h.random.IntN(1000))*time.Millisecond, func() {
			other.step(waxwingseam.ServersUpdated{Stamp: o.h.stamp(), Gone: []waxwingseam.ServerName{o.name}})
		})
	}
}

// restart ends the host's life, and starts the next one soon.
func (o *host) restart() {
	if !o.alive {
		return
	}
	o.alive = false
	incarnation := o.self.Incarnation + 1
	if o.h.noIncarnation {
		incarnation--
	}
	if o.h.chance(50) {
		o.gone()
	}
	n := int(o.self.Node.Port()) - 1
	o.h.after(time.Duration(o.h.random.IntN(2000))*time.Millisecond, func() {
		o.boot(incarnation, n)
		o.announce()
		o.h.after(time.Second, o.hear)
	})
}

// hear tells the node of all servers that live.
func (o *host) hear() {
	e := waxwingseam.ServersUpdated{Stamp: o.h.stamp()}
	for _, s := range o.h.servers() {
		if s.alive {
			e.Servers = append(e.Servers, s.self)
		}
	}
	o.step(e)
}

// leave drains the host's node, and restarts it once it is idle.
func (o *host) leave() {
	if !o.alive || o.leaving {
		return
	}
	l := o.life
	l.leaving = true
	o.step(waxwingseam.DrainAsked{Stamp: o.h.stamp()})
	var wait func()
	wait = func() {
		switch {
		case o.life != l:
		case len(l.running) == 0 && len(l.inbound) == 0:
			o.restart()
		default:
			o.h.after(100*time.Millisecond, wait)
		}
	}
	o.h.after(time.Second, wait)
}

func (l *life) step(e waxwingseam.Event) {
	if !l.alive {
		return
	}
	effects := l.reducer.Reduce(e)
	if telling(e, effects) {
		l.recorder.Observe(e, effects)
	}
	for _, x := range effects {
		l.execute(x)
	}
}

// telling reports whether the auditor learns anything from an event; the
// others are left out of the logs, for the time that writing them takes.
func telling(e waxwingseam.Event, effects []waxwingseam.Effect) bool {
	switch e.(type) {
	case waxwingseam.CallArrived, waxwingseam.DrainAsked, waxwingseam.SetAdopted:
		return true
	}
	return slices.ContainsFunc(effects, func(x waxwingseam.Effect) bool {
		switch x.(type) {
		case waxwingseam.Dispatch, waxwingseam.Reply, waxwingseam.CancelRun:
			return true
		}
		return false
	})
}

func (l *life) execute(x waxwingseam.Effect) {
	switch v := x.(type) {
	case waxwingseam.ArmTimer:
		l.arm(v)
	case waxwingseam.StopTimer:
		l.timers[v.Timer]++
	case waxwingseam.Announce:
		l.self.Leaving = v.Self.Leaving
		l.host.announce()
	case waxwingseam.Dispatch:
		l.dispatch(v)
	case waxwingseam.Resume:
		l.resume(v)
	case waxwingseam.CancelAttempt:
		l.cancel(v)
	case waxwingseam.Fence:
		l.fence(v)
	case waxwingseam.Reply:
		l.reply(v)
	default:
		l.executeReceiving(x)
	}
}

func (l *life) executeReceiving(x waxwingseam.Effect) {
	h := l.host.h
	switch v := x.(type) {
	case waxwingseam.Run:
		l.begin(v)
	case waxwingseam.CancelRun:
		if l.running[v.ID] {
			h.after(0, func() { l.end(v.ID, waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun}) })
		}
	case waxwingseam.AnswerAttempt:
		l.answer(v.ID, v.Attempt, v.Result)
	case waxwingseam.DecideKey:
		l.decide(v)
	case waxwingseam.AskFounding:
		if h.founder == (waxwingseam.ServerIncarnation{}) {
			h.founder = v.Incarnation
		}
		if h.founder == v.Incarnation {
			h.after(0, func() { l.step(waxwingseam.FoundingGranted{Stamp: h.stamp()}) })
		}
	case waxwingseam.AskWitness:
		l.ask(v)
	case waxwingseam.AnswerWitness:
		if answer := l.witness[v.Number]; answer != nil {
			delete(l.witness, v.Number)
			answer(v.Answer)
		}
	}
}

func (l *life) arm(v waxwingseam.ArmTimer) {
	l.timers[v.Timer]++
	armed := l.timers[v.Timer]
	l.host.h.after(max(v.At.Sub(l.host.h.now), 0), func() {
		if l.timers[v.Timer] == armed {
			l.step(waxwingseam.TimerFired{Stamp: l.host.h.stamp(), Timer: v.Timer})
		}
	})
}

// call makes a call at the sender and tells the caller its end.
func (l *life) call(path, key string, tag uint64, told func(waxwingseam.Result)) {
	h := l.host.h
	id := h.newID()
	l.calls[id] = &outgoing{
		tag: tag, resend: told,
		open: map[waxwingseam.Attempt]*connection{}, lives: map[waxwingseam.Attempt]waxwingseam.Incarnation{},
	}
	l.step(waxwingseam.CallArrived{
		Stamp: h.stamp(), ID: id, Root: waxwingseam.RootID(h.newID()),
		Service: "ledger", Method: "POST", Path: path, Key: key, Replayable: true,
	})
}

func (l *life) dispatch(v waxwingseam.Dispatch) {
	o := l.calls[v.Call.ID]
	o.call = v.Call
	o.lives[v.Attempt] = v.Server.Incarnation
	if o.connect(l, v.Attempt, v.Server, false) {
		return
	}
	l.host.h.after(time.Millisecond, func() {
		l.ended(v.Call.ID, v.Attempt, waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonConnectionFailed})
	})
}

func (l *life) resume(v waxwingseam.Resume) {
	o := l.calls[v.ID]
	if o == nil {
		return
	}
	if !o.connect(l, v.Attempt, v.Server, true) {
		l.host.h.after(time.Millisecond, func() {
			l.ended(v.ID, v.Attempt, waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonConnectionFailed})
		})
	}
}

// target returns the life that a server's address reaches; nil without one.
func (h *history) target(s waxwingseam.Server) *life {
	for _, o := range h.servers() {
		if o.name == s.Name && o.alive {
			return o.life
		}
	}
	return nil
}

// connect sends an attempt over a fresh connection; false when none opens.
func (o *outgoing) connect(l *life, number waxwingseam.Attempt, s waxwingseam.Server, resumed bool) bool {
	h := l.host.h
	to := h.target(s)
	if to == nil {
		return false
	}
	if old := o.open[number]; old != nil {
		old.left = true
	}
	call := o.call
	call.Resumed = resumed
	c := &connection{call: call}
	o.open[number] = c
	c.answer = func(r waxwingseam.Result, tag uint64) {
		h.send(to.host, l.host, func() {
			if c.left {
				return
			}
			c.left = true
			if r.Completed() && tag != o.tag && !h.noDigest {
				r = waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonDigestMismatch, Reached: true}
			}
			if r.Completed() && h.noDigest {
				h.answers = append(h.answers, auditor.Answer{Name: call.ID.String(), Want: o.tag, Got: tag})
			}
			l.ended(call.ID, number, r)
		})
	}
	var meant waxwingseam.Incarnation
	if resumed {
		meant = o.lives[number]
	}
	h.send(l.host, to.host, func() { to.receive(c, number, meant, false) })
	h.silence(l, c, call.ID, number, to)
	return true
}

// silence leaves a connection once it is broken or its answer is lost.
func (h *history) silence(l *life, c *connection, id waxwingseam.CallID, number waxwingseam.Attempt, to *life) {
	h.after(700*time.Millisecond, func() {
		key := attempt{id, number}
		switch {
		case c.left:
		case to.alive && to.inbound[key] == c && !l.host.parted && !to.host.parted:
			h.silence(l, c, id, number, to)
		default:
			c.left = true
			l.step(waxwingseam.AttemptSilent{Stamp: h.stamp(), ID: id, Attempt: number})
		}
	})
}

// receive takes an attempt in at its server.
func (l *life) receive(c *connection, number waxwingseam.Attempt, meant waxwingseam.Incarnation, relayed bool) {
	if !l.alive {
		return
	}
	h := l.host.h
	l.inbound[attempt{c.call.ID, number}] = c
	if c.call.Key != "" && c.call.Repeat == waxwingseam.RepeatNever {
		l.step(waxwingseam.KeyedAttemptArrived{Stamp: h.stamp(), Call: c.call, Attempt: number, Relayed: relayed})
		return
	}
	l.step(waxwingseam.AttemptArrived{Stamp: h.stamp(), Call: c.call, Attempt: number, Incarnation: meant})
}

func (l *life) decide(v waxwingseam.DecideKey) {
	h := l.host.h
	key := attempt{v.ID, v.Attempt}
	c := l.inbound[key]
	switch {
	case c == nil:
		h.after(0, func() { l.step(waxwingseam.AttemptCancelled{Stamp: h.stamp(), ID: v.ID, Attempt: v.Attempt}) })
	case v.Verdict == waxwingseam.KeyRefuse:
		l.answer(v.ID, v.Attempt, v.Result)
	case v.Verdict == waxwingseam.KeyAdmit:
		h.after(0, func() {
			l.step(waxwingseam.AttemptArrived{Stamp: h.stamp(), Call: c.call, Attempt: v.Attempt})
		})
	default:
		l.relay(v, c, 3)
	}
}

// relay passes an attempt on to the holder of its key, again over a fresh
// connection where one goes silent.
func (l *life) relay(v waxwingseam.DecideKey, c *connection, tries int) {
	h := l.host.h
	to := h.target(v.Holder)
	if to == nil || tries == 0 {
		l.answer(v.ID, v.Attempt, waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reached: true})
		return
	}
	relay := &connection{call: c.call}
	relay.answer = func(r waxwingseam.Result, tag uint64) {
		h.send(to.host, l.host, func() {
			if !relay.left {
				relay.left = true
				l.answerTagged(v.ID, v.Attempt, r, tag)
			}
		})
	}
	h.send(l.host, to.host, func() { to.receive(relay, v.Attempt, 0, true) })
	var watch func()
	watch = func() {
		switch {
		case relay.left:
		case to.alive && to.inbound[attempt{v.ID, v.Attempt}] == relay:
			h.after(700*time.Millisecond, watch)
		default:
			relay.left = true
			l.relay(v, c, tries-1)
		}
	}
	h.after(700*time.Millisecond, watch)
}

// tagOf is what a run of a call with this id answers: its own request's tag.
func (h *history) tagOf(id waxwingseam.CallID) uint64 { return binary.BigEndian.Uint64(id[:8]) }

// answer answers an attempt with the reply of its own run.
func (l *life) answer(id waxwingseam.CallID, number waxwingseam.Attempt, r waxwingseam.Result) {
	l.answerTagged(id, number, r, r.Digest)
}

func (l *life) answerTagged(id waxwingseam.CallID, number waxwingseam.Attempt, r waxwingseam.Result, tag uint64) {
	key := attempt{id, number}
	c := l.inbound[key]
	if c == nil || !l.alive {
		return
	}
	delete(l.inbound, key)
	if l.host.h.chance(l.host.h.cross) {
		tag++
	}
	c.answer(r, tag)
}

// begin runs a call at the backend server.
func (l *life) begin(v waxwingseam.Run) {
	h := l.host.h
	l.running[v.Call.ID] = true
	h.runs = append(h.runs, auditor.Run{Server: l.host.name, Call: v.Call.ID, Began: h.now})
	tag := contentOf(v.Call, h)
	h.after(time.Duration(1+h.random.IntN(300))*time.Millisecond, func() {
		l.end(v.Call.ID, waxwingseam.Result{Outcome: waxwingseam.OutcomeCompleted, Status: 200, Digest: tag})
	})
}

// contentOf is the tag of the request that a call carries.
func contentOf(call waxwingseam.Call, h *history) uint64 {
	for _, o := range h.senders() {
		if out := o.calls[call.ID]; out != nil {
			return out.tag
		}
	}
	return h.tagOf(call.ID)
}

func (l *life) end(id waxwingseam.CallID, r waxwingseam.Result) {
	if !l.running[id] || !l.alive {
		return
	}
	delete(l.running, id)
	l.step(waxwingseam.RunEnded{Stamp: l.host.h.stamp(), ID: id, Result: r})
}

func (l *life) ended(id waxwingseam.CallID, number waxwingseam.Attempt, r waxwingseam.Result) {
	l.step(waxwingseam.AttemptEnded{Stamp: l.host.h.stamp(), ID: id, Attempt: number, Result: r})
}

func (l *life) cancel(v waxwingseam.CancelAttempt) {
	h := l.host.h
	o := l.calls[v.ID]
	if o == nil || o.open[v.Attempt] == nil {
		return
	}
	c := o.open[v.Attempt]
	c.left = true
	for _, s := range h.servers() {
		to := s.life
		if to.inbound[attempt{v.ID, v.Attempt}] == c {
			h.send(l.host, to.host, func() {
				to.step(waxwingseam.AttemptCancelled{Stamp: h.stamp(), ID: v.ID, Attempt: v.Attempt})
				delete(to.inbound, attempt{v.ID, v.Attempt})
			})
		}
	}
}

func (l *life) fence(v waxwingseam.Fence) {
	h := l.host.h
	answered := false
	tell := func(e waxwingseam.FenceAnswered) {
		if !answered {
			answered = true
			e.Stamp, e.ID, e.Attempt = h.stamp(), v.ID, v.Attempt
			l.step(e)
		}
	}
	h.after(500*time.Millisecond, func() { tell(waxwingseam.FenceAnswered{}) })
	to := h.target(v.Server)
	if to == nil {
		return
	}
	h.send(l.host, to.host, func() {
		if !to.alive {
			return
		}
		reply := waxwingseam.FenceAnswered{Reached: true, Incarnation: to.self.Incarnation}
		if !h.noFence {
			asked := waxwingseam.FenceAsked{Stamp: h.stamp(), ID: v.ID, Until: v.Until}
			effects := to.reducer.Reduce(asked)
			to.recorder.Observe(asked, effects)
			for _, x := range effects {
				if a, ok := x.(waxwingseam.AnswerFence); ok {
					reply.Started = a.Started
				} else {
					to.execute(x)
				}
			}
		}
		h.send(to.host, l.host, func() { tell(reply) })
	})
}

func (l *life) ask(v waxwingseam.AskWitness) {
	h := l.host.h
	done := false
	tell := func(reached bool, a waxwingseam.WitnessAnswer) {
		if !done {
			done = true
			l.step(waxwingseam.WitnessAnswered{Stamp: h.stamp(), To: v.To.Name, Message: v.Message, Reached: reached, Answer: a})
		}
	}
	h.after(250*time.Millisecond, func() { tell(false, waxwingseam.WitnessAnswer{}) })
	to := h.target(v.To)
	if to == nil {
		return
	}
	m := v.Message
	if h.noHandover && m.Request == waxwingseam.RequestHandover {
		m.Claims = nil
	}
	h.send(l.host, to.host, func() {
		if !to.alive {
			return
		}
		to.asked++
		to.witness[to.asked] = func(a waxwingseam.WitnessAnswer) {
			if h.noHandover && m.Request == waxwingseam.RequestJoin {
				a.Claims = nil
			}
			h.send(to.host, l.host, func() { tell(true, a) })
		}
		to.step(waxwingseam.WitnessAsked{Stamp: h.stamp(), Number: to.asked, Message: m})
	})
}

func (l *life) reply(v waxwingseam.Reply) {
	h := l.host.h
	o := l.calls[v.ID]
	h.told[v.Result.Outcome]++
	h.after(0, func() { o.resend(v.Result) })
}

// audit checks the history.
func (h *history) audit() error {
	input := auditor.Input{Runs: h.runs, Answers: h.answers}
	for _, r := range h.records {
		_ = r.Flush()
	}
	for _, log := range h.logs {
		input.Logs = append(input.Logs, io.Reader(log))
	}
	return auditor.Audit(input)
}
