package experimenter

import (
	"math"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// boundStep is the time within which the bound weighs demand against capacity.
const boundStep = time.Second

// resource is what runs and calls of one service use up.
type resource struct {
	service waxwingseam.ServiceName
	kind    resourceKind
}

type resourceKind int

const (
	// slotTime is the time for which slots are held, workTime the own work of runs at
	// normal speed, and processorTime the arrivals that a node's processor can take.
	slotTime resourceKind = iota
	workTime
	processorTime
)

// supply is what the servers offer in one step, in seconds of each resource.
type supply struct {
	resources map[resource]float64
	// speeds holds the speed of the fastest server of each service, and refused the
	// share of calls that its servers refuse whatever their load.
	speeds  map[waxwingseam.ServiceName]float64
	refused map[waxwingseam.ServiceName]float64
	// windows counts the slot windows that the supply covers.
	windows int
}

// supplyOf returns the supply of the current step, and counts a further window of it.
func (t *tally) supplyOf(w *World) *supply {
	step := int((w.Elapsed() - w.config.TriggerStart) / boundStep)
	if step == len(t.supplies) {
		t.supplies = append(t.supplies, newSupply())
	}
	t.supplies[step].windows++
	return t.supplies[step]
}

func newSupply() *supply {
	return &supply{
		resources: map[resource]float64{},
		speeds:    map[waxwingseam.ServiceName]float64{},
		refused:   map[waxwingseam.ServiceName]float64{},
	}
}

// add adds what the servers of a tier offer for a time.
func (s *supply) add(w *World, t Tier, length time.Duration) {
	seconds := length.Seconds()
	for _, n := range w.Service(t.Service) {
		b := n.backend
		slots := b.offeredSlots()
		s.resources[resource{t.Service, slotTime}] += slots * seconds
		s.resources[resource{t.Service, workTime}] += min(slots, float64(b.parallel)) * b.speed * seconds
		if slots > 0 {
			s.speeds[t.Service] = max(s.speeds[t.Service], b.speed)
		}
		if w.config.ArrivalCost == nil {
			continue
		}
		if cost := w.config.ArrivalCost(n); cost > 0 {
			s.resources[resource{t.Service, processorTime}] += seconds / cost.Seconds()
		} else {
			s.resources[resource{t.Service, processorTime}] = math.Inf(1)
		}
	}
	if w.config.RefusedShare != nil {
		s.refused[t.Service] += w.config.RefusedShare(t.Service, w.Elapsed())
	}
}

// offeredSlots returns the slots that new runs can use; a rate limit counts as the slots
// that as many calls of the service's usual work hold.
func (b *backend) offeredSlots() float64 {
	if b.failing || b.statement.Leaving {
		return 0
	}
	slots := float64(b.slots)
	if b.statement.Limited {
		slots = min(slots, b.statement.Rate*b.node.tier.Work.Seconds()/b.speed)
	}
	return slots
}

// offer is the demand of one kind of request in one step.
type offer struct {
	importance waxwingseam.Importance
	// demand is the number of requests, chance the share of them that can be served
	// in spite of refusals whatever the load.
	demand float64
	chance float64
	// needs is what one request uses up.
	needs map[resource]float64
}

// bestServed returns how many requests of each kind a supply can serve: the most important
// first, and of equally important ones an equal share of their demand, except that
// those who cannot use more leave it to the others.
func bestServed(offers []offer, supply map[resource]float64) []float64 {
	out := make([]float64, len(offers))
	remaining := map[resource]float64{}
	for r, v := range supply {
		remaining[r] = v
	}
	levels := make([]waxwingseam.Importance, 0, len(offers))
	for _, o := range offers {
		levels = append(levels, o.importance)
	}
	slices.Sort(levels)
	for _, level := range slices.Backward(slices.Compact(levels)) {
		fill(offers, level, remaining, out)
	}
	return out
}

// fill raises the served share of all offers of one importance until each is served
// or needs a resource that is used up.
func fill(offers []offer, level waxwingseam.Importance, remaining map[resource]float64, out []float64) {
	var open []int
	for i, o := range offers {
		if o.importance == level && o.demand > 0 && !exhausted(o.needs, remaining) {
			open = append(open, i)
		}
	}
	share := 0.0
	for len(open) > 0 {
		step := largestStep(offers, open, share, remaining)
		share += step
		for _, i := range open {
			out[i] = share * offers[i].demand
			for r, v := range offers[i].needs {
				remaining[r] -= step * offers[i].demand * v
			}
		}
		before := len(open)
		open = slices.DeleteFunc(open, func(i int) bool {
			return share >= offers[i].chance-tiny || exhausted(offers[i].needs, remaining)
		})
		if len(open) == before {
			return
		}
	}
}

// largestStep returns by how much the served share of all open offers can rise.
func largestStep(offers []offer, open []int, share float64, remaining map[resource]float64) float64 {
	use := map[resource]float64{}
	step := math.Inf(1)
	for _, i := range open {
		step = min(step, offers[i].chance-share)
		for r, v := range offers[i].needs {
			use[r] += v * offers[i].demand
		}
	}
	for r, v := range use {
		if v > 0 {
			step = min(step, remaining[r]/v)
		}
	}
	return max(step, 0)
}

// tiny is a difference that counts as none.
const tiny = 1e-9

// exhausted reports whether a resource that is needed is used up.
func exhausted(needs, remaining map[resource]float64) bool {
	for r, v := range needs {
		if v > 0 && remaining[r] <= tiny {
			return true
		}
	}
	return false
}

// chance returns the largest share of roots with a number of calls to a service that can
// get them all answered if its servers refuse a share of all calls. It is bounded by the
// retries of a root, and by the retry budget, as if all repeats went to roots that end
// well and all others ended with their first call.
func chance(calls int, refused float64) float64 {
	if calls == 0 || refused <= 0 {
		return 1
	}
	accepted := 1 - refused
	withRetries, term := 0.0, math.Pow(accepted, float64(calls))
	for i := range retriesPerRoot + 1 {
		withRetries += term
		term *= refused * float64(calls+i) / float64(i+1)
	}
	perCall := accepted * (1 + retryBudgetPercent/100.0)
	if perCall >= 1 {
		return withRetries
	}
	withBudget := perCall / (float64(calls)*(1-perCall) + perCall)
	return min(withRetries, withBudget)
}

// offer returns the demand for a kind of request with what a request needs at the speeds
// and refusals of a step.
func (c *Config) offer(kind int, demand float64, s *supply) offer {
	o := offer{
		importance: c.Deployment.RequestKinds[kind].Importance,
		demand:     demand,
		needs:      map[resource]float64{},
	}
	d, plan := c.Deployment, c.plan(kind)
	holdTimes := map[waxwingseam.ServiceName]time.Duration{}
	d.addHoldTimes(atSpeeds(plan, s.speeds), holdTimes)
	answered := 1.0
	for _, t := range d.Tiers {
		calls := callsTo(plan, t.Service)
		if calls == 0 {
			continue
		}
		o.needs[resource{t.Service, slotTime}] = holdTimes[t.Service].Seconds()
		o.needs[resource{t.Service, workTime}] = workAt(plan, t.Service).Seconds()
		if c.ArrivalCost != nil {
			o.needs[resource{t.Service, processorTime}] = float64(calls)
		}
		answered *= chance(calls, s.refused[t.Service]/float64(s.windows))
	}
	o.chance = 1 - math.Pow(1-answered, float64(1+c.Demand.Resends))
	return o
}

// atSpeeds returns a copy of a plan with the work times at the speeds of the services.
func atSpeeds(v *Visit, speeds map[waxwingseam.ServiceName]float64) *Visit {
	out := &Visit{Service: v.Service, Work: v.Work}
	if speed := speeds[v.Service]; speed > 0 {
		out.Work = time.Duration(float64(v.Work) / speed)
	}
	for _, stage := range v.Stages {
		below := make([]*Visit, 0, len(stage))
		for _, child := range stage {
			below = append(below, atSpeeds(child, speeds))
		}
		out.Stages = append(out.Stages, below)
	}
	return out
}

// callsTo returns the number of calls that a plan makes to a service.
func callsTo(v *Visit, service waxwingseam.ServiceName) int {
	n := 0
	if v.Service == service {
		n = 1
	}
	for _, stage := range v.Stages {
		for _, child := range stage {
			n += callsTo(child, service)
		}
	}
	return n
}

// boundByKind returns the rates at which requests of each kind could have been served
// during the trigger, per second.
func (t *tally) boundByKind(w *World) []float64 {
	c := &w.config
	kinds := len(c.Deployment.RequestKinds)
	demand := make([][]float64, len(t.supplies))
	for i := range demand {
		demand[i] = make([]float64, kinds)
	}
	for _, q := range t.requests {
		at := q.issued.Sub(w.startTime)
		if at < c.TriggerStart || at >= c.TriggerEnd || q.callerLeft && !q.served {
			continue
		}
		demand[(at-c.TriggerStart)/boundStep][q.kind]++
	}
	out := make([]float64, kinds)
	for i, s := range t.supplies {
		offers := make([]offer, 0, kinds)
		for kind := range kinds {
			offers = append(offers, c.offer(kind, demand[i][kind], s))
		}
		for kind, v := range bestServed(offers, s.resources) {
			out[kind] += v / (c.TriggerEnd - c.TriggerStart).Seconds()
		}
	}
	return out
}
