package receiver

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/predictor"
)

const (
	// paceTimeConstant is the time in which the weight of a stated pace falls to 1/e.
	paceTimeConstant = 250 * time.Millisecond
	// workLeftInterval is how long a computed remaining work is used, so that a node that
	// ends many runs does not add up the rest of all others at each.
	workLeftInterval = time.Millisecond
	// paceUnit is the pace, in hundredths, at which work takes the usual time.
	paceUnit = 100
)

// workload estimates the remaining work of the node's own backend server from the calls
// that run and wait, and the pace that the server states. It is inactive until the server
// has stated a pace.
type workload struct {
	predictor *predictor.Predictor
	// pace is the time that work takes, as a multiple of the usual, as stated at statedAt;
	// 0 without a statement.
	pace     float64
	statedAt time.Time
	// clock is the work that a run would have completed if it had worked since the first
	// statement, at the usual pace; it was last advanced at clockAt.
	clock   time.Duration
	clockAt time.Time
	running []*call
	// waiting is the expected cost of the waiting calls at the usual pace.
	waiting time.Duration
	// ownShare is the mean share of own work of the running and waiting calls.
	ownShare float64
	left     time.Duration
	leftAt   time.Time
}

// callWork is what the workload knows of a call.
type callWork struct {
	// counted is the part of workload.waiting that is the call's.
	counted time.Duration
	// index is the place of a running call in workload.running.
	index int
	// started is when the run started, and clock the work clock then.
	started time.Time
	clock   time.Duration
	// ownShare is the expected share of own work.
	ownShare float64
}

func newWorkload() workload {
	return workload{predictor: predictor.New(), ownShare: 1}
}

func (w *workload) active() bool {
	return w.pace > 0
}

// reset forgets the pace of an earlier incarnation of the backend server.
func (w *workload) reset() {
	w.pace = 0
}

// attributes returns the attributes of a call that may predict its cost.
func attributes(e *waxwingseam.AttemptArrived) (values [predictor.AttributeCount]uint64) {
	values[predictor.AttributePath] = e.PathDigest
	values[predictor.AttributeSize] = uint64(e.BodySize)
	if e.Call.Account != "" {
		values[predictor.AttributeAccount] = xxhash.Sum64String(string(e.Call.Account))
	}
	return values
}

func predictedCall(v *call) predictor.Call {
	return predictor.Call{Class: v.header.Class, Values: v.values}
}

// wait counts a call that waits.
func (w *workload) wait(v *call) {
	if !w.active() {
		return
	}
	v.work.counted = w.predictor.Estimate(predictedCall(v)).Mean
	w.waiting += v.work.counted
}

// leave removes a call that no longer waits.
func (w *workload) leave(v *call) {
	w.waiting -= v.work.counted
	v.work.counted = 0
}

// start counts a call that starts to run.
func (w *workload) start(now time.Time, v *call) {
	w.leave(v)
	w.advance(now)
	v.work.index = len(w.running)
	v.work.started, v.work.clock = now, w.clock
	w.running = append(w.running, v)
}

// finish removes a call that has ended, and learns its cost and the pace that the answer
// states.
func (w *workload) finish(c *waxwingseam.Context, v *call, e waxwingseam.RunEnded, end waxwingseam.RunEnd) {
	w.advance(c.Now)
	if !v.running {
		return
	}
	last := w.running[len(w.running)-1]
	w.running[v.work.index] = last
	last.work.index = v.work.index
	w.running[len(w.running)-1] = nil
	w.running = w.running[:len(w.running)-1]
	if w.active() && !end.Failed && e.Elapsed > 0 {
		w.learn(c.Now, v, end)
	}
	if e.Load.Stated && e.Load.Pace > 0 {
		w.pace, w.statedAt = float64(e.Load.Pace)/paceUnit, c.Now
	}
}

// learn records the cost of a run. The part of it that the backend server worked itself
// is converted to the usual pace.
func (w *workload) learn(now time.Time, v *call, end waxwingseam.RunEnd) {
	ownShare := end.OwnElapsed.Seconds() / end.Elapsed.Seconds()
	speed := 1.0
	if passed := now.Sub(v.work.started); passed > 0 {
		speed = (w.clock - v.work.clock).Seconds() / passed.Seconds()
	}
	held := end.Elapsed.Seconds() * (1 - ownShare + ownShare*speed)
	w.predictor.Observe(now, predictedCall(v), predictor.Cost{
		Held:     time.Duration(held * float64(time.Second)),
		OwnShare: ownShare,
	})
}

// advance advances the work clock to a time.
func (w *workload) advance(now time.Time) {
	passed := now.Sub(w.clockAt)
	w.clockAt = now
	if w.active() && passed > 0 {
		w.clock += time.Duration(float64(passed) / w.pace)
	}
}

// currentPace returns the stated pace, which decays to the usual one.
func (w *workload) currentPace(now time.Time) float64 {
	return 1 + (w.pace-1)*math.Exp(-max(now.Sub(w.statedAt), 0).Seconds()/paceTimeConstant.Seconds())
}

// report sets the pace and the remaining work in a load.
func (w *workload) report(now time.Time, load *waxwingseam.Load) {
	if !w.active() {
		return
	}
	if now.Sub(w.leftAt) >= workLeftInterval {
		w.compute(now)
	}
	pace := 1 + w.ownShare*(w.currentPace(now)-1)
	load.Pace = uint16(min(max(math.Round(pace*paceUnit), 1), math.MaxUint16))
	load.WorkLeft = time.Duration(float64(w.left) * pace / float64(max(load.Limit, 1)))
}

// compute adds up the expected rest of the running calls and the cost of the waiting ones,
// at the usual pace.
func (w *workload) compute(now time.Time) {
	w.leftAt = now
	w.advance(now)
	w.left = w.waiting
	var own time.Duration
	for _, v := range w.running {
		elapsed := now.Sub(v.work.started)
		rest, ownShare := w.predictor.Rest(predictedCall(v), elapsed-time.Duration(v.work.ownShare*float64(elapsed-(w.clock-v.work.clock))))
		v.work.ownShare = ownShare
		w.left += rest
		own += time.Duration(ownShare * float64(rest))
	}
	if running := w.left - w.waiting; running > 0 {
		w.ownShare = own.Seconds() / running.Seconds()
	}
}
