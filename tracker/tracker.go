// Package tracker keeps the live runs of a node's own backend server and the
// retry allowance that their child calls share.
package tracker

import (
	"slices"

	"waxwingseam.example/waxwingseam"
)

// Config holds the settings of a tracker; it has none today.
type Config struct{}

// run is one live run.
type run struct {
	call     waxwingseam.Call
	pot      waxwingseam.Pot
	children []waxwingseam.CallID
}

type tracker struct {
	runs map[waxwingseam.CallID]*run
}

// New returns a tracker without runs.
func New(Config) waxwingseam.Tracker {
	return &tracker{runs: map[waxwingseam.CallID]*run{}}
}

// Begin implements waxwingseam.Tracker.
func (t *tracker) Begin(call waxwingseam.Call) {
	t.runs[call.ID] = &run{call: call, pot: waxwingseam.Pot{Left: call.Allowance}}
}

// Parent implements waxwingseam.Tracker.
func (t *tracker) Parent(id waxwingseam.CallID) (waxwingseam.Call, bool) {
	r, ok := t.runs[id]
	if !ok {
		return waxwingseam.Call{}, false
	}
	return r.call, true
}

// Open implements waxwingseam.Tracker.
func (t *tracker) Open(parent, child waxwingseam.CallID) *waxwingseam.Pot {
	r, ok := t.runs[parent]
	if !ok {
		return &waxwingseam.Pot{}
	}
	r.children = append(r.children, child)
	return &r.pot
}

// Close implements waxwingseam.Tracker.
func (t *tracker) Close(parent, child waxwingseam.CallID) {
	r, ok := t.runs[parent]
	if !ok {
		return
	}
	if n := slices.Index(r.children, child); n >= 0 {
		r.children = slices.Delete(r.children, n, n+1)
	}
}

// Unspent implements waxwingseam.Tracker.
func (t *tracker) Unspent(id waxwingseam.CallID) waxwingseam.Allowance {
	r, ok := t.runs[id]
	if !ok {
		return 0
	}
	return r.pot.Left
}

// End implements waxwingseam.Tracker.
func (t *tracker) End(id waxwingseam.CallID) []waxwingseam.CallID {
	r, ok := t.runs[id]
	if !ok {
		return nil
	}
	delete(t.runs, id)
	return r.children
}
