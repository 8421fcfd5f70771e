package experimenter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/pacer"
)

// The bounds on the requests that reach a backend server which names a rate limit, or
// which is leaving.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitSettleTime passes from the first answer with a limit until it must be kept.
	limitSettleTime = 3 * time.Second
	// toldDelay passes from such an answer until the requests of the node that passed
	// it on count.
	toldDelay = 500 * time.Millisecond
	// leaveTime passes from an answer that says that the server is leaving until no
	// request sent later may reach the server from the node that passed it on.
	leaveTime = 2 * time.Second
	// learnTime is how long a lower limit may take to reach the node.
	learnTime = time.Second
)

// namedLimit is a rate limit that a server names from a time on; a negative rate means
// none.
type namedLimit struct {
	from time.Time
	rate float64
}

// limitChecker records the limits that one incarnation of a server names, and checks its
// arrivals.
type limitChecker struct {
	node     *Node
	instance string
	limits   []namedLimit
}

// set makes the server name a limit, or none if the rate is negative.
func (k *limitChecker) set(rate float64) {
	s := k.node.backend.statement
	s.Limited, s.Rate = rate >= 0, max(rate, 0)
	k.node.SetStatement(s)
	k.limits = append(k.limits, namedLimit{k.node.world.scheduler.now, rate})
}

// violations returns the windows in which more requests arrived than the limits allow.
func (k *limitChecker) violations(end time.Time) []string {
	var out []string
	for i, first := range k.limits {
		if first.rate < 0 || i > 0 && k.limits[i-1].rate >= 0 {
			continue
		}
		from := first.from.Add(limitSettleTime)
		if i > 0 && k.limits[0].rate >= 0 {
			from = first.from.Add(learnTime)
		}
		until := end
		for _, v := range k.limits[i+1:] {
			if v.rate < 0 {
				until = v.from
				break
			}
		}
		out = append(out, k.check(from, until)...)
	}
	return out
}

// check checks the windows that end at arrivals between two times, during which the
// server names limits all the time.
func (k *limitChecker) check(from, until time.Time) []string {
	var window []time.Time
	for _, a := range k.node.Arrivals() {
		if k.instance != "" && a.Instance != k.instance || a.At.Before(from) || a.At.After(until) || a.Told.IsZero() || a.At.Sub(a.Told) < toldDelay {
			continue
		}
		window = append(window, a.At)
		for a.At.Sub(window[0]) >= limitWindow {
			window = window[1:]
		}
		allowed := limitFactor*k.allowance(a.At.Add(-limitWindow), a.At) + limitSlack
		if float64(len(window)) > allowed {
			return []string{fmt.Sprintf("%s: %d requests in %v up to %v, allowed %.1f",
				k.node.Server.Name, len(window), limitWindow, a.At.Sub(k.node.world.startTime), allowed)}
		}
	}
	return nil
}

// allowance returns the number of requests that the limits name for a time, where a
// limit holds for learnTime longer if the next one is lower.
func (k *limitChecker) allowance(from, to time.Time) float64 {
	const step = 50 * time.Millisecond
	sum := 0.0
	for t := from; t.Before(to); t = t.Add(step) {
		sum += max(k.rateAt(t), k.rateAt(t.Add(-learnTime)), 0) * step.Seconds()
	}
	return sum
}

func (k *limitChecker) rateAt(t time.Time) float64 {
	rate := -1.0
	for _, v := range k.limits {
		if !v.from.After(t) {
			rate = v.rate
		}
	}
	return rate
}

// arrivalsAfterLeaving returns the first request of each node that was sent later than
// leaveTime after its sender knew that the server was leaving.
func arrivalsAfterLeaving(nodes []*Node) []string {
	var out []string
	for _, n := range nodes {
		for _, a := range n.Arrivals() {
			if !a.ToldLeaving.IsZero() && a.Issued.Sub(a.ToldLeaving) > leaveTime {
				out = append(out, fmt.Sprintf("%s got a request sent %v after its sender knew that it was leaving", a.Instance, a.Issued.Sub(a.ToldLeaving)))
				break
			}
		}
	}
	return out
}

// onTimeShares returns the share of the requests of each kind issued during the trigger
// that were answered within their objective.
func onTimeShares(r Report) []float64 {
	out := make([]float64, len(r.IssuedByKind))
	for i, issued := range r.IssuedByKind {
		out[i] = r.OnTimeByKind[i] / issued
	}
	return out
}

// TestLimitedServersAreNotOverrun guards against backend servers that get more requests
// than the rate that they name, and against callers who are refused for it though other
// servers of the service have room.
func TestLimitedServersAreNotOverrun(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{14.5, 10.3, 0.4, 0} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			t.Parallel()
			config := limitedBoard(0.35, 12*time.Second)
			var checkers []*limitChecker
			config.Faults = []Fault{{At: config.TriggerStart, Do: func(w *World) {
				for _, n := range w.Service("board")[:2] {
					k := &limitChecker{node: n}
					k.set(rate)
					checkers = append(checkers, k)
				}
			}}}
			config.Layer = Waxwingseam()
			r := Run(config)
			for _, k := range checkers {
				qt.Check(t, k.violations(k.node.world.scheduler.now), qt.HasLen, 0)
			}
			shares := onTimeShares(r)
			t.Logf("on time by kind: %.3f; refusals %v, failures %d", shares, r.Refusals, r.Failures)
			for _, v := range shares {
				qt.Check(t, v >= targetGoodput, qt.IsTrue, qt.Commentf("%.3f", v))
			}
			qt.Check(t, r.Refusals[0]+r.Refusals[1], qt.Equals, 0)
		})
	}
}

// TestLeavingServersGetNoRequests guards against requests that reach a backend server
// although it says in its answers that it is leaving, also after its node restarts or
// receives a heartbeat from before.
func TestLeavingServersGetNoRequests(t *testing.T) {
	t.Parallel()
	for _, v := range []struct {
		name  string
		event func(n *Node)
	}{
		{"nothing else", func(*Node) {}},
		{"its node restarts", (*Node).Restart},
		{"a heartbeat says that it is ready", func(n *Node) {
			n.step(waxwingseam.BackendReported{Stamp: n.world.stamp(), Report: waxwingseam.BackendReport{
				Instance: n.Server.Instance, Service: n.Server.Service, State: waxwingseam.BackendReady, Sequence: 9,
			}})
		}},
		{"it is announced again", func(n *Node) {
			for _, other := range n.world.nodes {
				server := n.Server
				server.Leaving = false
				other.step(waxwingseam.ServersUpdated{Stamp: n.world.stamp(), Gone: []waxwingseam.ServerName{server.Name}})
				other.updateServers([]waxwingseam.Server{server})
			}
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			config := limitedBoard(0.35, 8*time.Second)
			var world *World
			config.Faults = []Fault{
				{At: config.TriggerStart, Do: func(w *World) {
					world = w
					w.Service("board")[0].SetStatement(waxwingseam.Statement{Leaving: true})
				}},
				{At: config.TriggerStart + time.Second, Do: func(w *World) { v.event(w.Service("board")[0]) }},
			}
			config.Layer = Waxwingseam()
			r := Run(config)
			violations := arrivalsAfterLeaving(world.nodes)
			qt.Check(t, violations, qt.HasLen, 0)
			shares := onTimeShares(r)
			t.Logf("on time by kind: %.3f; refusals %v, failures %d", shares, r.RefusalReasons, r.Failures)
			for _, v := range shares {
				qt.Check(t, v >= targetGoodput, qt.IsTrue, qt.Commentf("%.3f", v))
			}
			delete(r.RefusalReasons, waxwingseam.ReasonOverloaded)
			qt.Check(t, r.RefusalReasons, qt.HasLen, 0)
		})
	}
}

// TestCallingRootsUseFreeSlots guards against requests that make calls and are refused
// though all servers have free slots, at a demand of a third of the capacity.
func TestCallingRootsUseFreeSlots(t *testing.T) {
	t.Parallel()
	config := limitedBoard(0.35, 12*time.Second)
	config.Seed = 12
	config.Layer = Waxwingseam()
	qt.Check(t, Run(config).Refusals, qt.DeepEquals, []int{0, 0})
}

// limitAll makes servers of board name rates, and returns their checkers once the run
// has reached the start of the trigger.
func limitAll(config *Config, rates []float64) *[]*limitChecker {
	var checkers []*limitChecker
	config.Faults = append(config.Faults, Fault{At: config.TriggerStart, Do: func(w *World) {
		for i, n := range w.Service("board")[:len(rates)] {
			k := &limitChecker{node: n}
			k.set(rates[i])
			checkers = append(checkers, k)
		}
	}})
	return &checkers
}

// optimum returns the rates at which the kinds can be served: the most important kind
// first, from a capacity of board in requests per second.
func optimum(r Report, capacity float64) []float64 {
	out := make([]float64, len(r.IssuedByKind))
	for i, issued := range r.IssuedByKind {
		out[i] = min(issued, capacity)
		capacity -= out[i]
	}
	return out
}

// TestRemainingCapacityIsUsed guards against rate limits that are kept by refusing
// callers whom the remaining capacity could serve, and against less important requests
// that use it up. The most important kind is the first.
func TestRemainingCapacityIsUsed(t *testing.T) {
	t.Parallel()
	const perServer = 10 / 0.09
	for _, v := range []struct {
		name     string
		demand   float64
		rates    []float64
		capacity float64
	}{
		{"two of four limited, demand above the rest", 0.8, []float64{14.5, 10.3}, 2*perServer + 24.8},
		{"three of four limited, demand above the rest", 0.8, []float64{14.5, 10.3, 20}, perServer + 44.8},
		{"all limited, demand below their sum", 0.2, []float64{40, 30, 30, 20}, 120},
		{"all limited, demand above their sum", 0.4, []float64{40, 30, 30, 20}, 120},
		{"all limited, four times their sum", 0.8, []float64{30, 20, 20, 20}, 90},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			config := limitedBoard(v.demand, 12*time.Second)
			config.Demand.Base = v.demand
			checkers := limitAll(&config, v.rates)
			config.Layer = Waxwingseam()
			r := Run(config)
			for _, k := range *checkers {
				qt.Check(t, k.violations(k.node.world.scheduler.now), qt.HasLen, 0)
			}
			best := optimum(r, v.capacity)
			for i, rate := range best {
				t.Logf("%s: %.1f issued, %.1f served, %.1f on time, optimum %.1f", config.Deployment.RequestKinds[i].Class, r.IssuedByKind[i], r.ByKind[i], r.OnTimeByKind[i], rate)
			}
			t.Logf("refusals %v, failures %d, p99 %v, wasted %.3f", r.RefusalReasons, r.Failures, r.P99, r.Wasted)
			qt.Check(t, r.OnTimeByKind[0] >= targetGoodput*best[0], qt.IsTrue)
			sum, bestSum := r.OnTimeByKind[0]+r.OnTimeByKind[1], best[0]+best[1]
			qt.Check(t, sum >= targetGoodput*bestSum, qt.IsTrue, qt.Commentf("%.1f of %.1f", sum, bestSum))
			qt.Check(t, r.Wasted <= targetWasted, qt.IsTrue)
		})
	}
}

// limitFaults draws faults for the servers of board: they name limits, change and end
// them, leave and are replaced, while nodes of both services restart and pause.
type limitFaults struct {
	random   *rand.Rand
	checkers map[*Node]*limitChecker
	ended    []*limitChecker
}

// do does one random fault and schedules the next one.
func (f *limitFaults) do(w *World) {
	w.After(time.Duration(100+f.random.IntN(400))*time.Millisecond, func() { f.do(w) })
	boards := w.Service("board")
	n := boards[f.random.IntN(len(boards))]
	rates := []float64{-1, 0, 0.3, 2.7, 8, 14.5, 30}
	switch f.random.IntN(8) {
	case 0, 1, 2, 3:
		f.checker(n).set(rates[f.random.IntN(len(rates))])
	case 4:
		n.Restart()
	case 5:
		w.nodes[f.random.IntN(len(w.nodes))].Pause(time.Duration(f.random.IntN(3000)) * time.Millisecond)
	case 6:
		f.replace(n)
	case 7:
		// One server at a time is leaving, so that others are left.
		for _, other := range boards {
			if other.backend.statement.Leaving {
				f.replace(other)
				return
			}
		}
		f.checker(n)
		s := n.backend.statement
		s.Leaving = true
		n.SetStatement(s)
	}
}

// checker returns the checker of a node's backend server.
func (f *limitFaults) checker(n *Node) *limitChecker {
	k, ok := f.checkers[n]
	if !ok {
		k = &limitChecker{node: n, instance: n.Server.Instance}
		f.checkers[n] = k
	}
	return k
}

// replace replaces a backend server by one that names no limit.
func (f *limitFaults) replace(n *Node) {
	k := f.checker(n)
	k.limits = append(k.limits, namedLimit{n.world.scheduler.now, -1})
	f.ended = append(f.ended, k)
	delete(f.checkers, n)
	n.ReplaceBackend()
}

// runLimitFaults runs a layer with random faults, loss of messages included, and returns
// what broke the bounds.
func runLimitFaults(layer Layer, seed uint64) []string {
	// Many requests arrive in the time until the first answer.
	config := boardDeployment(100, 300*time.Millisecond, 0.35, 14*time.Second)
	config.Seed = seed
	f := &limitFaults{random: rand.New(rand.NewPCG(seed, 2)), checkers: map[*Node]*limitChecker{}}
	var world *World
	config.Faults = []Fault{{At: config.TriggerStart, Do: func(w *World) {
		world = w
		f.do(w)
	}}}
	config.Lose = func(w *World, from, to *Node) bool { return from != to && w.Random().IntN(50) == 0 }
	config.Layer = layer
	Run(config)
	out := arrivalsAfterLeaving(world.nodes)
	for _, n := range world.Service("board") {
		f.ended = append(f.ended, f.checker(n))
	}
	for _, k := range f.ended {
		out = append(out, k.violations(world.scheduler.now)...)
	}
	return out
}

// TestStatementsHoldUnderFaults guards against requests beyond a named rate, and requests
// to a leaving server, while nodes restart and pause, messages are lost, limits change and
// backend servers are replaced.
func TestStatementsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		qt.Check(t, runLimitFaults(Waxwingseam(), seed), qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}

// TestBrokenLimitersAreFound shows that the checks of TestStatementsHoldUnderFaults find
// a limiter that keeps no rate.
func TestBrokenLimitersAreFound(t *testing.T) {
	t.Parallel()
	unlimited := variant("no rate limits", newAdmitter, func() waxwingseam.Pacer { return unlimitedPacer{pacer.New()} })
	found := 0
	for seed := range uint64(6) {
		if len(runLimitFaults(unlimited, seed)) > 0 {
			found++
		}
	}
	qt.Check(t, found >= 5, qt.IsTrue, qt.Commentf("in %d of 6 runs", found))
}

// unlimitedPacer is a pacer that ignores limits.
type unlimitedPacer struct{ waxwingseam.Pacer }

func (unlimitedPacer) SetLimit(time.Time, float64) {}
