package experimenter

import (
	"container/heap"
	"time"

	"waxwingseam.example/waxwingseam"
)

// job is one run at a backend server: its own work, then its further calls.
type job struct {
	call  *callState
	began time.Time
	// finish is the server's work clock at which its own work is done.
	finish time.Duration
	work   time.Duration
	place  int
	// stage is the next stage of calls; open counts those of the present one.
	stage int
	open  int
	over  bool
}

// backend is a fake of a backend server at the reducer's interface. Runs take
// a slot from start to end; their own work shares the server's speed.
type backend struct {
	node  *Node
	slots int
	// connections bounds the runs that hold or wait for a slot.
	connections int
	// parallel is how many runs work at full speed at once.
	parallel int
	// drag is the part of its speed that the server loses to each further
	// multiple of that.
	drag float64
	// speed scales all work; 1 is usual.
	speed float64

	jobs    map[waxwingseam.CallID]*job
	queue   []*job
	held    int
	working jobs
	// clock counts work done by each working run; it stood so at updated.
	clock   time.Duration
	updated time.Time
	// wake numbers the last planned end of work; an older one is void.
	wake uint64
	// failing makes every run end at once with an error.
	failing bool
}

func newBackend(n *Node, t Tier) *backend {
	return &backend{
		node:        n,
		slots:       t.Slots,
		connections: t.Connections,
		parallel:    t.Slots,
		speed:       1,
		jobs:        map[waxwingseam.CallID]*job{},
		updated:     n.world.agenda.now,
	}
}

// run takes a call in: it works, waits for a slot or is turned away.
func (b *backend) run(call *callState) {
	j := &job{call: call, began: b.node.world.agenda.now}
	b.jobs[call.id] = j
	switch {
	case b.failing || len(b.jobs) > b.connections:
		b.end(j, statusFailed)
	case b.held >= b.slots:
		b.queue = append(b.queue, j)
	default:
		b.begin(j)
	}
}

// begin gives a run a slot and its work.
func (b *backend) begin(j *job) {
	b.advance()
	b.held++
	j.work = b.node.world.workTime(j.call.visit.Work)
	j.finish = b.clock + j.work
	heap.Push(&b.working, j)
	b.plan()
}

// advance moves the work clock to the present.
func (b *backend) advance() {
	now := b.node.world.agenda.now
	b.clock += time.Duration(float64(now.Sub(b.updated)) * b.rate())
	b.updated = now
}

// rate is the speed at which each working run proceeds.
func (b *backend) rate() float64 {
	n := len(b.working)
	if n <= b.parallel {
		return b.speed
	}
	times := float64(n) / float64(b.parallel)
	return b.speed / times / (1 + b.drag*(times-1))
}

// setSpeed scales all work from now on.
func (b *backend) setSpeed(speed float64) {
	b.advance()
	b.speed = speed
	b.plan()
}

// plan asks to be woken at the next end of work.
func (b *backend) plan() {
	b.wake++
	if len(b.working) == 0 {
		return
	}
	wake := b.wake
	left := float64(b.working[0].finish-b.clock) / b.rate()
	b.node.world.agenda.after(time.Duration(left), func() {
		if b.wake == wake {
			b.workDone()
		}
	})
}

func (b *backend) workDone() {
	b.advance()
	j := heap.Pop(&b.working).(*job)
	j.call.root.work += j.work
	b.plan()
	b.proceed(j)
}

// proceed makes the calls of the next stage, or ends the run.
func (b *backend) proceed(j *job) {
	if j.stage == len(j.call.visit.Stages) {
		b.end(j, statusOK)
		return
	}
	stage := j.call.visit.Stages[j.stage]
	j.stage++
	j.open = len(stage)
	for _, v := range stage {
		b.node.world.childCall(b.node, j, v)
	}
}

// childEnded takes in the answer to one of a run's calls.
func (b *backend) childEnded(j *job, result waxwingseam.Result) {
	if j.over {
		return
	}
	if !succeeded(result) {
		b.end(j, statusFailed)
		return
	}
	j.open--
	if j.open == 0 {
		b.proceed(j)
	}
}

// end ends a run and lets the next one have its slot.
func (b *backend) end(j *job, status int) {
	b.remove(j)
	w := b.node.world
	elapsed := w.agenda.now.Sub(j.began)
	b.node.step(waxwingseam.RunEnded{
		Stamp:   w.stamp(),
		ID:      j.call.id,
		Result:  waxwingseam.Result{Status: status},
		Elapsed: elapsed,
	})
}

// remove takes a run out, wherever it stands.
func (b *backend) remove(j *job) {
	j.over = true
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
	b.held--
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.begin(next)
	}
}

// stopWork takes a run that still works off the server and counts what it had.
func (b *backend) stopWork(j *job) {
	if j.place >= len(b.working) || b.working[j.place] != j {
		return
	}
	b.advance()
	heap.Remove(&b.working, j.place)
	j.call.root.work += j.work - max(j.finish-b.clock, 0)
	b.plan()
}

// cancel ends a run that nobody wants any more.
func (b *backend) cancel(id waxwingseam.CallID) {
	j, ok := b.jobs[id]
	if !ok {
		return
	}
	b.end(j, statusCancelled)
}

// jobs is a heap of working runs by the end of their work.
type jobs []*job

// Len implements heap.Interface.
func (x jobs) Len() int { return len(x) }

// Less implements heap.Interface.
func (x jobs) Less(i, j int) bool { return x[i].finish < x[j].finish }

// Swap implements heap.Interface.
func (x jobs) Swap(i, j int) {
	x[i], x[j] = x[j], x[i]
	x[i].place = i
	x[j].place = j
}

// Push implements heap.Interface.
func (x *jobs) Push(v any) {
	j := v.(*job)
	j.place = len(*x)
	*x = append(*x, j)
}

// Pop implements heap.Interface.
func (x *jobs) Pop() any {
	old := *x
	last := old[len(old)-1]
	*x = old[:len(old)-1]
	return last
}
