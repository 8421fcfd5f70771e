package experimenter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// slotWindow is the time over which idle slots are compared with refused requests.
const slotWindow = 100 * time.Millisecond

// SlotTime is what became of the slot time of a service during the trigger, by the kind
// of the requests that it was spent on, in the order of Deployment.RequestKinds.
type SlotTime struct {
	Service waxwingseam.ServiceName
	// Usable is the slot time of all its servers, without those that were failing or
	// leaving.
	Usable time.Duration
	// InTime is the slot time spent on roots that ended within their objective, or
	// within their deadline if they have none; Late that on other roots that were
	// served, and Lost that on roots that were not.
	InTime []time.Duration
	Late   []time.Duration
	Lost   []time.Duration
	// Idle is the slot time that stood idle while roots that need the service were
	// refused, up to what these would have used in the same window. A service that is
	// not the scarce one has such time whenever another one is short.
	Idle []time.Duration
}

// fate is what became of a root.
type fate int

const (
	lost fate = iota
	late
	inTime
)

// slotUse is the use of a service's slots in one window.
type slotUse struct {
	usable time.Duration
	held   time.Duration
}

// slotTally collects the slot time of all services during the trigger.
type slotTally struct {
	// windows holds the windows of each service.
	windows map[waxwingseam.ServiceName][]slotUse
	// refused counts the requests of each kind refused in each window.
	refused [][]int
}

// startSlotTally records the usable slots at the start of each window of the trigger.
func (w *World) startSlotTally() {
	t := &w.tally.slots
	t.windows = map[waxwingseam.ServiceName][]slotUse{}
	for at := w.config.TriggerStart; at < w.config.TriggerEnd; at += slotWindow {
		t.refused = append(t.refused, make([]int, len(w.config.Deployment.RequestKinds)))
		length := min(slotWindow, w.config.TriggerEnd-at)
		w.scheduler.after(at, func() {
			supply := w.tally.supplyOf(w)
			for _, v := range w.config.Deployment.Tiers {
				supply.add(w, v, length)
				use := slotUse{}
				for _, n := range w.Service(v.Service) {
					use.usable += time.Duration(n.backend.usableSlots()) * length
				}
				t.windows[v.Service] = append(t.windows[v.Service], use)
			}
		})
	}
}

// usableSlots returns the slots in which new runs could start.
func (b *backend) usableSlots() int {
	if b.failing || b.statement.Leaving || b.statement.Limited {
		return b.heldSlots
	}
	return b.slots
}

// countSlotTime counts the time for which a run has held its slot.
func (b *backend) countSlotTime(j *job) {
	w := b.node.world
	from := max(j.begun.Sub(w.startTime), w.config.TriggerStart)
	until := min(w.Elapsed(), w.config.TriggerEnd)
	if j.begun.IsZero() || from >= until {
		return
	}
	service := b.node.Server.Service
	if j.call.root.slotTime == nil {
		j.call.root.slotTime = map[waxwingseam.ServiceName]time.Duration{}
	}
	j.call.root.slotTime[service] += until - from
	windows := w.tally.slots.windows[service]
	for from < until {
		i := int((from - w.config.TriggerStart) / slotWindow)
		end := min(w.config.TriggerStart+time.Duration(i+1)*slotWindow, until)
		windows[i].held += end - from
		from = end
	}
}

// countRefusal counts a refused request, once in each window.
func (t *slotTally) countRefusal(w *World, q *request) {
	elapsed := w.Elapsed()
	if elapsed < w.config.TriggerStart || elapsed >= w.config.TriggerEnd {
		return
	}
	i := int((elapsed - w.config.TriggerStart) / slotWindow)
	if q.refusedWindow != i+1 {
		q.refusedWindow = i + 1
		t.refused[i][q.kind]++
	}
}

// report returns the slot time of each service.
func (t *slotTally) report(w *World, roots []*root) []SlotTime {
	d := w.config.Deployment
	for _, n := range w.nodes {
		for _, j := range n.backend.jobs {
			n.backend.countSlotTime(j)
		}
	}
	needs := w.config.needs()
	out := make([]SlotTime, 0, len(d.Tiers))
	for _, v := range d.Tiers {
		kinds := len(d.RequestKinds)
		s := SlotTime{
			Service: v.Service,
			InTime:  make([]time.Duration, kinds),
			Late:    make([]time.Duration, kinds),
			Lost:    make([]time.Duration, kinds),
			Idle:    make([]time.Duration, kinds),
		}
		byFate := [][]time.Duration{lost: s.Lost, late: s.Late, inTime: s.InTime}
		for _, r := range roots {
			byFate[r.fate][r.request.kind] += r.slotTime[v.Service]
		}
		for i, use := range t.windows[v.Service] {
			s.Usable += use.usable
			s.addIdle(use.usable-use.held, t.refused[i], needs)
		}
		out = append(out, s)
	}
	return out
}

// addIdle adds the idle slot time of a window that its refused requests could have used,
// divided in proportion to their needs.
func (s *SlotTime) addIdle(idle time.Duration, refused []int, needs []map[waxwingseam.ServiceName]time.Duration) {
	var total time.Duration
	for i, n := range refused {
		total += time.Duration(n) * needs[i][s.Service]
	}
	if idle <= 0 || total == 0 {
		return
	}
	share := min(float64(idle)/float64(total), 1)
	for i, n := range refused {
		s.Idle[i] += time.Duration(share * float64(n) * float64(needs[i][s.Service]))
	}
}

// needs returns how long a root of each kind occupies slots of each service.
func (c *Config) needs() []map[waxwingseam.ServiceName]time.Duration {
	out := make([]map[waxwingseam.ServiceName]time.Duration, 0, len(c.Deployment.RequestKinds))
	for i := range c.Deployment.RequestKinds {
		holdTimes := map[waxwingseam.ServiceName]time.Duration{}
		c.Deployment.addHoldTimes(c.plan(i), holdTimes)
		out = append(out, holdTimes)
	}
	return out
}
