package budgeter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/budgeter"
)

var start = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

// arrival is a call that a gate admitted.
type arrival struct {
	at       time.Time
	repeated bool
	root     bool
}

// TestBudgetHoldsInEveryWindow lets several gates of one service admit roots,
// calls of runs and repeated ones at random, in calm and trouble by turns. In
// any window of the service, repeated calls stay within the slack and the ratio
// of the roots in that window and the one before.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	budget := waxwingseam.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 48}
	for seed := range uint64(10) {
		for _, nodes := range []int{1, 3, 20} {
			random := rand.New(rand.NewPCG(seed, uint64(nodes)))
			admitted := play(budget, nodes, random)
			from, oldest, repeats, roots := 0, 0, 0, 0
			seen := 0
			for _, last := range admitted {
				if last.root {
					roots++
				}
				if last.repeated {
					repeats++
					seen++
				}
				for ; last.at.Sub(admitted[from].at) >= budget.Window; from++ {
					if admitted[from].repeated {
						repeats--
					}
				}
				for ; last.at.Sub(admitted[oldest].at) >= 2*budget.Window; oldest++ {
					if admitted[oldest].root {
						roots--
					}
				}
				bound := float64(budget.Slack) + budget.Ratio*float64(roots)
				qt.Assert(t, float64(repeats) <= bound, qt.IsTrue, qt.Commentf("seed %d, %d nodes: %d repeated calls, bound %.1f", seed, nodes, repeats, bound))
			}
			qt.Assert(t, seen >= budget.Slack/2, qt.IsTrue, qt.Commentf("%d nodes: %d repeated calls", nodes, seen))
		}
	}
}

// play returns what the gates of a service admit over 50 s.
func play(budget waxwingseam.RetryBudget, nodes int, random *rand.Rand) []arrival {
	servers := make([]waxwingseam.Server, nodes)
	for i := range servers {
		servers[i] = waxwingseam.Server{Name: waxwingseam.ServerName(fmt.Sprintf("fees-%d", i)), Service: "fees"}
	}
	gates := make([]waxwingseam.RetryGate, nodes)
	contexts := make([]*waxwingseam.Context, nodes)
	for i := range gates {
		gates[i] = budgeter.New(budgeter.Config{Budget: budget})
		gates[i].UpdateServers(servers, nil)
		contexts[i] = waxwingseam.NewContext(servers[i])
	}
	var admitted []arrival
	for now := start; now.Sub(start) < 50*time.Second; {
		now = now.Add(time.Duration(random.Int64N(int64(10 * time.Millisecond))))
		i := random.IntN(nodes)
		contexts[i].Begin(waxwingseam.Stamp{Now: now})
		trouble := int(now.Sub(start).Seconds())/7%2 == 1
		call := waxwingseam.Call{Repeated: trouble && random.IntN(2) == 0, Depth: uint8(random.IntN(2))}
		if gates[i].Admit(contexts[i], call) {
			admitted = append(admitted, arrival{now, call.Repeated, !call.Repeated && call.Depth == 0})
		}
	}
	return admitted
}

// TestAdmit checks the share of one of two servers, and that a server that is
// gone leaves its share to the others.
func TestAdmit(t *testing.T) {
	gate := budgeter.New(budgeter.Config{Budget: waxwingseam.RetryBudget{Window: time.Second, Ratio: 0.5, Slack: 8}})
	c := waxwingseam.NewContext(waxwingseam.Server{Name: "a", Service: "fees"})
	c.Begin(waxwingseam.Stamp{Now: start})
	gate.UpdateServers([]waxwingseam.Server{{Name: "a", Service: "fees"}, {Name: "b", Service: "fees"}, {Name: "c", Service: "desk"}}, nil)
	admitted := func() int {
		n := 0
		for gate.Admit(c, waxwingseam.Call{Repeated: true}) {
			n++
		}
		return n
	}
	qt.Assert(t, admitted(), qt.Equals, 3)
	gate.UpdateServers(nil, []waxwingseam.ServerName{"b"})
	qt.Assert(t, admitted(), qt.Equals, 3)
	for range 8 {
		gate.Admit(c, waxwingseam.Call{})
		gate.Admit(c, waxwingseam.Call{Depth: 1})
	}
	qt.Assert(t, admitted(), qt.Equals, 3)
	c.Begin(waxwingseam.Stamp{Now: start.Add(2 * time.Second)})
	qt.Assert(t, admitted(), qt.Equals, 6)
}

// ExampleNew shows a gate without a budget.
func ExampleNew() {
	gate := budgeter.New(budgeter.Config{})
	fmt.Println(gate.Admit(waxwingseam.NewContext(waxwingseam.Server{}), waxwingseam.Call{Repeated: true}))
	// Output: true
}
