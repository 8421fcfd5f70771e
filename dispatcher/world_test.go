package dispatcher_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/balancer"
	"waxwingseam.example/waxwingseam/dispatcher"
	"waxwingseam.example/waxwingseam/reducer"
	"waxwingseam.example/waxwingseam/retrier"
	"waxwingseam.example/waxwingseam/tracker"
)

// callTree is a call with the groups of child calls that its run makes. The run
// makes the calls of a group concurrently, and one group after another.
type callTree struct {
	service waxwingseam.ServiceName
	groups  [][]callTree
}

// faults holds the probability of each fault in percent.
type faults struct {
	request, reply, refuse, fail, restart int
}

const (
	networkDelay   = 500 * time.Microsecond
	runDuration    = 5 * time.Millisecond
	silenceTimeout = 500 * time.Millisecond
	rootDeadline   = 4 * time.Second
)

// simulation connects the sending halves of many nodes by a simulated network.
type simulation struct {
	now       time.Time
	queue     eventQueue
	random    *rand.Rand
	faults    faults
	set       *waxwingseam.Set
	hosts     []*host
	callTrees map[waxwingseam.CallID]callTree
	roots     map[waxwingseam.CallID]waxwingseam.RootID
	callIDs   []waxwingseam.CallID
	// calls and attempts are counts by root; runs and replies are by call.
	calls, attempts map[waxwingseam.RootID]int
	runs            map[waxwingseam.CallID]int
	replies         map[waxwingseam.CallID][]waxwingseam.Result
	config          retrier.Config
}

type event struct {
	at     time.Time
	number int
	action func()
}

type eventQueue struct {
	list       []event
	lastNumber int
}

func (e *eventQueue) Len() int      { return len(e.list) }
func (e *eventQueue) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *eventQueue) Push(v any)    { e.list = append(e.list, v.(event)) }
func (e *eventQueue) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.number < b.number
}

func (e *eventQueue) Pop() any {
	v := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return v
}

// host is a node with its backend server.
type host struct {
	simulation *simulation
	self       waxwingseam.Server
	reducer    waxwingseam.Reducer
	tracker    waxwingseam.Tracker
	timers     map[waxwingseam.TimerID]int
	records    map[waxwingseam.CallID]*record
	// replyHandlers holds the function that receives the reply of each open call
	// made at this host.
	replyHandlers map[waxwingseam.CallID]func(waxwingseam.Result)
}

// record is the state of a call at the host that receives it.
type record struct {
	call         waxwingseam.Call
	started      bool
	fenced       bool
	ended        bool
	result       waxwingseam.Result
	openChildren int
	failed       bool
	replyTo      []func(waxwingseam.Result)
}

var simulatedServices = []waxwingseam.ServiceName{"s0", "s1", "s2", "s3"}

const serversPerService = 3

func newSimulation(seed uint64, allowance waxwingseam.Allowance, f faults, config retrier.Config) *simulation {
	sm := &simulation{
		now: start, random: rand.New(rand.NewPCG(seed, 1)), faults: f, config: config,
		set:       &waxwingseam.Set{Revision: 1, RetryLimits: []waxwingseam.RetryLimit{{Name: "limit", Allowance: allowance, BudgetPercent: 50, Backoff: time.Millisecond}}},
		callTrees: map[waxwingseam.CallID]callTree{}, roots: map[waxwingseam.CallID]waxwingseam.RootID{},
		calls: map[waxwingseam.RootID]int{}, attempts: map[waxwingseam.RootID]int{},
		runs: map[waxwingseam.CallID]int{}, replies: map[waxwingseam.CallID][]waxwingseam.Result{},
	}
	for i, s := range simulatedServices {
		sm.set.Services = append(sm.set.Services, waxwingseam.Service{Name: s})
		sm.set.RequestClasses = append(sm.set.RequestClasses, waxwingseam.RequestClass{
			Name: waxwingseam.ClassName(s), Service: s, Repeat: waxwingseam.Repeat(i % 2), Deadline: rootDeadline, RetryLimit: "limit",
		})
		for k := range serversPerService {
			sm.hosts = append(sm.hosts, &host{simulation: sm, self: waxwingseam.Server{
				Name: waxwingseam.ServerName(fmt.Sprintf("%s-%d", s, k)), Service: s, Incarnation: 1,
			}})
		}
	}
	for _, h := range sm.hosts {
		h.start()
	}
	return sm
}

func (h *host) start() {
	sm := h.simulation
	r := retrier.New(sm.config)
	h.tracker = tracker.New(tracker.Config{})
	h.timers = map[waxwingseam.TimerID]int{}
	h.records = map[waxwingseam.CallID]*record{}
	h.replyHandlers = map[waxwingseam.CallID]func(waxwingseam.Result){}
	h.reducer = reducer.New(reducer.Config{Self: h.self, Workers: []waxwingseam.PrioritizedWorker{{Worker: dispatcher.New(dispatcher.Config{
		Classifier: &serviceClassifier{}, Balancer: balancer.New(balancer.Config{Self: h.self.Name}), Retrier: r, Tracker: h.tracker,
	})}}})
	h.step(waxwingseam.SetAdopted{Stamp: sm.stamp(), Set: sm.set})
	h.updateServers()
}

func (h *host) updateServers() {
	servers := make([]waxwingseam.Server, len(h.simulation.hosts))
	for i, o := range h.simulation.hosts {
		servers[i] = o.self
	}
	h.step(waxwingseam.ServersUpdated{Stamp: h.simulation.stamp(), Servers: servers})
}

// restart starts a new incarnation of a host. The connections of its open calls
// fail, and its records are lost.
func (h *host) restart() {
	for _, id := range sortedIDs(h.records) {
		if r := h.records[id]; !r.ended {
			h.replyToAttempts(r, waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonConnectionFailed})
		}
	}
	h.self.Incarnation++
	h.start()
	for _, o := range h.simulation.hosts {
		h.simulation.after(silenceTimeout/2, o.updateServers)
	}
}

func sortedIDs(m map[waxwingseam.CallID]*record) []waxwingseam.CallID {
	ids := make([]waxwingseam.CallID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b waxwingseam.CallID) int { return slices.Compare(a[:], b[:]) })
	return ids
}

func (sm *simulation) stamp() waxwingseam.Stamp {
	return waxwingseam.Stamp{Now: sm.now, Random: sm.random.Uint64()}
}

func (sm *simulation) after(d time.Duration, do func()) {
	sm.queue.lastNumber++
	heap.Push(&sm.queue, event{at: sm.now.Add(d), number: sm.queue.lastNumber, action: do})
}

func (sm *simulation) occurs(percent int) bool { return sm.random.IntN(100) < percent }

// run executes all events in the order of their times.
func (sm *simulation) run() {
	for sm.queue.Len() > 0 {
		v := heap.Pop(&sm.queue).(event)
		sm.now = v.at
		v.action()
	}
}

func (sm *simulation) host(name waxwingseam.ServerName) *host {
	n := slices.IndexFunc(sm.hosts, func(h *host) bool { return h.self.Name == name })
	return sm.hosts[n]
}

// call makes a call at a host, as a child of a run or as a root.
func (sm *simulation) call(h *host, s callTree, parent *record) waxwingseam.CallID {
	id := waxwingseam.NewCallID(sm.random.Uint64(), sm.random.Uint64())
	e := waxwingseam.CallArrived{ID: id, Service: s.service, Replayable: true}
	if parent == nil {
		e.Root = waxwingseam.RootID(id)
		sm.roots[id] = e.Root
	} else {
		e.Parent = parent.call.ID
		sm.roots[id] = parent.call.Root
	}
	sm.callTrees[id] = s
	sm.callIDs = append(sm.callIDs, id)
	sm.calls[sm.roots[id]]++
	e.Stamp = sm.stamp()
	h.step(e)
	return id
}

func (h *host) step(e waxwingseam.Event) {
	for _, v := range h.reducer.Reduce(e) {
		h.execute(v)
	}
}

// schedule reduces an event after a delay, unless the host has restarted by then.
func (h *host) schedule(d time.Duration, build func(waxwingseam.Stamp) waxwingseam.Event) {
	incarnation := h.self.Incarnation
	h.simulation.after(d, func() {
		if h.self.Incarnation == incarnation {
			h.step(build(h.simulation.stamp()))
		}
	})
}

func (h *host) execute(e waxwingseam.Effect) {
	sm := h.simulation
	switch v := e.(type) {
	case waxwingseam.Dispatch:
		sm.attempts[v.Call.Root]++
		h.dispatch(v)
	case waxwingseam.Resume:
		h.resume(v)
	case waxwingseam.Fence:
		h.fence(v)
	case waxwingseam.CancelAttempt:
		for _, o := range sm.hosts {
			sm.after(networkDelay, func() { o.cancel(v.ID) })
		}
	case waxwingseam.Reply:
		h.reply(v)
	case waxwingseam.ArmTimer:
		sm.queue.lastNumber++
		armed := sm.queue.lastNumber
		h.timers[v.Timer] = armed
		h.schedule(max(v.At.Sub(sm.now), 0), func(s waxwingseam.Stamp) waxwingseam.Event {
			if h.timers[v.Timer] != armed {
				return waxwingseam.TimerFired{Stamp: s}
			}
			return waxwingseam.TimerFired{Stamp: s, Timer: v.Timer}
		})
	case waxwingseam.StopTimer:
		delete(h.timers, v.Timer)
	}
}

// replySender returns a function that sends the result of an attempt to this
// host; the result can be lost.
func (h *host) replySender(id waxwingseam.CallID, n waxwingseam.Attempt) func(waxwingseam.Result) {
	return func(result waxwingseam.Result) {
		if h.simulation.occurs(h.simulation.faults.reply) {
			h.scheduleSilent(id, n)
			return
		}
		h.schedule(networkDelay, func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.AttemptEnded{Stamp: s, ID: id, Attempt: n, Result: result}
		})
	}
}

func (h *host) scheduleSilent(id waxwingseam.CallID, n waxwingseam.Attempt) {
	h.schedule(silenceTimeout, func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.AttemptSilent{Stamp: s, ID: id, Attempt: n}
	})
}

func (h *host) dispatch(v waxwingseam.Dispatch) {
	sm := h.simulation
	delay := networkDelay
	if sm.occurs(sm.faults.request) {
		h.scheduleSilent(v.Call.ID, v.Attempt)
		// The request may arrive late or never.
		if sm.occurs(50) {
			return
		}
		delay = time.Duration(sm.random.Int64N(int64(2 * time.Second)))
	}
	sm.after(delay, func() { sm.host(v.Server.Name).arrive(v, h.replySender(v.Call.ID, v.Attempt)) })
}

func (h *host) arrive(v waxwingseam.Dispatch, answer func(waxwingseam.Result)) {
	sm := h.simulation
	refusal := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reached: true, Unspent: v.Call.Allowance}
	r, ok := h.records[v.Call.ID]
	switch {
	case v.Server.Incarnation != h.self.Incarnation:
		refusal.Reason = waxwingseam.ReasonIncarnation
		answer(refusal)
	case ok && r.fenced:
		refusal.Reason = waxwingseam.ReasonFenced
		answer(refusal)
	case ok && r.ended:
		answer(r.result)
	case ok:
		r.replyTo = append(r.replyTo, answer)
	case sm.occurs(sm.faults.refuse):
		refusal.Reason = waxwingseam.ReasonOverloaded
		answer(refusal)
	default:
		r = &record{call: v.Call, started: true, replyTo: []func(waxwingseam.Result){answer}}
		h.records[v.Call.ID] = r
		sm.runs[v.Call.ID]++
		h.tracker.Begin(v.Call)
		h.runGroups(r, sm.callTrees[v.Call.ID].groups)
		if sm.occurs(sm.faults.restart) {
			sm.after(runDuration/2, h.restart)
		}
	}
}

// runGroups makes the calls of the remaining groups, then ends the run.
func (h *host) runGroups(r *record, groups [][]callTree) {
	sm := h.simulation
	incarnation := h.self.Incarnation
	sm.after(runDuration, func() {
		switch {
		case h.self.Incarnation != incarnation || r.ended:
		case sm.occurs(sm.faults.fail):
			h.finish(r, waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonServerFailed, Reached: true})
		case len(groups) == 0 || r.failed:
			result := waxwingseam.Result{
				Outcome: waxwingseam.OutcomeCompleted, Status: 200, Reached: true,
				CallsBelow: h.tracker.CallsBelow(r.call.ID),
			}
			if r.failed {
				result.Status = 502
			}
			h.finish(r, result)
		default:
			r.openChildren = len(groups[0])
			for _, s := range groups[0] {
				id := sm.call(h, s, r)
				h.awaitReply(id, r, groups[1:])
			}
		}
	})
}

// awaitReply records the reply to one call of a group, now or when it arrives,
// and continues the run once the whole group has replies.
func (h *host) awaitReply(id waxwingseam.CallID, r *record, rest [][]callTree) {
	done := func(result waxwingseam.Result) {
		r.failed = r.failed || result.Status != 200
		r.openChildren--
		if r.openChildren == 0 && !r.ended {
			h.runGroups(r, rest)
		}
	}
	if known := h.simulation.replies[id]; len(known) > 0 {
		done(known[0])
		return
	}
	h.replyHandlers[id] = done
}

func (h *host) finish(r *record, result waxwingseam.Result) {
	result.Unspent = h.tracker.Unspent(r.call.ID)
	h.replyToAttempts(r, result)
	h.step(waxwingseam.RunEnded{Stamp: h.simulation.stamp(), ID: r.call.ID, Result: result})
}

func (h *host) replyToAttempts(r *record, result waxwingseam.Result) {
	r.ended, r.result = true, result
	waiting := r.replyTo
	r.replyTo = nil
	for _, f := range waiting {
		f(result)
	}
}

func (h *host) cancel(id waxwingseam.CallID) {
	if r, ok := h.records[id]; ok && r.started && !r.ended {
		h.finish(r, waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonCancelled, Reached: true})
	}
}

// reply handles the reply to a call made at this host.
func (h *host) reply(v waxwingseam.Reply) {
	h.simulation.replies[v.ID] = append(h.simulation.replies[v.ID], v.Result)
	if done, ok := h.replyHandlers[v.ID]; ok {
		delete(h.replyHandlers, v.ID)
		done(v.Result)
	}
}

func (h *host) resume(v waxwingseam.Resume) {
	sm := h.simulation
	if sm.occurs(sm.faults.request) {
		h.scheduleSilent(v.ID, v.Attempt)
		return
	}
	answer := h.replySender(v.ID, v.Attempt)
	sm.after(networkDelay, func() {
		o := sm.host(v.Server.Name)
		r, ok := o.records[v.ID]
		switch {
		case !ok || !r.started:
			answer(waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonIncarnation, Reached: true})
		case r.ended:
			answer(r.result)
		default:
			r.replyTo = append(r.replyTo, answer)
		}
	})
}

func (h *host) fence(v waxwingseam.Fence) {
	sm := h.simulation
	lost := sm.occurs(sm.faults.request)
	sm.after(networkDelay, func() {
		o := sm.host(v.Server.Name)
		r, ok := o.records[v.ID]
		started := ok && r.started
		if !started && !lost {
			o.records[v.ID] = &record{fenced: true, ended: true}
		}
		incarnation := o.self.Incarnation
		h.schedule(networkDelay, func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.FenceAnswered{Stamp: s, ID: v.ID, Attempt: v.Attempt, Reached: !lost, Started: started && !lost, Incarnation: incarnation}
		})
	})
}
