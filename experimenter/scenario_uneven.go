package experimenter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	unevenSlots = 8
	unevenShort = 20 * time.Millisecond
	unevenLong  = 100 * time.Millisecond
	// unevenLongShare is the share of long requests, in percent.
	unevenLongShare                         = 20
	unevenService   waxwingseam.ServiceName = "bench"
)

// unevenDeployment returns a deployment of one service whose nodes are also the first
// nodes of its roots.
func unevenDeployment(servers int) (Deployment, []*Visit) {
	d := Deployment{
		Name:  "uneven",
		Tiers: []Tier{{unevenService, servers, unevenSlots, 20 * unevenSlots, unevenShort}},
		RequestKinds: []RequestKind{
			{Class: "look-up", Importance: 5, Repeat: waxwingseam.RepeatNever, Share: 100 - unevenLongShare, Deadline: 2 * time.Second, MaxWait: 100 * time.Millisecond, Objective: 200 * time.Millisecond},
			{Class: "report", Importance: 5, Repeat: waxwingseam.RepeatNever, Share: unevenLongShare, Deadline: 4 * time.Second, MaxWait: 250 * time.Millisecond, Objective: time.Second},
		},
		Delay:       500 * time.Microsecond,
		ClientDelay: time.Millisecond,
		MaxWaiting:  60,
		Redirects:   3,
	}
	return d, []*Visit{{Service: unevenService, Work: unevenShort}, {Service: unevenService, Work: unevenLong}}
}

// UnevenConfig returns a run with uneven servers and requests at a multiple of the
// capacity. The objectives leave no room for the longest requests at the slowest servers.
func UnevenConfig(servers int, u Uneven, demand float64, seed uint64) Config {
	d, plans := unevenDeployment(servers)
	meanWork := (float64(unevenShort)*(100-unevenLongShare) + float64(unevenLong)*unevenLongShare) / 100
	length := 10 * time.Second
	if servers > 20 {
		length = 4 * time.Second
	}
	return Config{
		Deployment:   d,
		Plan:         plans[0],
		Plans:        plans,
		Capacity:     float64(servers*unevenSlots) * u.MeanSpeed() / (meanWork * u.MeanCost() / float64(time.Second)),
		Demand:       Demand{Base: demand},
		TriggerStart: quietTime,
		TriggerEnd:   length,
		Duration:     length,
		Seed:         seed,
		Uneven:       &u,
	}
}

// UnevenServers returns servers that differ in speed by a factor of three, slow down for
// fractions of a second, and serve a few requests of seven times the usual cost.
func UnevenServers() Uneven {
	return Uneven{
		Slowest: 0.55, Fastest: 1.6,
		SlowShare: 0.15, SlowFactor: 2.5, SlowTime: 400 * time.Millisecond,
		TailShare: 0.03, TailFactor: 7,
		Swing: 0.5, SwingPeriod: 4 * time.Second,
		StatesPace: true,
	}
}

// EvenServers returns servers and requests that are all alike.
func EvenServers() Uneven {
	return Uneven{Slowest: 1, Fastest: 1, StatesPace: true}
}
