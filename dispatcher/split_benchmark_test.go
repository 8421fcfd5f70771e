package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"waxwingseam.example/waxwingseam/retrier"
)

// chain returns a chain of calls.
func chain(depth int) shape {
	s := shape{service: worldServices[depth%len(worldServices)]}
	if depth > 1 {
		s.groups = [][]shape{{chain(depth - 1)}}
	}
	return s
}

// fan returns a tree with two groups of three calls on each level.
func fan(depth int) shape {
	s := shape{service: worldServices[depth%len(worldServices)]}
	for range 2 {
		if depth == 1 {
			break
		}
		s.groups = append(s.groups, []shape{fan(depth - 1), fan(depth - 1), fan(depth - 1)})
	}
	return s
}

// BenchmarkSplit reports the share of whole requests and the attempts a call
// for each way to split an allowance, in virtual time.
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
			name  string
			shape shape
		}{{"chain-4", chain(4)}, {"chain-13", chain(13)}, {"fan-43", fan(3)}} {
			for _, v := range []struct {
				name     string
				splitter retrier.Splitter
			}{{"along", retrier.SendAll{}}, {"half", retrier.SendHalf{}}, {"keep-one", retrier.KeepOne{}}} {
				b.Run(f.name+"/"+s.name+"/"+v.name, func(b *testing.B) {
					for b.Loop() {
						w := newWorld(1, allowance, f.faults, retrier.Config{Splitter: v.splitter})
						for i := range roots {
							w.after(time.Duration(i)*10*time.Millisecond, func() { w.call(w.hosts[i%len(w.hosts)], s.shape, nil) })
						}
						w.run()
						w.report(b, roots)
					}
				})
			}
		}
	}
}

func (w *world) report(b *testing.B, roots int) {
	whole, calls, attempts := 0, 0, 0
	for id, root := range w.roots {
		if len(w.replies[id]) > 0 && root.String() == id.String() && w.replies[id][0].Status == 200 {
			whole++
		}
	}
	for root, n := range w.attempts {
		calls, attempts = calls+w.calls[root], attempts+n
	}
	b.ReportMetric(100*float64(whole)/float64(roots), "%whole")
	b.ReportMetric(float64(attempts)/float64(calls), "attempts/call")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkBudget reports the attempts a call while all servers refuse or a
// part of the calls fails, for shares of retries in the successes.
func BenchmarkBudget(b *testing.B) {
	for _, f := range []faults{{refuse: 100}, {refuse: 50}, {refuse: 10}} {
		for _, percent := range []int{0, 10, 20, 100_000} {
			b.Run(fmt.Sprintf("refuse-%d/budget-%d", f.refuse, percent), func(b *testing.B) {
				for b.Loop() {
					const roots = 6000
					w := newWorld(1, 3, f, retrier.Config{})
					w.set.RetryLimits[0].BudgetPercent = percent
					for i := range roots {
						w.after(time.Duration(i)*time.Millisecond, func() { w.call(w.hosts[i%len(w.hosts)], chain(4), nil) })
					}
					w.run()
					w.report(b, roots)
				}
			})
		}
	}
}
