// Package reducer combines workers into the single reducer of a process.
package reducer

import (
	"cmp"
	"slices"

	"waxwingseam.example/waxwingseam"
)

// Config holds the settings of a reducer.
type Config struct {
	// Self is the node's own backend server; its name is empty if there is none.
	Self waxwingseam.Server
	// Workers are the workers with their priorities.
	Workers []waxwingseam.PrioritizedWorker
}

type reducer struct {
	context *waxwingseam.Context
	workers map[waxwingseam.Kind][]waxwingseam.Worker
}

// New returns a reducer that passes each event to the workers for its kind, in
// the order of their priorities.
func New(config Config) waxwingseam.Reducer {
	ordered := slices.Clone(config.Workers)
	slices.SortStableFunc(ordered, func(a, b waxwingseam.PrioritizedWorker) int {
		return cmp.Compare(a.Priority, b.Priority)
	})
	workers := map[waxwingseam.Kind][]waxwingseam.Worker{}
	for _, p := range ordered {
		for _, k := range p.Worker.Kinds() {
			workers[k] = append(workers[k], p.Worker)
		}
	}
	return &reducer{
		context: waxwingseam.NewContext(config.Self),
		workers: workers,
	}
}

// Reduce implements waxwingseam.Reducer. A newer set is put in force before the
// workers handle its SetAdopted event.
func (r *reducer) Reduce(e waxwingseam.Event) []waxwingseam.Effect {
	r.context.Begin(e.Stamped())
	if adopted, ok := e.(waxwingseam.SetAdopted); ok {
		r.adopt(adopted.Set)
	}
	for _, w := range r.workers[e.Kind()] {
		w.Reduce(r.context, e)
	}
	return r.context.Effects()
}

// adopt puts a set in force if it is newer than the one in force.
func (r *reducer) adopt(s *waxwingseam.Set) {
	if s.Revision > r.context.Set.Revision {
		r.context.Set = s
	}
}
