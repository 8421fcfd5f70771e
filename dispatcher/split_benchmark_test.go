package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"waxwingseam.example/waxwingseam/retrier"
)

// chain returns a chain of as many calls as its depth.
func chain(depth int) callTree {
	s := callTree{service: simulatedServices[depth%len(simulatedServices)]}
	if depth > 1 {
		s.groups = [][]callTree{{chain(depth - 1)}}
	}
	return s
}

// fanOut returns a tree in which each run above the lowest level makes two groups
// of three calls.
func fanOut(depth int) callTree {
	s := callTree{service: simulatedServices[depth%len(simulatedServices)]}
	for range 2 {
		if depth == 1 {
			break
		}
		s.groups = append(s.groups, []callTree{fanOut(depth - 1), fanOut(depth - 1), fanOut(depth - 1)})
	}
	return s
}

// BenchmarkSplit reports the percentage of successful roots and the attempts per
// call for each way to split an allowance, in simulated time.
func BenchmarkSplit(b *testing.B) {
	const (
		roots     = 3000
		allowance = 3
	)
	for _, f := range []struct {
		name   string
		faults faults
	}{
		{"refusals", faults{refuse: 10}},
		{"losses", faults{request: 3, reply: 3}},
		{"restarts", faults{restart: 1}},
		{"mixed", faults{refuse: 5, request: 1, reply: 1, fail: 1, restart: 1}},
	} {
		for _, s := range []struct {
			name string
			tree callTree
		}{{"chain-4", chain(4)}, {"chain-13", chain(13)}, {"fan-43", fanOut(3)}} {
			for _, v := range []struct {
				name     string
				splitter retrier.Splitter
			}{{"along", retrier.SendAll{}}, {"half", retrier.SendHalf{}}, {"keep-one", retrier.KeepOne{}}} {
				b.Run(f.name+"/"+s.name+"/"+v.name, func(b *testing.B) {
					for b.Loop() {
						sm := newSimulation(1, allowance, f.faults, retrier.Config{Splitter: v.splitter})
						for i := range roots {
							sm.after(time.Duration(i)*10*time.Millisecond, func() { sm.call(sm.hosts[i%len(sm.hosts)], s.tree, nil) })
						}
						sm.run()
						sm.report(b, roots)
					}
				})
			}
		}
	}
}

func (sm *simulation) report(b *testing.B, roots int) {
	completedRoots, calls, attempts := 0, 0, 0
	for id, root := range sm.roots {
		if len(sm.replies[id]) > 0 && root.String() == id.String() && sm.replies[id][0].Status == 200 {
			completedRoots++
		}
	}
	for root, n := range sm.attempts {
		calls, attempts = calls+sm.calls[root], attempts+n
	}
	b.ReportMetric(100*float64(completedRoots)/float64(roots), "%whole")
	b.ReportMetric(float64(attempts)/float64(calls), "attempts/call")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkBudget reports the attempts per call for several retry budgets, while
// the servers refuse all or a part of the attempts.
func BenchmarkBudget(b *testing.B) {
	for _, f := range []faults{{refuse: 100}, {refuse: 50}, {refuse: 10}} {
		for _, percent := range []int{0, 10, 20, 100_000} {
			b.Run(fmt.Sprintf("refuse-%d/budget-%d", f.refuse, percent), func(b *testing.B) {
				for b.Loop() {
					const roots = 6000
					sm := newSimulation(1, 3, f, retrier.Config{})
					sm.set.RetryLimits[0].BudgetPercent = percent
					for i := range roots {
						sm.after(time.Duration(i)*time.Millisecond, func() { sm.call(sm.hosts[i%len(sm.hosts)], chain(4), nil) })
					}
					sm.run()
					sm.report(b, roots)
				}
			})
		}
	}
}
