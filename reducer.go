package waxwingseam

import (
	"math/rand/v2"
	"time"
)

// Event is one input of a reducer.
type Event interface {
	// Kind returns the event's kind.
	Kind() Kind
	// Stamped returns the stamp that the runner added to the event.
	Stamped() Stamp
}

// Effect is one output of a reducer, to be carried out by a runner.
type Effect interface {
	// Kind returns the effect's kind.
	Kind() Kind
}

// Stamp is the time and the random word that a runner adds to each event,
// because a reducer has neither a clock nor a random source of its own.
type Stamp struct {
	Now    time.Time
	Random uint64
	// Suspended is for how long the process has been suspended since its start. Now
	// does not count that time, so that deadlines seem later than they are.
	Suspended time.Duration `cbor:",omitempty"`
}

// Stamped returns the stamp itself.
func (s Stamp) Stamped() Stamp {
	return s
}

// Reducer turns events into effects. It does no I/O and reads no clock, and the
// same events always yield the same effects.
type Reducer interface {
	Reduce(e Event) []Effect
}

// Worker reduces the events of some kinds.
type Worker interface {
	// Kinds returns the kinds of events that the worker reduces.
	Kinds() []Kind
	// Reduce handles one event and emits effects into the context.
	Reduce(c *Context, e Event)
}

// PrioritizedWorker is a worker with its priority; workers with a smaller
// priority run first.
type PrioritizedWorker struct {
	Priority int
	Worker   Worker
}

// Context is the state that the workers of a reducer share.
type Context struct {
	// Now is the time of the current event.
	Now time.Time
	// Suspended is that of the current event; see Stamp.
	Suspended time.Duration
	// Set is the configuration in force; never nil.
	Set *Set
	// Self is the node's own backend server; its name is empty if there is none.
	Self Server

	random  *rand.PCG
	effects []Effect
}

// NewContext returns a context with an empty configuration in force.
func NewContext(self Server) *Context {
	return &Context{
		Set:    &Set{},
		Self:   self,
		random: rand.NewPCG(0, 0),
	}
}

// Begin prepares the context for the next event.
func (c *Context) Begin(s Stamp) {
	c.Now = s.Now
	c.Suspended = s.Suspended
	c.random.Seed(s.Random, uint64(s.Now.UnixNano()))
	c.effects = nil
}

// Random returns the random source of the current event, which is seeded with
// its stamp.
func (c *Context) Random() *rand.Rand {
	return rand.New(c.random)
}

// Emit adds an effect.
func (c *Context) Emit(e Effect) {
	c.effects = append(c.effects, e)
}

// Effects returns the effects emitted since Begin.
func (c *Context) Effects() []Effect {
	return c.effects
}
