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

// shape is a call with the groups of child calls that its run makes: the
// groups one after the other, the calls of a group at once.
type shape struct {
	service waxwingseam.ServiceName
	groups  [][]shape
}

// faults are the shares, in hundredths, of what goes wrong.
type faults struct {
	request, reply, refuse, fail, restart int
}

const (
	hop         = 500 * time.Microsecond
	runTime     = 5 * time.Millisecond
	silentAfter = 500 * time.Millisecond
	rootTime    = 4 * time.Second
)

// world joins the sending halves of many nodes by a small fake wire.
type world struct {
	now    time.Time
	queue  events
	random *rand.Rand
	faults faults
	set    *waxwingseam.Set
	hosts  []*host
	shapes map[waxwingseam.CallID]shape
	roots  map[waxwingseam.CallID]waxwingseam.RootID
	order  []waxwingseam.CallID
	// calls, attempts count by root; runs and replies by call.
	calls, attempts map[waxwingseam.RootID]int
	runs            map[waxwingseam.CallID]int
	replies         map[waxwingseam.CallID][]waxwingseam.Result
	config          retrier.Config
}

type event struct {
	at   time.Time
	next int
	do   func()
}

type events struct {
	list []event
	next int
}

func (e *events) Len() int      { return len(e.list) }
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(v any)    { e.list = append(e.list, v.(event)) }
func (e *events) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.next < b.next
}

func (e *events) Pop() any {
	v := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return v
}

// host is a node with its backend server.
type host struct {
	world   *world
	self    waxwingseam.Server
	reducer waxwingseam.Reducer
	tracker waxwingseam.Tracker
	timers  map[waxwingseam.TimerID]int
	records map[waxwingseam.CallID]*record
	// waits holds what goes on once a call made here is answered.
	waits map[waxwingseam.CallID]func(waxwingseam.Result)
}

// record is what the host's receiving half keeps of a call.
type record struct {
	call    waxwingseam.Call
	started bool
	fenced  bool
	ended   bool
	result  waxwingseam.Result
	open    int
	failed  bool
	waiting []func(waxwingseam.Result)
}

var worldServices = []waxwingseam.ServiceName{"s0", "s1", "s2", "s3"}

const worldServers = 3

func newWorld(seed uint64, allowance waxwingseam.Allowance, f faults, config retrier.Config) *world {
	w := &world{
		now: start, random: rand.New(rand.NewPCG(seed, 1)), faults: f, config: config,
		set:    &waxwingseam.Set{Revision: 1, RetryLimits: []waxwingseam.RetryLimit{{Name: "limit", Allowance: allowance, BudgetPercent: 50, Backoff: time.Millisecond}}},
		shapes: map[waxwingseam.CallID]shape{}, roots: map[waxwingseam.CallID]waxwingseam.RootID{},
		calls: map[waxwingseam.RootID]int{}, attempts: map[waxwingseam.RootID]int{},
		runs: map[waxwingseam.CallID]int{}, replies: map[waxwingseam.CallID][]waxwingseam.Result{},
	}
	for i, s := range worldServices {
		w.set.Services = append(w.set.Services, waxwingseam.Service{Name: s})
		w.set.RequestClasses = append(w.set.RequestClasses, waxwingseam.RequestClass{
			Name: waxwingseam.ClassName(s), Service: s, Repeat: waxwingseam.Repeat(i % 2), Deadline: rootTime, RetryLimit: "limit",
		})
		for k := range worldServers {
			w.hosts = append(w.hosts, &host{world: w, self: waxwingseam.Server{
				Name: waxwingseam.ServerName(fmt.Sprintf("%s-%d", s, k)), Service: s, Incarnation: 1,
			}})
		}
	}
	for _, h := range w.hosts {
		h.start()
	}
	return w
}

func (h *host) start() {
	w := h.world
	r := retrier.New(w.config)
	h.tracker = tracker.New(tracker.Config{})
	h.timers = map[waxwingseam.TimerID]int{}
	h.records = map[waxwingseam.CallID]*record{}
	h.waits = map[waxwingseam.CallID]func(waxwingseam.Result){}
	h.reducer = reducer.New(reducer.Config{Self: h.self, Workers: []waxwingseam.PrioritizedWorker{{Worker: dispatcher.New(dispatcher.Config{
		Classifier: &byService{}, Balancer: balancer.New(balancer.Config{Self: h.self.Name}), Retrier: r, Tracker: h.tracker,
	})}}})
	h.step(waxwingseam.SetAdopted{Stamp: w.stamp(), Set: w.set})
	h.learn()
}

func (h *host) learn() {
	servers := make([]waxwingseam.Server, len(h.world.hosts))
	for i, o := range h.world.hosts {
		servers[i] = o.self
	}
	h.step(waxwingseam.ServersUpdated{Stamp: h.world.stamp(), Servers: servers})
}

// restart begins a new life of a host: its calls break, its records are gone.
func (h *host) restart() {
	for _, id := range sortedIDs(h.records) {
		if r := h.records[id]; !r.ended {
			h.answer(r, waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonConnectionFailed})
		}
	}
	h.self.Incarnation++
	h.start()
	for _, o := range h.world.hosts {
		h.world.after(silentAfter/2, o.learn)
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

func (w *world) stamp() waxwingseam.Stamp {
	return waxwingseam.Stamp{Now: w.now, Random: w.random.Uint64()}
}

func (w *world) after(d time.Duration, do func()) {
	w.queue.next++
	heap.Push(&w.queue, event{at: w.now.Add(d), next: w.queue.next, do: do})
}

func (w *world) chance(percent int) bool { return w.random.IntN(100) < percent }

// run plays all events until none is left.
func (w *world) run() {
	for w.queue.Len() > 0 {
		v := heap.Pop(&w.queue).(event)
		w.now = v.at
		v.do()
	}
}

func (w *world) host(name waxwingseam.ServerName) *host {
	n := slices.IndexFunc(w.hosts, func(h *host) bool { return h.self.Name == name })
	return w.hosts[n]
}

// call makes a call of a shape at a host, below a run or as a root.
func (w *world) call(h *host, s shape, parent *record) waxwingseam.CallID {
	id := waxwingseam.NewCallID(w.random.Uint64(), w.random.Uint64())
	e := waxwingseam.CallArrived{ID: id, Service: s.service, Replayable: true}
	if parent == nil {
		e.Root = waxwingseam.RootID(id)
		w.roots[id] = e.Root
	} else {
		e.Parent = parent.call.ID
		w.roots[id] = parent.call.Root
	}
	w.shapes[id] = s
	w.order = append(w.order, id)
	w.calls[w.roots[id]]++
	e.Stamp = w.stamp()
	h.step(e)
	return id
}

func (h *host) step(e waxwingseam.Event) {
	for _, v := range h.reducer.Reduce(e) {
		h.execute(v)
	}
}

// later reduces an event at this life of the host.
func (h *host) later(d time.Duration, build func(waxwingseam.Stamp) waxwingseam.Event) {
	life := h.self.Incarnation
	h.world.after(d, func() {
		if h.self.Incarnation == life {
			h.step(build(h.world.stamp()))
		}
	})
}

func (h *host) execute(e waxwingseam.Effect) {
	w := h.world
	switch v := e.(type) {
	case waxwingseam.Dispatch:
		w.attempts[v.Call.Root]++
		h.dispatch(v)
	case waxwingseam.Resume:
		h.resume(v)
	case waxwingseam.Fence:
		h.fence(v)
	case waxwingseam.CancelAttempt:
		for _, o := range w.hosts {
			w.after(hop, func() { o.cancel(v.ID) })
		}
	case waxwingseam.Reply:
		h.reply(v)
	case waxwingseam.ArmTimer:
		w.queue.next++
		armed := w.queue.next
		h.timers[v.Timer] = armed
		h.later(max(v.At.Sub(w.now), 0), func(s waxwingseam.Stamp) waxwingseam.Event {
			if h.timers[v.Timer] != armed {
				return waxwingseam.TimerFired{Stamp: s}
			}
			return waxwingseam.TimerFired{Stamp: s, Timer: v.Timer}
		})
	case waxwingseam.StopTimer:
		delete(h.timers, v.Timer)
	}
}

// ended returns a function that brings an attempt's end to its sender.
func (h *host) ended(id waxwingseam.CallID, n waxwingseam.Attempt) func(waxwingseam.Result) {
	return func(result waxwingseam.Result) {
		if h.world.chance(h.world.faults.reply) {
			h.silent(id, n)
			return
		}
		h.later(hop, func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.AttemptEnded{Stamp: s, ID: id, Attempt: n, Result: result}
		})
	}
}

func (h *host) silent(id waxwingseam.CallID, n waxwingseam.Attempt) {
	h.later(silentAfter, func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.AttemptSilent{Stamp: s, ID: id, Attempt: n}
	})
}

func (h *host) dispatch(v waxwingseam.Dispatch) {
	w := h.world
	delay := hop
	if w.chance(w.faults.request) {
		h.silent(v.Call.ID, v.Attempt)
		// What the connection held may arrive late, or never.
		if w.chance(50) {
			return
		}
		delay = time.Duration(w.random.Int64N(int64(2 * time.Second)))
	}
	w.after(delay, func() { w.host(v.Server.Name).arrive(v, h.ended(v.Call.ID, v.Attempt)) })
}

func (h *host) arrive(v waxwingseam.Dispatch, answer func(waxwingseam.Result)) {
	w := h.world
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
		r.waiting = append(r.waiting, answer)
	case w.chance(w.faults.refuse):
		refusal.Reason = waxwingseam.ReasonOverloaded
		answer(refusal)
	default:
		r = &record{call: v.Call, started: true, waiting: []func(waxwingseam.Result){answer}}
		h.records[v.Call.ID] = r
		w.runs[v.Call.ID]++
		h.tracker.Begin(v.Call)
		h.work(r, w.shapes[v.Call.ID].groups)
		if w.chance(w.faults.restart) {
			w.after(runTime/2, h.restart)
		}
	}
}

// work runs the groups that are left, then ends the run.
func (h *host) work(r *record, groups [][]shape) {
	w := h.world
	life := h.self.Incarnation
	w.after(runTime, func() {
		switch {
		case h.self.Incarnation != life || r.ended:
		case w.chance(w.faults.fail):
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
			r.open = len(groups[0])
			for _, s := range groups[0] {
				id := w.call(h, s, r)
				h.await(id, r, groups[1:])
			}
		}
	})
}

// await goes on with a run once the last call of a group is answered.
func (h *host) await(id waxwingseam.CallID, r *record, rest [][]shape) {
	done := func(result waxwingseam.Result) {
		r.failed = r.failed || result.Status != 200
		r.open--
		if r.open == 0 && !r.ended {
			h.work(r, rest)
		}
	}
	if known := h.world.replies[id]; len(known) > 0 {
		done(known[0])
		return
	}
	h.waits[id] = done
}

func (h *host) finish(r *record, result waxwingseam.Result) {
	result.Unspent = h.tracker.Unspent(r.call.ID)
	h.answer(r, result)
	h.step(waxwingseam.RunEnded{Stamp: h.world.stamp(), ID: r.call.ID, Result: result})
}

func (h *host) answer(r *record, result waxwingseam.Result) {
	r.ended, r.result = true, result
	waiting := r.waiting
	r.waiting = nil
	for _, f := range waiting {
		f(result)
	}
}

func (h *host) cancel(id waxwingseam.CallID) {
	if r, ok := h.records[id]; ok && r.started && !r.ended {
		h.finish(r, waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonCancelled, Reached: true})
	}
}

// reply takes in the answer to a call made at this host.
func (h *host) reply(v waxwingseam.Reply) {
	h.world.replies[v.ID] = append(h.world.replies[v.ID], v.Result)
	if done, ok := h.waits[v.ID]; ok {
		delete(h.waits, v.ID)
		done(v.Result)
	}
}

func (h *host) resume(v waxwingseam.Resume) {
	w := h.world
	if w.chance(w.faults.request) {
		h.silent(v.ID, v.Attempt)
		return
	}
	answer := h.ended(v.ID, v.Attempt)
	w.after(hop, func() {
		o := w.host(v.Server.Name)
		r, ok := o.records[v.ID]
		switch {
		case !ok || !r.started:
			answer(waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonIncarnation, Reached: true})
		case r.ended:
			answer(r.result)
		default:
			r.waiting = append(r.waiting, answer)
		}
	})
}

func (h *host) fence(v waxwingseam.Fence) {
	w := h.world
	lost := w.chance(w.faults.request)
	w.after(hop, func() {
		o := w.host(v.Server.Name)
		r, ok := o.records[v.ID]
		started := ok && r.started
		if !started && !lost {
			o.records[v.ID] = &record{fenced: true, ended: true}
		}
		life := o.self.Incarnation
		h.later(hop, func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.FenceAnswered{Stamp: s, ID: v.ID, Attempt: v.Attempt, Reached: !lost, Started: started && !lost, Incarnation: life}
		})
	})
}
