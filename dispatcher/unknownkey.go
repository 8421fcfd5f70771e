package dispatcher

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// PurposeUnknownKey is the purpose of the timers of calls with an unknown key.
const PurposeUnknownKey waxwingseam.TimerPurpose = "unknown-key"

const (
	// maxHeldCalls bounds the calls with an unknown key that are held. With request bodies
	// read ahead, they take 16 MB at most; further ones are refused at once.
	maxHeldCalls = 256
	// reportPrecision is the precision of the times of reports to control.
	reportPrecision = 2 * time.Millisecond
)

// heldCall is a call with an unknown key. A set that was accepted shortly before may hold
// the key, so that the call is refused only when control has confirmed the set in force
// after the call's arrival.
type heldCall struct {
	arrival waxwingseam.CallArrived
	at      time.Time
}

// hold holds a call with an unknown key, and reports whether it did.
func (d *dispatcher) hold(c *waxwingseam.Context, e waxwingseam.CallArrived) bool {
	if e.KeyDigest.IsZero() || len(d.held) >= maxHeldCalls {
		return false
	}
	wait := maxControlSilence
	if e.Timeout > 0 {
		wait = min(wait, e.Timeout/2)
	}
	d.held = append(d.held, heldCall{arrival: e, at: c.Now})
	c.Emit(waxwingseam.ArmTimer{Timer: unknownKeyTimer(e.ID), At: c.Now.Add(wait)})
	return true
}

// controlHeard notes that control has confirmed the set in force, and decides on the calls
// that were held before.
func (d *dispatcher) controlHeard(c *waxwingseam.Context, e waxwingseam.ControlHeard) {
	d.setAge.controlHeard(c)
	confirmed := c.Now.Add(-e.Age - reportPrecision)
	d.release(c, func(h heldCall) bool { return !h.at.After(confirmed) })
}

// releaseKnown lets the held calls go whose keys the set in force holds.
func (d *dispatcher) releaseKnown(c *waxwingseam.Context) {
	d.release(c, func(h heldCall) bool {
		if !d.keysRequired {
			return true
		}
		_, known := d.Authenticator.Authenticate(h.arrival.KeyDigest)
		return known
	})
}

// release decides on the held calls that a condition selects.
func (d *dispatcher) release(c *waxwingseam.Context, selected func(heldCall) bool) {
	var released []heldCall
	d.held = slices.DeleteFunc(d.held, func(h heldCall) bool {
		if !selected(h) {
			return false
		}
		released = append(released, h)
		return true
	})
	for _, h := range released {
		e := h.arrival
		c.Emit(waxwingseam.StopTimer{Timer: unknownKeyTimer(e.ID)})
		if e.Timeout > 0 {
			e.Timeout = max(e.Timeout-c.Now.Sub(h.at), 1)
		}
		f, reason := d.newFlight(c, e)
		d.begin(c, e, f, reason)
	}
}

// refuseHeld refuses a held call, if it is still held.
func (d *dispatcher) refuseHeld(c *waxwingseam.Context, id waxwingseam.CallID, reason waxwingseam.Reason) {
	i := slices.IndexFunc(d.held, func(h heldCall) bool { return h.arrival.ID == id })
	if i < 0 {
		return
	}
	d.held = slices.Delete(d.held, i, i+1)
	c.Emit(waxwingseam.StopTimer{Timer: unknownKeyTimer(id)})
	c.Emit(waxwingseam.Reply{
		ID:     id,
		Result: waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: reason},
	})
}

func unknownKeyTimer(id waxwingseam.CallID) waxwingseam.TimerID {
	return waxwingseam.TimerID{Purpose: PurposeUnknownKey, Call: id}
}
