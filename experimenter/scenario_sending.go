package experimenter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// headroomDemand leaves room for the loss of one server of three.
	headroomDemand = 0.5
	// staleLoadAge is the age of the loads in answers with stale loads.
	staleLoadAge = 5 * time.Second
	// restartPeriod is the time between two restarts in fanOutCases.
	restartPeriod = 500 * time.Millisecond
)

// misleadingServerCases returns three cases with servers that mislead balancing. In
// the first, one server fails every run immediately; in the second, one reports that
// it is full; in the third, all report old loads.
func misleadingServerCases(d Deployment, triggerDuration time.Duration) []Case {
	deep := d.Tiers[len(d.Tiers)-1].Service
	failing := newConfig(d, len(d.Tiers), triggerDuration)
	failing.Faults = []Fault{
		{At: failing.TriggerStart, Do: func(w *World) { w.Service(deep)[0].SetFailing(true) }},
		{At: failing.TriggerEnd, Do: func(w *World) { w.Service(deep)[0].SetFailing(false) }},
	}
	full := newConfig(d, len(d.Tiers), triggerDuration)
	full.Distort = func(from *Node, result *waxwingseam.Result) {
		if from.Server.Service == deep && from == from.world.Service(deep)[0] {
			result.Load.Waiting = uint32(from.tier.Slots)
			result.Load.ServiceTime = time.Second
		}
	}
	stale := newConfig(d, len(d.Tiers), triggerDuration)
	stale.Distort = (&staleLoads{history: map[*Node][]timedLoad{}}).distort
	cases := []Case{
		{Name: "one deep server fails fast", Config: failing, Reduced: d},
		{Name: "one deep server says that it is full", Config: full, Reduced: d},
		{Name: "loads are 5 s old", Config: stale, Reduced: d},
	}
	for i := range cases {
		cases[i].Config.Demand.Base = headroomDemand
	}
	return cases
}

// staleLoads replaces the load in each answer by an earlier load of its node.
type staleLoads struct {
	history map[*Node][]timedLoad
}

type timedLoad struct {
	at   time.Duration
	load waxwingseam.Load
}

func (s *staleLoads) distort(from *Node, result *waxwingseam.Result) {
	now := from.world.Elapsed()
	s.history[from] = append(s.history[from], timedLoad{at: now, load: result.Load})
	history := s.history[from]
	for len(history) > 1 && history[1].at <= now-staleLoadAge {
		history = history[1:]
	}
	s.history[from] = history
	result.Load = history[0].load
}

// FanOut returns the plan of a request whose first service calls the last and
// the second in parallel, then the third; the second calls the last and the
// third.
func (d Deployment) FanOut() *Visit {
	visit := func(i int, stages ...[]*Visit) *Visit {
		return &Visit{Service: d.Tiers[i].Service, Work: d.Tiers[i].Work, Stages: stages}
	}
	last := len(d.Tiers) - 1
	return visit(0,
		[]*Visit{visit(last), visit(1, []*Visit{visit(last), visit(2)})},
		[]*Visit{visit(2)},
	)
}

// fanOutCases returns cases in which each root calls the small last service
// twice: during a surge, and while servers of all services restart in turn.
func fanOutCases(d Deployment, triggerDuration time.Duration) []Case {
	plan := d.FanOut()
	surge := newConfig(d, 1, triggerDuration)
	surge.Plan, surge.Capacity = plan, d.Capacity(plan)
	surge.Demand.Surge = 3
	restarts := surge
	restarts.Demand = Demand{Base: headroomDemand, Resends: aggressiveResends}
	for i, at := 0, restarts.TriggerStart; at < restarts.TriggerEnd; i, at = i+1, at+restartPeriod {
		restarts.Faults = append(restarts.Faults, Fault{At: at, Do: func(w *World) {
			w.nodes[i%len(w.nodes)].Restart()
		}})
	}
	return []Case{
		{Name: "fan-out, surge 3x", Config: surge, Reduced: d},
		{Name: "fan-out, servers restart", Config: restarts, Reduced: d},
	}
}

// leavePercent is the share of roots, in percent, whose caller leaves.
const leavePercent = 30

// leaveCases returns a surge in which callers leave while their roots are
// open. They leave before the surge as well, so that the remaining demand is
// then below the usual demand.
func leaveCases(d Deployment, triggerDuration time.Duration) []Case {
	config := newConfig(d, len(d.Tiers), triggerDuration)
	config.Demand.Surge = 3
	config.Demand.LeavePercent = leavePercent
	return []Case{{Name: "surge 3x, callers leave", Config: config, Reduced: d}}
}

// leaveCasesAtUsualDemand returns leaveCases with the usual demand from the callers
// that stay; the first windows of the surge serve requests sent before it.
func leaveCasesAtUsualDemand(d Deployment, triggerDuration time.Duration) []Case {
	cases := leaveCases(d, triggerDuration)
	for i := range cases {
		cases[i].Name = "surge 3x, others leave"
		cases[i].Config.Demand.Base = usualDemand * 100 / (100 - leavePercent)
	}
	return cases
}
