// Package runner feeds events to a reducer and carries out its effects.
package runner

import (
	"math/rand/v2"
	"sync"
	"time"

	"waxwingseam.example/waxwingseam"
)

// Executor carries out effects of some kinds. Execute must not block: longer
// work continues in a goroutine, which reports its result as an event.
type Executor interface {
	// Kinds returns the kinds of effects that the executor carries out.
	Kinds() []waxwingseam.Kind
	// Execute carries out one effect.
	Execute(e waxwingseam.Effect)
}

// Observer receives each event with its effects, in the order of the events and
// before the effects are carried out.
type Observer interface {
	Observe(e waxwingseam.Event, effects []waxwingseam.Effect)
}

// Clock provides the current time and timers.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f once d has passed. The function stop cancels the call and
	// reports whether it did so.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// maxSpare limits the room that a runner keeps for its queue.
const maxSpare = 256

// Config holds the settings of a runner.
type Config struct {
	Reducer   waxwingseam.Reducer
	Observers []Observer
	// Clock is the system clock if it is nil.
	Clock Clock
	// Seed seeds the random words that are added to the events.
	Seed uint64
}

// Runner runs one reducer. Step may be called from any goroutine, and also by
// an executor.
type Runner struct {
	reducer   waxwingseam.Reducer
	observers []Observer
	clock     Clock
	timers    timers
	// suspension is used only by the goroutine that processes the queue.
	suspension suspension
	executors  map[waxwingseam.Kind]Executor

	mu     sync.Mutex
	random *rand.PCG
	queue  []func(waxwingseam.Stamp) waxwingseam.Event
	// spare is room for the next queue.
	spare []func(waxwingseam.Stamp) waxwingseam.Event
	// reducing is set while a call of Step processes the queue.
	reducing bool
}

// New returns a runner without executors.
func New(config Config) *Runner {
	clock := config.Clock
	if clock == nil {
		clock = systemClock{}
	}
	r := &Runner{
		reducer:   config.Reducer,
		observers: config.Observers,
		clock:     clock,
		executors: map[waxwingseam.Kind]Executor{},
		random:    rand.NewPCG(config.Seed, config.Seed),
	}
	r.suspension = newSuspension(clock.Now(), sinceBoot)
	r.timers = newTimers(r)
	r.Attach(&r.timers)
	return r
}

// Attach makes an executor carry out the effects of its kinds, in place of an
// earlier executor. Effects without an executor are ignored. Attach must not be
// called after Step.
func (r *Runner) Attach(x Executor) {
	for _, k := range x.Kinds() {
		r.executors[k] = x
	}
}

// Step queues the event that build returns for a stamp. When Step returns, the
// event has been reduced and its effects have been passed to the executors,
// unless another call of Step is processing the queue and handles the event.
//
// If reducing an event panics, the event is dropped and the panic reaches the caller
// that processes the queue; the events after it are processed by the next call.
func (r *Runner) Step(build func(waxwingseam.Stamp) waxwingseam.Event) {
	r.mu.Lock()
	r.queue = append(r.queue, build)
	if r.reducing {
		r.mu.Unlock()
		return
	}
	r.reducing = true
	var batch, next []func(waxwingseam.Stamp) waxwingseam.Event
	defer func() {
		// After a panic, the lock is free, and next begins with the dropped event.
		if len(next) > 0 {
			r.mu.Lock()
			r.queue = append(next[1:], r.queue...)
		}
		r.reducing = false
		r.mu.Unlock()
	}()
	for len(r.queue) > 0 {
		batch, r.queue, r.spare = r.queue, r.spare, nil
		next = batch
		r.mu.Unlock()
		for len(next) > 0 {
			r.reduce(next[0])
			next = next[1:]
		}
		clear(batch)
		r.mu.Lock()
		if cap(batch) <= maxSpare {
			r.spare = batch[:0]
		}
	}
}

// reduce is called only by the goroutine that processes the queue.
func (r *Runner) reduce(build func(waxwingseam.Stamp) waxwingseam.Event) {
	now := r.clock.Now()
	event := build(waxwingseam.Stamp{
		Now:       now,
		Random:    r.random.Uint64(),
		Suspended: r.suspension.until(now),
	})
	effects := r.reducer.Reduce(event)
	for _, o := range r.observers {
		o.Observe(event, effects)
	}
	for _, e := range effects {
		if x, ok := r.executors[e.Kind()]; ok {
			x.Execute(e)
		}
	}
}
