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
	pot      waxwingseam.SharedAllowance
	children []waxwingseam.CallID
	// refused is set once a call further down was refused.
	refused bool
	// below counts the calls that the run has made, and those below them.
	below uint32
}

type tracker struct {
	runs map[waxwingseam.CallID]*run
	// requests leads from the callers' identifiers to the live runs.
	requests map[string]waxwingseam.CallID
}

// New returns a tracker without runs.
func New(Config) waxwingseam.Tracker {
	return &tracker{
		runs:     map[waxwingseam.CallID]*run{},
		requests: map[string]waxwingseam.CallID{},
	}
}

// Begin implements waxwingseam.Tracker.
func (t *tracker) Begin(call waxwingseam.Call) {
	t.runs[call.ID] = &run{call: call, pot: waxwingseam.SharedAllowance{Remaining: call.Allowance}}
	if call.RequestID != "" {
		t.requests[call.RequestID] = call.ID
	}
}

// ParentRun implements waxwingseam.Tracker.
func (t *tracker) ParentRun(e waxwingseam.CallArrived) waxwingseam.CallID {
	if e.Parent.IsZero() && e.ParentRequestID != "" {
		return t.requests[e.ParentRequestID]
	}
	return e.Parent
}

// NoteRefusal implements waxwingseam.Tracker.
func (t *tracker) NoteRefusal(parent waxwingseam.CallID) {
	if r, ok := t.runs[parent]; ok {
		r.refused = true
	}
}

// RefusedBelow implements waxwingseam.Tracker.
func (t *tracker) RefusedBelow(id waxwingseam.CallID) bool {
	r, ok := t.runs[id]
	return ok && r.refused
}

// AddCallsBelow implements waxwingseam.Tracker.
func (t *tracker) AddCallsBelow(parent waxwingseam.CallID, below uint32) {
	if r, ok := t.runs[parent]; ok {
		r.below += below
	}
}

// CallsBelow implements waxwingseam.Tracker.
func (t *tracker) CallsBelow(id waxwingseam.CallID) uint32 {
	r, ok := t.runs[id]
	if !ok {
		return 0
	}
	return r.below
}

// RunningCall implements waxwingseam.Tracker.
func (t *tracker) RunningCall(id waxwingseam.CallID) (waxwingseam.Call, bool) {
	r, ok := t.runs[id]
	if !ok {
		return waxwingseam.Call{}, false
	}
	return r.call, true
}

// OpenChild implements waxwingseam.Tracker.
func (t *tracker) OpenChild(parent, child waxwingseam.CallID) *waxwingseam.SharedAllowance {
	r, ok := t.runs[parent]
	if !ok {
		return &waxwingseam.SharedAllowance{}
	}
	r.below++
	r.children = append(r.children, child)
	return &r.pot
}

// CloseChild implements waxwingseam.Tracker.
func (t *tracker) CloseChild(parent, child waxwingseam.CallID) {
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
	return r.pot.Remaining
}

// End implements waxwingseam.Tracker.
func (t *tracker) End(id waxwingseam.CallID) []waxwingseam.CallID {
	r, ok := t.runs[id]
	if !ok {
		return nil
	}
	delete(t.runs, id)
	if t.requests[r.call.RequestID] == id {
		delete(t.requests, r.call.RequestID)
	}
	return r.children
}
