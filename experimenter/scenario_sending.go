package experimenter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// sparedDemand leaves room for one server of three to be lost.
	sparedDemand = 0.5
	// reportAge is how old the loads are that a misleading server sends.
	reportAge = 5 * time.Second
	// restartPeriod is the time between two restarts while servers come and go.
	restartPeriod = 500 * time.Millisecond
)

// misleadCases are servers whose reports are no guide: one fails everything at
// once, one says that it is full, and all send loads that are old.
func misleadCases(d Deployment, on time.Duration) []Case {
	deep := d.Tiers[len(d.Tiers)-1].Service
	failing := newConfig(d, len(d.Tiers), on)
	failing.Faults = []Fault{
		{At: failing.TriggerStart, Do: func(w *World) { w.Service(deep)[0].SetFailing(true) }},
		{At: failing.TriggerEnd, Do: func(w *World) { w.Service(deep)[0].SetFailing(false) }},
	}
	ill := newConfig(d, len(d.Tiers), on)
	ill.Distort = func(from *Node, result *waxwingseam.Result) {
		if from.Server.Service == deep && from == from.world.Service(deep)[0] {
			result.Load.Waiting = uint32(from.tier.Slots)
			result.Load.ServiceTime = time.Second
		}
	}
	old := newConfig(d, len(d.Tiers), on)
	old.Distort = (&oldLoads{kept: map[*Node][]oldLoad{}}).distort
	cases := []Case{
		{Name: "one deep server fails fast", Config: failing, Reduced: d},
		{Name: "one deep server says that it is full", Config: ill, Reduced: d},
		{Name: "loads are 5 s old", Config: old, Reduced: d},
	}
	for i := range cases {
		cases[i].Config.Demand.Base = sparedDemand
	}
	return cases
}

// oldLoads sends each node's load as it was.
type oldLoads struct {
	kept map[*Node][]oldLoad
}

type oldLoad struct {
	at   time.Duration
	load waxwingseam.Load
}

func (o *oldLoads) distort(from *Node, result *waxwingseam.Result) {
	now := from.world.Elapsed()
	o.kept[from] = append(o.kept[from], oldLoad{at: now, load: result.Load})
	kept := o.kept[from]
	for len(kept) > 1 && kept[1].at <= now-reportAge {
		kept = kept[1:]
	}
	o.kept[from] = kept
	result.Load = kept[0].load
}

// FanOut returns the plan of a request whose first service calls all others: the
// smallest and the largest at once, each with calls of its own, then the rest.
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

// fanCases have a small service called twice by each root, in surges and while
// servers of all services restart.
func fanCases(d Deployment, on time.Duration) []Case {
	plan := d.FanOut()
	surge := newConfig(d, 1, on)
	surge.Plan, surge.Capacity = plan, d.Capacity(plan)
	surge.Demand.Surge = 3
	restarts := surge
	restarts.Demand = Demand{Base: sparedDemand, Resends: hardResends}
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

// leavePercent is the share of the callers that leave.
const leavePercent = 30

// leaveCases have callers that leave while their roots are under way. Where
// they leave all the time, those who stay ask before the surge for less than
// usual.
func leaveCases(d Deployment, on time.Duration) []Case {
	config := newConfig(d, len(d.Tiers), on)
	config.Demand.Surge = 3
	config.Demand.LeavePercent = leavePercent
	return []Case{{Name: "surge 3x, callers leave", Config: config, Reduced: d}}
}

// stayCases are leaveCases in which those who stay ask for the usual demand
// before the surge: its first windows serve what was sent before it.
func stayCases(d Deployment, on time.Duration) []Case {
	cases := leaveCases(d, on)
	for i := range cases {
		cases[i].Name = "surge 3x, others leave"
		cases[i].Config.Demand.Base = usualDemand * 100 / (100 - leavePercent)
	}
	return cases
}
