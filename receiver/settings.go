package receiver

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// settings is what the configuration in force says of the node's own backend
// server.
type settings struct {
	slots   int
	drained bool
	waits   map[waxwingseam.ClassName]waxwingseam.WaitLimit
}

func newSettings(s *waxwingseam.Set, self waxwingseam.Server) settings {
	out := settings{waits: make(map[waxwingseam.ClassName]waxwingseam.WaitLimit, len(s.RequestClasses))}
	if service, ok := s.Service(self.Service); ok {
		out.slots = service.Slots
	}
	if object, ok := s.BackendServer(self.Name); ok {
		out.drained = object.Drained
		if object.Slots > 0 && out.slots > 0 {
			out.slots = object.Slots
		}
	}
	for _, v := range s.RequestClasses {
		limit, _ := s.WaitLimit(v.WaitLimit)
		out.waits[v.Name] = limit
	}
	return out
}

// adopt puts the configuration in force.
func (r *receiver) adopt(c *waxwingseam.Context) {
	before := r.settings.slots
	r.settings = newSettings(c.Set, c.Self)
	if r.settings.slots != before && r.settings.slots > 0 {
		r.admitter.Configure(r.settings.slots)
	}
	if !r.watching {
		r.watching = true
		r.watch(c)
	}
}

// fire handles a timer of the receiver's own.
func (r *receiver) fire(c *waxwingseam.Context, timer waxwingseam.TimerID) {
	switch timer.Purpose {
	case TimerAdmission:
		r.armed = time.Time{}
		r.apply(c, r.admitter.Expire(c))
	case TimerRecords:
		for _, id := range r.deduplicator.Expire(c) {
			c.Emit(waxwingseam.ForgetRun{ID: id})
		}
		r.watch(c)
	}
}

func (r *receiver) watch(c *waxwingseam.Context) {
	c.Emit(waxwingseam.ArmTimer{
		Timer: waxwingseam.TimerID{Purpose: TimerRecords},
		At:    c.Now.Add(recordsPeriod),
	})
}

// arm sets the timer for the next wait that ends, unless one is due by then.
func (r *receiver) arm(c *waxwingseam.Context) {
	at, ok := r.admitter.NextExpiry()
	if !ok || (!r.armed.IsZero() && !r.armed.After(at)) {
		return
	}
	r.armed = at
	c.Emit(waxwingseam.ArmTimer{
		Timer: waxwingseam.TimerID{Purpose: TimerAdmission},
		At:    at,
	})
}
