package experimenter

import (
	"fmt"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	leavingBase  = 0.7
	leavingSurge = 1.7
	// downTime is how long a crashed server of leavingServers is down.
	downTime = 4 * time.Second
)

// feeSpeeds holds the speeds of the servers of the service fees, in order.
type feeSpeeds []float64

// phase is a part of a run in which the demand and the servers stay the same.
type phase struct {
	name     string
	from, to time.Duration
	// away are the indices of the servers of fees that have left or are down.
	away []int
}

// feeCalls returns a deployment whose scarcest service is fees, and the plans of its
// kinds of requests. A status calls fees eight times through two other services, a
// registration, which is more important, four times. An upload does not call it, and a
// lookup is answered by fees itself.
func feeCalls(servers int) (Deployment, []*Visit) {
	const (
		deskWork     = 160 * time.Millisecond
		registerWork = 210 * time.Millisecond
		uploadWork   = 400 * time.Millisecond
		lookupWork   = 130 * time.Millisecond
		indexWork    = 15 * time.Millisecond
		feeWork      = 40 * time.Millisecond
	)
	d := Deployment{
		Name: "fee-calls",
		Tiers: []Tier{
			{"desk", 3, 75, 550, deskWork},
			{"ledger", 3, 75, 550, registerWork},
			{"images", 4, 56, 436, uploadWork},
			{"fees", servers, 18, 208, feeWork},
		},
		RequestKinds: []RequestKind{
			{Class: "status", Importance: 5, Repeat: waxwingseam.RepeatIdempotent, Share: 48, Deadline: 5 * time.Second, MaxWait: 375 * time.Millisecond, Objective: 1500 * time.Millisecond},
			{Class: "register", Importance: 8, Repeat: waxwingseam.RepeatNever, Share: 18, Deadline: 5 * time.Second, MaxWait: 375 * time.Millisecond, Objective: 1500 * time.Millisecond},
			{Class: "upload", Importance: 5, Repeat: waxwingseam.RepeatIdempotent, Share: 24, Deadline: 5 * time.Second, MaxWait: 300 * time.Millisecond, Objective: 1200 * time.Millisecond},
			{Class: "lookup", Importance: 5, Repeat: waxwingseam.RepeatNever, Share: 10, Deadline: 1500 * time.Millisecond, MaxWait: 100 * time.Millisecond, Objective: 400 * time.Millisecond},
		},
		Delay:       500 * time.Microsecond,
		ClientDelay: 8 * time.Millisecond,
		MaxWaiting:  700,
		Redirects:   3,
	}
	fee := &Visit{Service: "fees", Work: feeWork}
	index := &Visit{Service: "images", Work: indexWork, Stages: [][]*Visit{{fee}, {fee}, {fee}, {fee}}}
	entry := &Visit{Service: "ledger", Work: indexWork, Stages: [][]*Visit{{index}}}
	return d, []*Visit{
		{Service: "desk", Work: deskWork, Stages: [][]*Visit{{entry, entry}}},
		{Service: "ledger", Work: registerWork, Stages: [][]*Visit{{index}}},
		{Service: "images", Work: uploadWork},
		{Service: "fees", Work: lookupWork},
	}
}

// capacity returns the work that the servers can do at once, without those that are
// away.
func (f feeSpeeds) capacity(slots int, away []int) float64 {
	sum := 0.0
	for i, speed := range f {
		if !slices.Contains(away, i) {
			sum += float64(slots) * speed
		}
	}
	return sum
}

// feeServer returns the name of a server of fees.
func feeServer(i int) waxwingseam.ServerName {
	return waxwingseam.ServerName(fmt.Sprintf("fees-%d", i+1))
}

// leavingServers returns a surge in which a server of fees leaves for good and the next
// one later crashes and comes back, and the phases of the run.
func leavingServers(speeds feeSpeeds, leaving int) (Config, []phase) {
	d, plans := feeCalls(len(speeds))
	crashing := (leaving + 1) % len(speeds)
	var phases []phase
	end := time.Duration(0)
	add := func(name string, duration time.Duration, away ...int) {
		phases = append(phases, phase{name, end, end + duration, away})
		end += duration
	}
	add("usual demand", quietTime)
	add("surge", 4*time.Second)
	add("surge, one has left", 6*time.Second, leaving)
	add("surge, another is down", downTime, leaving, crashing)
	add("surge, it is back", 6*time.Second, leaving)
	add("usual demand, one has left", 6*time.Second, leaving)

	var work time.Duration
	total := 0
	for i, k := range d.RequestKinds {
		work += time.Duration(k.Share) * workAt(plans[i], "fees")
		total += k.Share
	}
	fees := d.Tiers[len(d.Tiers)-1]
	return Config{
		Deployment:   d,
		Plan:         plans[0],
		Plans:        plans,
		Capacity:     speeds.capacity(fees.Slots, nil) * float64(total) / work.Seconds(),
		Demand:       Demand{Base: leavingBase, Surge: leavingSurge, Resends: 1},
		TriggerStart: phases[1].from,
		TriggerEnd:   phases[len(phases)-1].from,
		Duration:     end,
		Seed:         1,
		Faults: []Fault{
			{At: phases[2].from, Do: func(w *World) { w.byName[feeServer(leaving)].Leave() }},
			{At: phases[3].from, Do: func(w *World) { w.byName[feeServer(crashing)].Crash(downTime) }},
		},
		Prepare: func(n *Node) {
			for i, speed := range speeds {
				if n.Server.Name == feeServer(i) {
					n.SetSpeed(speed)
				}
			}
		},
	}, phases
}
