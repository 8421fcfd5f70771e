// Package tracker keeps the live runs of a node's own backend server and the
// retry allowance that their child calls share.
package tracker

import (
	"slices"

	"waxwingseam.example/waxwingseam"
)

// Splitter decides how much of a run's allowance one child call draws.
type Splitter interface {
	Split(in waxwingseam.Allowance) waxwingseam.Allowance
}

// Config holds the parts of a tracker.
type Config struct {
	Splitter Splitter
}

// run is one live run.
type run struct {
	call waxwingseam.Call
	// left is what no open child has drawn.
	left     waxwingseam.Allowance
	children []child
}

// child is an open child call with what it drew.
type child struct {
	id    waxwingseam.CallID
	drawn waxwingseam.Allowance
}

type tracker struct {
	splitter Splitter
	runs     map[waxwingseam.CallID]*run
}

// New returns a tracker without runs.
func New(config Config) waxwingseam.Tracker {
	return &tracker{
		splitter: config.Splitter,
		runs:     map[waxwingseam.CallID]*run{},
	}
}

// Begin implements waxwingseam.Tracker.
func (t *tracker) Begin(call waxwingseam.Call) {
	t.runs[call.ID] = &run{call: call, left: call.Allowance}
}

// Parent implements waxwingseam.Tracker.
func (t *tracker) Parent(id waxwingseam.CallID) (waxwingseam.Call, bool) {
	r, ok := t.runs[id]
	if !ok {
		return waxwingseam.Call{}, false
	}
	return r.call, true
}

// Draw implements waxwingseam.Tracker.
func (t *tracker) Draw(parent, id waxwingseam.CallID) waxwingseam.Allowance {
	r, ok := t.runs[parent]
	if !ok {
		return 0
	}
	drawn := min(t.splitter.Split(r.left), r.left)
	r.left -= drawn
	r.children = append(r.children, child{id: id, drawn: drawn})
	return drawn
}

// Return implements waxwingseam.Tracker.
func (t *tracker) Return(parent, id waxwingseam.CallID, unspent waxwingseam.Allowance) {
	r, ok := t.runs[parent]
	if !ok {
		return
	}
	n := slices.IndexFunc(r.children, func(c child) bool { return c.id == id })
	if n < 0 {
		return
	}
	r.left += min(unspent, r.children[n].drawn)
	r.children = slices.Delete(r.children, n, n+1)
}

// Unspent implements waxwingseam.Tracker.
func (t *tracker) Unspent(id waxwingseam.CallID) waxwingseam.Allowance {
	r, ok := t.runs[id]
	if !ok {
		return 0
	}
	return r.left
}

// End implements waxwingseam.Tracker.
func (t *tracker) End(id waxwingseam.CallID) []waxwingseam.CallID {
	r, ok := t.runs[id]
	if !ok {
		return nil
	}
	delete(t.runs, id)
	open := make([]waxwingseam.CallID, 0, len(r.children))
	for _, c := range r.children {
		open = append(open, c.id)
	}
	return open
}
