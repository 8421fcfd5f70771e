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

// admittedCall is a call that a gate admitted.
type admittedCall struct {
	at       time.Time
	repeated bool
	root     bool
}

// TestServiceStaysWithinBudget lets several gates of one service admit roots,
// further calls and repeated calls at random, with alternating periods of
// success and failure. In every window, the repeated calls that all gates admit
// must stay within the slack plus the ratio of the roots in that window and the
// one before.
func TestServiceStaysWithinBudget(t *testing.T) {
	budget := waxwingseam.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 48}
	for seed := range uint64(10) {
		for _, nodes := range []int{1, 3, 20} {
			random := rand.New(rand.NewPCG(seed, uint64(nodes)))
			admitted := admitCalls(budget, nodes, random)
			from, oldest, repeats, roots := 0, 0, 0, 0
			totalRepeats := 0
			for _, last := range admitted {
				if last.root {
					roots++
				}
				if last.repeated {
					repeats++
					totalRepeats++
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
			qt.Assert(t, totalRepeats >= budget.Slack/2, qt.IsTrue, qt.Commentf("%d nodes: %d repeated calls", nodes, totalRepeats))
		}
	}
}

// admitCalls returns the calls that the gates of a service admit over 50 s.
func admitCalls(budget waxwingseam.RetryBudget, nodes int, random *rand.Rand) []admittedCall {
	servers := make([]waxwingseam.Server, nodes)
	for i := range servers {
		servers[i] = waxwingseam.Server{Name: waxwingseam.ServerName(fmt.Sprintf("fees-%d", i)), Service: "fees"}
	}
	gates := make([]waxwingseam.RetryGate, nodes)
	contexts := make([]*waxwingseam.Context, nodes)
	for i := range gates {
		gates[i] = budgeter.New(budgeter.Config{Budget: budget})
		contexts[i] = waxwingseam.NewContext(servers[i])
		gates[i].UpdateServers(contexts[i], servers, nil)
	}
	var admitted []admittedCall
	for now := start; now.Sub(start) < 50*time.Second; {
		now = now.Add(time.Duration(random.Int64N(int64(10 * time.Millisecond))))
		i := random.IntN(nodes)
		contexts[i].Begin(waxwingseam.Stamp{Now: now})
		failing := int(now.Sub(start).Seconds())/7%2 == 1
		call := waxwingseam.Call{Repeated: failing && random.IntN(2) == 0, Depth: uint8(random.IntN(2))}
		if gates[i].Admit(contexts[i], call) {
			admitted = append(admitted, admittedCall{now, call.Repeated, !call.Repeated && call.Depth == 0})
		}
	}
	return admitted
}

// TestAdmitSharesBudgetOfService guards against a node that admits more than its
// share of the budget, gets the share of a removed server within the window, or not
// after it, counts calls of depth 1 as roots, or keeps counts after the window.
func TestAdmitSharesBudgetOfService(t *testing.T) {
	gate := budgeter.New(budgeter.Config{Budget: waxwingseam.RetryBudget{Window: time.Second, Ratio: 0.5, Slack: 8}})
	c := waxwingseam.NewContext(waxwingseam.Server{Name: "a", Service: "fees"})
	c.Begin(waxwingseam.Stamp{Now: start})
	gate.UpdateServers(c, []waxwingseam.Server{{Name: "a", Service: "fees"}, {Name: "b", Service: "fees"}, {Name: "c", Service: "desk"}}, nil)
	admitted := func() int {
		n := 0
		for gate.Admit(c, waxwingseam.Call{Repeated: true}) {
			n++
		}
		return n
	}
	qt.Assert(t, admitted(), qt.Equals, 3)
	// b may have spent its part, which no other server gets within the window.
	gate.UpdateServers(c, nil, []waxwingseam.ServerName{"b"})
	qt.Assert(t, admitted(), qt.Equals, 0)
	for range 8 {
		gate.Admit(c, waxwingseam.Call{})
		gate.Admit(c, waxwingseam.Call{Depth: 1})
	}
	qt.Assert(t, admitted(), qt.Equals, 3)
	c.Begin(waxwingseam.Stamp{Now: start.Add(2 * time.Second)})
	qt.Assert(t, admitted(), qt.Equals, 6)
}

// ExampleNew shows that a gate without a budget admits a repeated call.
func ExampleNew() {
	gate := budgeter.New(budgeter.Config{})
	fmt.Println(gate.Admit(waxwingseam.NewContext(waxwingseam.Server{}), waxwingseam.Call{Repeated: true}))
	// Output: true
}
