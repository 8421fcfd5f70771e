package experimenter

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/budgeter"
)

const (
	// refusalsStart and refusalsEnd bound the time in which the backend servers of the last
	// service refuse refusalsShare of all requests, whatever their load.
	refusalsStart = 12 * time.Second
	refusalsEnd   = 20 * time.Second
	refusalsShare = 0.55

	refusingService waxwingseam.ServiceName = "rosters"
)

// refusalsBudget is the retry budget of refusalsDay.
var refusalsBudget = waxwingseam.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 48, CountCalls: true}

// refusalsLayer returns the project's layer with a retry budget.
func refusalsLayer() Layer {
	return variantWith(variantConfig{
		name: "waxwingseam",
		gate: func() waxwingseam.RetryGate { return budgeter.New(budgeter.Config{Budget: refusalsBudget}) },
	})
}

// refusalsDay returns a time in which the backend servers of a service refuse a share of
// all requests whatever their load. A request makes one, four or eight calls to it, one
// after another.
func refusalsDay(seed uint64) Config {
	const callWork, ownWork = 10 * time.Millisecond, 10 * time.Millisecond
	kind := func(class waxwingseam.ClassName, share int) RequestKind {
		return RequestKind{
			Class: class, Importance: 5, Repeat: waxwingseam.RepeatNever, Share: share,
			Deadline: 3 * time.Second, MaxWait: 200 * time.Millisecond, Objective: time.Second,
		}
	}
	calls := func(n int) *Visit {
		v := &Visit{Service: "board", Work: ownWork}
		for range n {
			v.Stages = append(v.Stages, []*Visit{{Service: refusingService, Work: callWork}})
		}
		return v
	}
	d := Deployment{
		Name: "refusals",
		Tiers: []Tier{
			{"board", 10, 60, 600, ownWork},
			{refusingService, 5, 40, 400, callWork},
		},
		RequestKinds:  []RequestKind{kind("one", 20), kind("four", 40), kind("eight", 40)},
		Delay:         500 * time.Microsecond,
		ClientDelay:   time.Millisecond,
		MaxWaiting:    120,
		Redirects:     3,
		CallAllowance: 2,
	}
	plans := []*Visit{calls(1), calls(4), calls(8)}
	return Config{
		Deployment:   d,
		Plan:         plans[0],
		Plans:        plans,
		Capacity:     1000,
		Demand:       Demand{Base: 1},
		TriggerStart: refusalsStart,
		TriggerEnd:   refusalsEnd,
		Duration:     refusalsEnd + 3*time.Second,
		Seed:         seed,
		Layer:        refusalsLayer(),
		RefusedShare: func(service waxwingseam.ServiceName, at time.Duration) float64 {
			if service != refusingService || at < refusalsStart || at >= refusalsEnd {
				return 0
			}
			return refusalsShare
		},
	}
}

// TestRefusalsKeepTheRetryBudget guards against more repeated calls in any window than the
// budget allows, against roots of many calls that are sent although they have no chance,
// and against roots that are refused for longer than half a second after the refusals.
func TestRefusalsKeepTheRetryBudget(t *testing.T) {
	t.Parallel()
	config := refusalsDay(1)
	var world *World
	config.Faults = []Fault{{Do: func(w *World) { world = w }}}
	r := Run(config)
	var arrivals []Arrival
	for _, n := range world.Service(refusingService) {
		arrivals = append(arrivals, n.Arrivals()...)
	}
	slices.SortFunc(arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	first, requests, repeats, total := 0, 0, 0, 0
	for _, a := range arrivals {
		for a.At.Sub(arrivals[first].At) >= refusalsBudget.Window {
			if arrivals[first].Repeated {
				repeats--
			} else {
				requests--
			}
			first++
		}
		if !a.Repeated {
			requests++
			continue
		}
		repeats++
		total++
		bound := refusalsBudget.Ratio*float64(requests) + float64(refusalsBudget.Slack)
		qt.Assert(t, float64(repeats) <= bound, qt.IsTrue, qt.Commentf("%d repeats of %d requests", repeats, requests))
	}
	qt.Check(t, total > refusalsBudget.Slack, qt.IsTrue)
	qt.Check(t, r.Refusals[2] > r.Refusals[1], qt.IsTrue, qt.Commentf("%v", r.Refusals))
	qt.Check(t, r.Refusals[0], qt.Equals, 0)
	after := chainPhase{from: refusalsEnd + time.Second/2, to: refusalsEnd + 3*time.Second}
	for kind := range config.Deployment.RequestKinds {
		_, share := after.onTime(world, kind)
		qt.Check(t, share >= 0.99, qt.IsTrue, qt.Commentf("kind %d: %.3f", kind, share))
	}
}
