package experimenter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// plainDeduplicator tracks live and fenced calls; it keeps no replies.
type plainDeduplicator struct {
	live   map[waxwingseam.CallID]waxwingseam.CallState
	fenced map[waxwingseam.CallID]struct{}
}

func newPlainDeduplicator() waxwingseam.Deduplicator {
	return &plainDeduplicator{
		live:   map[waxwingseam.CallID]waxwingseam.CallState{},
		fenced: map[waxwingseam.CallID]struct{}{},
	}
}

func (d *plainDeduplicator) Arrive(_ *waxwingseam.Context, call waxwingseam.Call) waxwingseam.Record {
	if _, ok := d.fenced[call.ID]; ok {
		return waxwingseam.Record{State: waxwingseam.CallStateFenced}
	}
	state, ok := d.live[call.ID]
	if !ok {
		d.live[call.ID] = waxwingseam.CallStateWaiting
	}
	return waxwingseam.Record{State: state, Owner: call.ID}
}

func (d *plainDeduplicator) Refuse(_ *waxwingseam.Context, id waxwingseam.CallID) { delete(d.live, id) }

func (d *plainDeduplicator) Start(_ *waxwingseam.Context, id waxwingseam.CallID) {
	d.live[id] = waxwingseam.CallStateRunning
}

func (d *plainDeduplicator) Finish(_ *waxwingseam.Context, id waxwingseam.CallID, _ waxwingseam.Result) bool {
	delete(d.live, id)
	return false
}

func (d *plainDeduplicator) Fence(_ *waxwingseam.Context, id waxwingseam.CallID, _ time.Time) bool {
	if d.live[id] == waxwingseam.CallStateRunning {
		return true
	}
	d.fenced[id] = struct{}{}
	return false
}

func (d *plainDeduplicator) Expire(*waxwingseam.Context) []waxwingseam.CallID { return nil }

// noopDrainer is the drainer of a server that never leaves.
type noopDrainer struct{}

// SetStatedLeaving implements waxwingseam.Drainer.
func (noopDrainer) SetStatedLeaving(*waxwingseam.Context, bool) {}
func (noopDrainer) Starting() bool                              { return false }

func (noopDrainer) Drain(*waxwingseam.Context, bool)        {}
func (noopDrainer) SetWithdrawn(*waxwingseam.Context, bool) {}
func (noopDrainer) Leaving() bool                           { return false }

// plainTracker tracks the live runs and the child calls that they made; it
// grants no allowance.
type plainTracker struct {
	runs     map[waxwingseam.CallID]waxwingseam.Call
	children map[waxwingseam.CallID][]waxwingseam.CallID
}

func newPlainTracker() *plainTracker {
	return &plainTracker{
		runs:     map[waxwingseam.CallID]waxwingseam.Call{},
		children: map[waxwingseam.CallID][]waxwingseam.CallID{},
	}
}

func (t *plainTracker) Begin(call waxwingseam.Call) { t.runs[call.ID] = call }

func (t *plainTracker) RunningCall(id waxwingseam.CallID) (waxwingseam.Call, bool) {
	call, ok := t.runs[id]
	return call, ok
}

func (t *plainTracker) OpenChild(parent, child waxwingseam.CallID) *waxwingseam.SharedAllowance {
	t.children[parent] = append(t.children[parent], child)
	return &waxwingseam.SharedAllowance{}
}

func (t *plainTracker) CloseChild(waxwingseam.CallID, waxwingseam.CallID) {}

func (t *plainTracker) Unspent(waxwingseam.CallID) waxwingseam.Allowance { return 0 }

func (t *plainTracker) End(id waxwingseam.CallID) []waxwingseam.CallID {
	children := t.children[id]
	delete(t.children, id)
	delete(t.runs, id)
	return children
}

// ParentRun implements waxwingseam.Tracker.
func (t *plainTracker) ParentRun(e waxwingseam.CallArrived) waxwingseam.CallID { return e.Parent }

// NoteRefusal implements waxwingseam.Tracker.
func (t *plainTracker) NoteRefusal(waxwingseam.CallID) {}

// NoteRefused implements waxwingseam.Tracker.
func (t *plainTracker) NoteRefused(time.Time, waxwingseam.CallID, waxwingseam.ServiceName, waxwingseam.Permille) {
}

// NoteAccountRefused implements waxwingseam.Tracker.
func (t *plainTracker) NoteAccountRefused(time.Time, waxwingseam.CallID, waxwingseam.ServiceName, waxwingseam.AccountShare) {
}

// RefusedAccounts implements waxwingseam.Tracker.
func (t *plainTracker) RefusedAccounts(time.Time, waxwingseam.Place) waxwingseam.AccountShares {
	return waxwingseam.AccountShares{}
}

// Refused implements waxwingseam.Tracker.
func (t *plainTracker) Refused(time.Time, waxwingseam.Place) waxwingseam.Permille {
	return 0
}

// RefusedBelow implements waxwingseam.Tracker.
func (t *plainTracker) RefusedBelow(waxwingseam.CallID) bool { return false }

// AddCallsBelow implements waxwingseam.Tracker.
func (t *plainTracker) AddCallsBelow(waxwingseam.CallID, uint32) {}

// CallsBelow implements waxwingseam.Tracker.
func (t *plainTracker) CallsBelow(waxwingseam.CallID) uint32 { return 0 }
