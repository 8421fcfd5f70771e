// Package tracker records the current runs of a node's own backend server and
// the retry allowance that their child calls share.
package tracker

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// Config holds the settings of a tracker; there are none.
type Config struct{}

// run is a call that runs at the backend server.
type run struct {
	call      waxwingseam.Call
	allowance waxwingseam.SharedAllowance
	// openChildren lists the child calls that have not been closed.
	openChildren []waxwingseam.CallID
	// refusedBelow is set once a call below the run has been refused.
	refusedBelow bool
	// callsBelow counts the calls that the run has made, and all calls below
	// them.
	callsBelow uint32
}

type tracker struct {
	runs map[waxwingseam.CallID]*run
	// byRequestID maps the callers' request identifiers to the current runs.
	byRequestID map[string]waxwingseam.CallID
	shares      shares
	// cut lists the accounts with shares, by place with TagAny.
	cut map[waxwingseam.Place]*cutAccounts
	// sharesExpired is when the shares that no longer count were last removed.
	sharesExpired time.Time
}

// New returns a tracker without runs.
func New(Config) waxwingseam.Tracker {
	return &tracker{
		runs:        map[waxwingseam.CallID]*run{},
		byRequestID: map[string]waxwingseam.CallID{},
		shares:      shares{},
		cut:         map[waxwingseam.Place]*cutAccounts{},
	}
}

// Begin implements waxwingseam.Tracker.
func (t *tracker) Begin(call waxwingseam.Call) {
	t.runs[call.ID] = &run{call: call, allowance: waxwingseam.SharedAllowance{Remaining: call.Allowance}}
	if call.RequestID != "" {
		t.byRequestID[call.RequestID] = call.ID
	}
}

// ParentRun implements waxwingseam.Tracker.
func (t *tracker) ParentRun(e waxwingseam.CallArrived) waxwingseam.CallID {
	if e.Parent.IsZero() && e.ParentRequestID != "" {
		return t.byRequestID[e.ParentRequestID]
	}
	return e.Parent
}

// NoteRefusal implements waxwingseam.Tracker.
func (t *tracker) NoteRefusal(parent waxwingseam.CallID) {
	if r, ok := t.runs[parent]; ok {
		r.refusedBelow = true
	}
}

// RefusedBelow implements waxwingseam.Tracker.
func (t *tracker) RefusedBelow(id waxwingseam.CallID) bool {
	r, ok := t.runs[id]
	return ok && r.refusedBelow
}

// AddCallsBelow implements waxwingseam.Tracker.
func (t *tracker) AddCallsBelow(parent waxwingseam.CallID, below uint32) {
	if r, ok := t.runs[parent]; ok {
		r.callsBelow += below
	}
}

// CallsBelow implements waxwingseam.Tracker.
func (t *tracker) CallsBelow(id waxwingseam.CallID) uint32 {
	r, ok := t.runs[id]
	if !ok {
		return 0
	}
	return r.callsBelow
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
	r.callsBelow++
	r.openChildren = append(r.openChildren, child)
	return &r.allowance
}

// CloseChild implements waxwingseam.Tracker.
func (t *tracker) CloseChild(parent, child waxwingseam.CallID) {
	r, ok := t.runs[parent]
	if !ok {
		return
	}
	if n := slices.Index(r.openChildren, child); n >= 0 {
		r.openChildren = slices.Delete(r.openChildren, n, n+1)
	}
}

// Unspent implements waxwingseam.Tracker.
func (t *tracker) Unspent(id waxwingseam.CallID) waxwingseam.Allowance {
	r, ok := t.runs[id]
	if !ok {
		return 0
	}
	return r.allowance.Remaining
}

// End implements waxwingseam.Tracker.
func (t *tracker) End(id waxwingseam.CallID) []waxwingseam.CallID {
	r, ok := t.runs[id]
	if !ok {
		return nil
	}
	delete(t.runs, id)
	if t.byRequestID[r.call.RequestID] == id {
		delete(t.byRequestID, r.call.RequestID)
	}
	return r.openChildren
}
