package receiver

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// settings holds what the configuration in force sets for the node's own
// backend server.
type settings struct {
	// service and reportedSlots are as the backend server reported them.
	service       waxwingseam.ServiceName
	reportedSlots int
	// slots is the number of slots in use; 0 if the service is not in the set or no slots
	// are known.
	slots      int
	drained    bool
	waitLimits map[waxwingseam.ClassName]waxwingseam.WaitLimit
}

func newSettings(s *waxwingseam.Set, self waxwingseam.Server) settings {
	out := settings{
		service:       self.Service,
		reportedSlots: self.Slots,
		waitLimits:    make(map[waxwingseam.ClassName]waxwingseam.WaitLimit, len(s.RequestClasses)),
	}
	switch service, ok := s.Service(self.Service); {
	case ok:
		out.slots = serviceSlots(service, self)
	case s.Revision == 0:
		// A node that has started while control is out of reach takes calls of nodes that
		// have a set, as far as its backend server reports.
		out.slots = usableSlots(self.Slots)
	}
	if object, ok := s.BackendServer(self.Name); ok {
		out.drained = object.Drained
		if object.Slots > 0 && out.slots > 0 {
			out.slots = object.Slots
		}
	}
	for _, v := range s.RequestClasses {
		limit, ok := s.WaitLimit(v.WaitLimit)
		if !ok {
			limit = defaultWaitLimit(v, out.slots)
		}
		out.waitLimits[v.Name] = limit
	}
	return out
}

// usablePercent is the percentage of a backend server's reported slots that is
// used. Servers slow down when they are nearly full, and new connections
// briefly occupy slots, so the last slots cost more than they add.
const usablePercent = 94

// usableSlots returns how many of a backend server's reported slots are used, rounded to
// the nearest: of 18 slots, rounding down would leave two unused.
func usableSlots(slots int) int {
	if slots == 0 {
		return 0
	}
	return max((slots*usablePercent+percentDivisor/2)/percentDivisor, 1)
}

const percentDivisor = 100

const (
	// objectiveWaitDivisor sets the default wait limit to a fraction of the latency
	// objective; a call that waits longer rarely meets the objective.
	objectiveWaitDivisor = 4
	// waitingPerSlot times the slots is the maximum number of queued roots for a
	// class that names no wait limit. The admitter decides how many of them can
	// start in time.
	waitingPerSlot = 8
)

// defaultWaitLimit returns the wait limit of a class that names none; zero if
// the class has no latency objective.
func defaultWaitLimit(class waxwingseam.RequestClass, slots int) waxwingseam.WaitLimit {
	if class.Objective <= 0 {
		return waxwingseam.WaitLimit{}
	}
	return waxwingseam.WaitLimit{
		Wait:    class.Objective / objectiveWaitDivisor,
		Waiting: waitingPerSlot * slots,
	}
}

// serviceSlots returns the slots of a backend server without an object of its
// own: those that its service declares, but no more than the server reports. If
// the service declares none, the usable part of the reported slots is returned.
func serviceSlots(service waxwingseam.Service, self waxwingseam.Server) int {
	if service.Slots == 0 {
		return usableSlots(self.Slots)
	}
	if self.Slots == 0 {
		return service.Slots
	}
	return min(service.Slots, self.Slots)
}

// adopt derives the settings from the configuration in force and the reports of
// the backend server. It passes a changed number of slots to the admitter, and
// arms the records timer the first time.
func (r *receiver) adopt(c *waxwingseam.Context) {
	r.rootRefusals.adopt(c.Set)
	r.workload.predictor.Adopt(c.Set)
	before := r.settings.slots
	r.settings = newSettings(c.Set, c.Self)
	if r.settings.slots != before && r.settings.slots > 0 {
		r.admitter.Configure(r.settings.slots)
	}
	if !r.recordsTimerArmed {
		r.recordsTimerArmed = true
		r.armRecordsTimer(c)
	}
}

// backendChanged follows a change of the own backend server, which the supervisor has applied.
func (r *receiver) backendChanged(c *waxwingseam.Context) {
	if r.settings.service != c.Self.Service || r.settings.reportedSlots != c.Self.Slots {
		r.adopt(c)
	}
	r.forgetStatement(c)
	r.refuseWaiting(c)
}

// fire handles the receiver's timers.
func (r *receiver) fire(c *waxwingseam.Context, timer waxwingseam.TimerID) {
	switch timer.Purpose {
	case waxwingseam.PurposeBackendStarted:
		r.backendChanged(c)
	case TimerAdmission:
		r.admissionDue = time.Time{}
		r.apply(c, r.admitter.Expire(c))
	case TimerRecords:
		for _, id := range r.deduplicator.Expire(c) {
			c.Emit(waxwingseam.ForgetRun{ID: id})
		}
		r.armRecordsTimer(c)
	}
}

func (r *receiver) armRecordsTimer(c *waxwingseam.Context) {
	c.Emit(waxwingseam.ArmTimer{
		Timer: waxwingseam.TimerID{Purpose: TimerRecords},
		At:    c.Now.Add(recordExpiryInterval),
	})
}

// armAdmissionTimer arms the admission timer for the next expiry, unless the
// timer already fires by then.
func (r *receiver) armAdmissionTimer(c *waxwingseam.Context) {
	at, ok := r.admitter.NextExpiry()
	if !ok || (!r.admissionDue.IsZero() && !r.admissionDue.After(at)) {
		return
	}
	r.admissionDue = at
	c.Emit(waxwingseam.ArmTimer{
		Timer: waxwingseam.TimerID{Purpose: TimerAdmission},
		At:    at,
	})
}
