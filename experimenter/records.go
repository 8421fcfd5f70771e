package experimenter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// records tells apart the live calls of a node and forgets ended ones.
type records struct {
	live   map[waxwingseam.CallID]waxwingseam.CallState
	fenced map[waxwingseam.CallID]struct{}
}

func newRecords() waxwingseam.Deduplicator {
	return &records{
		live:   map[waxwingseam.CallID]waxwingseam.CallState{},
		fenced: map[waxwingseam.CallID]struct{}{},
	}
}

func (r *records) Arrive(_ *waxwingseam.Context, call waxwingseam.Call) waxwingseam.Record {
	if _, ok := r.fenced[call.ID]; ok {
		return waxwingseam.Record{State: waxwingseam.CallStateFenced}
	}
	standing, ok := r.live[call.ID]
	if !ok {
		r.live[call.ID] = waxwingseam.CallStateWaiting
	}
	return waxwingseam.Record{State: standing, Owner: call.ID}
}

func (r *records) Refuse(_ *waxwingseam.Context, id waxwingseam.CallID) { delete(r.live, id) }

func (r *records) Start(_ *waxwingseam.Context, id waxwingseam.CallID) {
	r.live[id] = waxwingseam.CallStateRunning
}

func (r *records) Finish(_ *waxwingseam.Context, id waxwingseam.CallID, _ waxwingseam.Result) bool {
	delete(r.live, id)
	return false
}

func (r *records) Fence(_ *waxwingseam.Context, id waxwingseam.CallID, _ time.Time) bool {
	if r.live[id] == waxwingseam.CallStateRunning {
		return true
	}
	r.fenced[id] = struct{}{}
	return false
}

func (r *records) Expire(*waxwingseam.Context) []waxwingseam.CallID { return nil }

// openDoor is a drainer of a server that stays.
type openDoor struct{}

func (openDoor) Drain(*waxwingseam.Context, bool)        {}
func (openDoor) SetWithdrawn(*waxwingseam.Context, bool) {}
func (openDoor) Leaving() bool                           { return false }

// families keeps the live runs and their open child calls; it grants no
// allowance.
type families struct {
	runs     map[waxwingseam.CallID]waxwingseam.Call
	children map[waxwingseam.CallID][]waxwingseam.CallID
}

func newFamilies() *families {
	return &families{
		runs:     map[waxwingseam.CallID]waxwingseam.Call{},
		children: map[waxwingseam.CallID][]waxwingseam.CallID{},
	}
}

func (f *families) Begin(call waxwingseam.Call) { f.runs[call.ID] = call }

func (f *families) RunningCall(id waxwingseam.CallID) (waxwingseam.Call, bool) {
	call, ok := f.runs[id]
	return call, ok
}

func (f *families) OpenChild(parent, child waxwingseam.CallID) *waxwingseam.SharedAllowance {
	f.children[parent] = append(f.children[parent], child)
	return &waxwingseam.SharedAllowance{}
}

func (f *families) CloseChild(waxwingseam.CallID, waxwingseam.CallID) {}

func (f *families) Unspent(waxwingseam.CallID) waxwingseam.Allowance { return 0 }

func (f *families) End(id waxwingseam.CallID) []waxwingseam.CallID {
	children := f.children[id]
	delete(f.children, id)
	delete(f.runs, id)
	return children
}

// ParentRun implements waxwingseam.Tracker.
func (f *families) ParentRun(e waxwingseam.CallArrived) waxwingseam.CallID { return e.Parent }

// NoteRefusal implements waxwingseam.Tracker.
func (f *families) NoteRefusal(waxwingseam.CallID) {}

// RefusedBelow implements waxwingseam.Tracker.
func (f *families) RefusedBelow(waxwingseam.CallID) bool { return false }

// AddCallsBelow implements waxwingseam.Tracker.
func (f *families) AddCallsBelow(waxwingseam.CallID, uint32) {}

// CallsBelow implements waxwingseam.Tracker.
func (f *families) CallsBelow(waxwingseam.CallID) uint32 { return 0 }
