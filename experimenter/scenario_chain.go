package experimenter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// The times of the phases of a chainDay.
const (
	chainBurst       = 3 * time.Second
	chainRefusals    = 8 * time.Second
	chainBurstEnd    = 12 * time.Second
	chainRefusalsEnd = 14 * time.Second
	chainLeave       = 17 * time.Second
	chainEnd         = 22 * time.Second
)

const (
	chainBase        = 0.75
	chainBurstFactor = 1.7
	chainRefused     = 0.55
	// chainProcessor is the rate of arrivals that a node of the last service can
	// process, as a multiple of the calls that its slots can.
	chainProcessor = 0.8
)

// chainLast is the last service of the chain.
const chainLast waxwingseam.ServiceName = "rosters"

// deepChain returns a deployment of a chain of four services, the last of which is
// small, and the plans of its kinds of requests. A browse makes five calls in sequence
// at the last service, three hops below. A confirm makes ten, in two sequences. An
// upload needs nothing of it, and a sync goes there itself.
func deepChain() (Deployment, []*Visit) {
	const viewWork, innerWork = 45 * time.Millisecond, 15 * time.Millisecond
	d := Deployment{
		Name: "deep-chain",
		Tiers: []Tier{
			{"board", 8, 73, 590, innerWork},
			{"placements", 6, 106, 736, innerWork},
			{"paperwork", 8, 78, 590, innerWork},
			{chainLast, 5, 35, 260, viewWork},
		},
		RequestKinds: []RequestKind{
			{Class: "confirm", Importance: 8, Repeat: waxwingseam.RepeatNever, Share: 20, Deadline: 6 * time.Second, MaxWait: 500 * time.Millisecond, Objective: 2 * time.Second},
			{Class: "browse", Importance: 5, Repeat: waxwingseam.RepeatIdempotent, Share: 52, Deadline: 6 * time.Second, MaxWait: 500 * time.Millisecond, Objective: 2 * time.Second},
			{Class: "upload", Importance: 5, Repeat: waxwingseam.RepeatIdempotent, Share: 20, Deadline: 5 * time.Second, MaxWait: 300 * time.Millisecond, Objective: 1200 * time.Millisecond},
			{Class: "sync", Importance: 5, Repeat: waxwingseam.RepeatNever, Share: 7, Deadline: 1500 * time.Millisecond, MaxWait: 100 * time.Millisecond, Objective: 400 * time.Millisecond},
		},
		Delay:       500 * time.Microsecond,
		ClientDelay: time.Millisecond,
		MaxWaiting:  120,
		Redirects:   3,
	}
	fetch := &Visit{Service: "paperwork", Work: innerWork}
	for range 5 {
		fetch.Stages = append(fetch.Stages, []*Visit{{Service: chainLast, Work: viewWork}})
	}
	lookup := &Visit{Service: "placements", Work: innerWork, Stages: [][]*Visit{{fetch}}}
	return d, []*Visit{
		{Service: "placements", Work: 240 * time.Millisecond, Stages: [][]*Visit{{fetch, fetch}}},
		{Service: "board", Work: 180 * time.Millisecond, Stages: [][]*Visit{{lookup}}},
		{Service: "paperwork", Work: 450 * time.Millisecond},
		{Service: chainLast, Work: 150 * time.Millisecond},
	}
}

// chainDay returns a day of the deep chain: a burst, in which the last service is
// short of slots and of processor time; a time in which its backend servers refuse a
// part of their calls whatever their load, which outlasts the burst; then one of its
// servers leaves. Callers send to any node, and a failed request once more.
func chainDay() Config {
	d, plans := deepChain()
	config := newConfig(d, 1, chainBurstEnd-chainBurst)
	config.Plan, config.Plans = plans[0], plans
	config.Capacity = slotCapacity(d, plans, chainLast)
	config.Demand = Demand{Base: chainBase, Surge: chainBase * chainBurstFactor, Resends: 1, AnyNode: true}
	config.TriggerStart, config.TriggerEnd, config.Duration = chainBurst, chainBurstEnd, chainEnd

	var world *World
	config.Faults = []Fault{
		{At: 0, Do: func(w *World) { world = w }},
		{At: chainLeave, Do: func(w *World) {
			w.Service(chainLast)[0].SetStatement(waxwingseam.Statement{Leaving: true})
		}},
	}
	config.Distort = func(from *Node, r *waxwingseam.Result) {
		at := world.Elapsed()
		if from.Server.Service != chainLast || at < chainRefusals || at >= chainRefusalsEnd || !r.Completed() {
			return
		}
		if world.Random().Float64() < chainRefused {
			*r = waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonServerRefused, Reached: true, Load: r.Load}
		}
	}
	cost := chainArrivalCost(d)
	config.ArrivalCost = func(n *Node) time.Duration {
		if n.Server.Service != chainLast {
			return 0
		}
		return cost
	}
	return config
}

// chainArrivalCost returns the processor time that a node of the last service takes for
// an arriving attempt.
func chainArrivalCost(d Deployment) time.Duration {
	last := d.Tiers[len(d.Tiers)-1]
	return time.Duration(float64(last.Work) / float64(last.Slots) / chainProcessor)
}
