package experimenter

import (
	"container/heap"
	"time"

	"waxwingseam.example/waxwingseam"
)

// job is one run at a backend server: its own work, then its child calls.
type job struct {
	call    *callState
	started time.Time
	// finish is the server's work clock at the end of the job's own work.
	finish time.Duration
	work   time.Duration
	// begun is when the run got its slot; zero before.
	begun     time.Time
	heapIndex int
	// stage is the next stage; openCalls counts the open calls of the current one.
	stage     int
	openCalls int
	ended     bool
	// order is the hand-over that began the run.
	order waxwingseam.Run
}

// backend simulates a backend server. Each run occupies a slot from start to
// end. The runs that do their own work, and do not wait for child calls, share the
// server's speed.
type backend struct {
	node  *Node
	slots int
	// connections bounds the runs that occupy or wait for a slot.
	connections int
	// parallel is the number of runs that can work at full speed at once.
	parallel int
	// contention is the relative slowdown for each further multiple of parallel.
	contention float64
	// speed scales the rate of all work; 1 is normal.
	speed float64
	// usualSpeed is the speed without a slowdown; see Uneven.
	usualSpeed float64

	jobs      map[waxwingseam.CallID]*job
	queue     []*job
	heldSlots int
	working   jobHeap
	// workClock is the work that a run would have completed if it had worked since
	// the start of the backend; it was last advanced at updated.
	workClock time.Duration
	updated   time.Time
	// wakeGeneration identifies the latest scheduled end of work; others are
	// ignored.
	wakeGeneration uint64
	// failing makes every new run fail at once.
	failing bool
	// states is set once SetStatement was called. From then on, statement is in the
	// header of each answer. These fields and arrivals outlast a restart of the node.
	states    bool
	statement waxwingseam.Statement
	arrivals  []Arrival
	// assigned holds the calls that an oracle has sent here and that have not begun.
	assigned []*callState
}

// Arrival is the hand-over of one request to a backend server.
type Arrival struct {
	At       time.Time
	Instance string
	// Told is since when the sending node knew from an answer that the server names a
	// rate limit, and ToldLeaving that it is leaving; zero if it did not know.
	Told        time.Time
	ToldLeaving time.Time
	// Issued is when the caller or run sent the request.
	Issued time.Time
	// Repeated is that of the call.
	Repeated bool
}

func newBackend(n *Node, t Tier) *backend {
	return &backend{
		node:        n,
		slots:       t.Slots,
		connections: t.Connections,
		parallel:    t.Slots,
		speed:       1,
		jobs:        map[waxwingseam.CallID]*job{},
		updated:     n.world.scheduler.now,
	}
}

// run starts a call's run, queues it or fails it.
func (b *backend) run(call *callState, order waxwingseam.Run) {
	j := &job{call: call, started: b.node.world.scheduler.now, order: order}
	told := call.node.told[b.node.Server.Instance]
	b.arrivals = append(b.arrivals, Arrival{
		At:          j.started,
		Instance:    b.node.Server.Instance,
		Told:        told.limited,
		ToldLeaving: told.leaving,
		Issued:      call.issued,
		Repeated:    order.Call.Repeated,
	})
	b.jobs[call.id] = j
	switch {
	case b.refuses():
		b.endWith(j, waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonServerRefused})
	case b.failing || len(b.jobs) > b.connections:
		b.end(j, statusFailed)
	case b.heldSlots >= b.slots:
		b.queue = append(b.queue, j)
	default:
		b.begin(j)
	}
}

// refuses reports whether the server refuses a request whatever its load.
func (b *backend) refuses() bool {
	w := b.node.world
	if w.config.RefusedShare == nil {
		return false
	}
	share := w.config.RefusedShare(b.node.Server.Service, w.Elapsed())
	return share > 0 && w.random.Float64() < share
}

// begin assigns a slot to a run and starts its own work.
func (b *backend) begin(j *job) {
	b.advanceClock()
	b.heldSlots++
	j.begun = b.node.world.scheduler.now
	j.call.begun = true
	j.work = j.call.work
	if j.work == 0 {
		j.work = b.node.world.workTime(j.call.visit.Work)
	}
	j.finish = b.workClock + j.work
	heap.Push(&b.working, j)
	b.scheduleWorkEnd()
}

// advanceClock advances the work clock to the current time.
func (b *backend) advanceClock() {
	now := b.node.world.scheduler.now
	b.workClock += time.Duration(float64(now.Sub(b.updated)) * b.rate())
	b.updated = now
}

// rate returns the speed of each working run.
func (b *backend) rate() float64 {
	n := len(b.working)
	if n <= b.parallel {
		return b.speed
	}
	ratio := float64(n) / float64(b.parallel)
	return b.speed / ratio / (1 + b.contention*(ratio-1))
}

// setSpeed sets the speed of all work from now on.
func (b *backend) setSpeed(speed float64) {
	b.advanceClock()
	b.speed = speed
	b.scheduleWorkEnd()
}

// scheduleWorkEnd schedules the next end of a run's own work.
func (b *backend) scheduleWorkEnd() {
	b.wakeGeneration++
	if len(b.working) == 0 {
		return
	}
	generation := b.wakeGeneration
	remaining := float64(b.working[0].finish-b.workClock) / b.rate()
	b.node.world.scheduler.after(time.Duration(remaining), func() {
		if b.wakeGeneration == generation {
			b.workDone()
		}
	})
}

func (b *backend) workDone() {
	b.advanceClock()
	j := heap.Pop(&b.working).(*job)
	j.call.root.work += j.work
	b.scheduleWorkEnd()
	b.nextStage(j)
}

// nextStage makes a run's next calls, or ends the run after the last stage.
func (b *backend) nextStage(j *job) {
	if j.stage == len(j.call.visit.Stages) {
		b.end(j, statusOK)
		return
	}
	stage := j.call.visit.Stages[j.stage]
	j.stage++
	j.openCalls = len(stage)
	for _, v := range stage {
		b.node.world.makeChildCall(b.node, j, v)
	}
}

// childEnded handles the answer to one of a run's calls.
func (b *backend) childEnded(j *job, result waxwingseam.Result) {
	if j.ended {
		return
	}
	if !succeeded(result) {
		b.end(j, statusFailed)
		return
	}
	j.openCalls--
	if j.openCalls == 0 {
		b.nextStage(j)
	}
}

// end ends a run with a status.
func (b *backend) end(j *job, status int) {
	b.endWith(j, waxwingseam.Result{Status: status})
}

// endWith ends a run, which frees its slot, and reports it to the node.
func (b *backend) endWith(j *job, result waxwingseam.Result) {
	b.remove(j)
	w := b.node.world
	elapsed := w.scheduler.now.Sub(j.started)
	if b.states {
		b.node.step(waxwingseam.BackendStated{
			Stamp:     w.stamp(),
			Backend:   j.order.Backend,
			HandOver:  j.order.HandOver,
			Statement: b.statement,
		})
	}
	b.node.step(waxwingseam.RunEnded{
		Stamp:   w.stamp(),
		ID:      j.call.id,
		Result:  result,
		Elapsed: elapsed,
		Load:    b.load(),
	})
}

// load returns what the backend server says of its load; not stated unless
// Uneven.StatesPace is set.
func (b *backend) load() waxwingseam.BackendLoad {
	u := b.node.world.uneven
	if u == nil || !u.StatesPace {
		return waxwingseam.BackendLoad{}
	}
	return waxwingseam.BackendLoad{
		Stated:  true,
		Running: b.heldSlots,
		Waiting: len(b.queue),
		Slots:   b.slots,
		Pace:    uint16(usualPace * b.usualSpeed / b.speed),
	}
}

// usualPace is the pace of a server that is as fast as usual.
const usualPace = 100

// remove removes a run from the queue, or frees its slot for the next one.
func (b *backend) remove(j *job) {
	j.ended = true
	delete(b.jobs, j.call.id)
	for i, v := range b.queue {
		if v == j {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return
		}
	}
	if j.work == 0 {
		return
	}
	b.stopWork(j)
	b.countSlotTime(j)
	b.heldSlots--
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.begin(next)
	}
}

// stopWork ends a run's unfinished work and adds the part done to the root's.
func (b *backend) stopWork(j *job) {
	if j.heapIndex >= len(b.working) || b.working[j.heapIndex] != j {
		return
	}
	b.advanceClock()
	heap.Remove(&b.working, j.heapIndex)
	j.call.root.work += j.work - max(j.finish-b.workClock, 0)
	b.scheduleWorkEnd()
}

// cancel ends a run whose result is no longer needed.
func (b *backend) cancel(id waxwingseam.CallID) {
	j, ok := b.jobs[id]
	if !ok {
		return
	}
	b.end(j, statusCancelled)
}

// jobHeap is a min-heap of working runs by the end of their work.
type jobHeap []*job

// Len implements heap.Interface.
func (x jobHeap) Len() int { return len(x) }

// Less implements heap.Interface.
func (x jobHeap) Less(i, j int) bool { return x[i].finish < x[j].finish }

// Swap implements heap.Interface.
func (x jobHeap) Swap(i, j int) {
	x[i], x[j] = x[j], x[i]
	x[i].heapIndex = i
	x[j].heapIndex = j
}

// Push implements heap.Interface.
func (x *jobHeap) Push(v any) {
	j := v.(*job)
	j.heapIndex = len(*x)
	*x = append(*x, j)
}

// Pop implements heap.Interface.
func (x *jobHeap) Pop() any {
	old := *x
	last := old[len(old)-1]
	*x = old[:len(old)-1]
	return last
}
