package runner

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// timers carries out the effects that arm and stop timers. Its map is accessed
// only by the goroutine that processes the runner's queue.
type timers struct {
	runner *Runner
	armed  map[waxwingseam.TimerID]*armedTimer
}

type armedTimer struct {
	stop func() bool
}

func newTimers(r *Runner) timers {
	return timers{
		runner: r,
		armed:  map[waxwingseam.TimerID]*armedTimer{},
	}
}

// Kinds implements Executor.
func (t *timers) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{
		waxwingseam.KindArmTimer,
		waxwingseam.KindStopTimer,
	}
}

// Execute implements Executor.
func (t *timers) Execute(e waxwingseam.Effect) {
	switch v := e.(type) {
	case waxwingseam.ArmTimer:
		t.arm(v)
	case waxwingseam.StopTimer:
		t.stop(v.Timer)
	}
}

func (t *timers) arm(e waxwingseam.ArmTimer) {
	t.stop(e.Timer)
	armed := &armedTimer{}
	t.armed[e.Timer] = armed
	delay := max(e.At.Sub(t.runner.clock.Now()), 0)
	armed.stop = t.runner.clock.AfterFunc(delay, func() {
		t.runner.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return t.fire(s, e.Timer, armed)
		})
	})
}

// fire removes the timer. If the timer was stopped or replaced in the meantime,
// the event names no timer.
func (t *timers) fire(s waxwingseam.Stamp, id waxwingseam.TimerID, armed *armedTimer) waxwingseam.Event {
	if t.armed[id] != armed {
		return waxwingseam.TimerFired{Stamp: s}
	}
	delete(t.armed, id)
	return waxwingseam.TimerFired{Stamp: s, Timer: id}
}

func (t *timers) stop(id waxwingseam.TimerID) {
	armed, ok := t.armed[id]
	if !ok {
		return
	}
	armed.stop()
	delete(t.armed, id)
}

type systemClock struct{}

// Now implements Clock.
func (systemClock) Now() time.Time {
	return time.Now()
}

// AfterFunc implements Clock.
func (systemClock) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}
