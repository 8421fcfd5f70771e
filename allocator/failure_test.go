package allocator_test

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// failureSeeds is how many seeded runs with failures are made; docs/design/046 has the
// command for all.
var failureSeeds = flag.Int("failure-seeds", 4, "number of seeded runs with failures")

// firstSeed is the first of these seeds.
var firstSeed = flag.Int("first-seed", 1, "first seed of the runs with failures")

// TestNoWindowIsOverTheRule guards against windows over the rule while accounts send
// several times as much and owners are killed, nodes are restarted, frozen and cut off,
// and limits are lowered.
func TestNoWindowIsOverTheRule(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*failureSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(uint64(seed), 100, 80)
			log := w.fail()
			w.demand()
			w.pass(18 * time.Second)
			excess, name := w.worst()
			t.Logf("worst %.3f %s; %v", excess, name, log)
			qt.Check(t, excess <= 1, qt.IsTrue, qt.Commentf("seed %d, %s: %.3f; %v", seed, name, excess, log))
		})
	}
}

// TestFailuresWhileAllSendTooMuch guards against limits that are granted twice, by an owner
// and by the one that follows it, while every account sends five times its limit.
func TestFailuresWhileAllSendTooMuch(t *testing.T) {
	owners := func(w *world) []*node {
		all := slices.Clone(w.nodes)
		slices.SortFunc(all, func(x, y *node) int { return cmp.Compare(y.sent, x.sent) })
		return all[:2]
	}
	for _, v := range []struct {
		name string
		fail func(w *world)
	}{
		{"owners killed", func(w *world) {
			for _, n := range owners(w) {
				n.kill(2 * time.Second)
			}
		}},
		{"owners restarted", func(w *world) {
			for _, n := range owners(w) {
				n.kill(2 * time.Second)
				w.after(300*time.Millisecond, n.restart)
			}
		}},
		{"owners frozen", func(w *world) {
			for _, n := range owners(w) {
				n.freeze(4*time.Second, false)
			}
		}},
		{"owners suspended", func(w *world) {
			for _, n := range owners(w) {
				n.freeze(4*time.Second, true)
			}
		}},
		{"half cut off", func(w *world) { w.cutOff(0.5, 6*time.Second, false) }},
		{"half cut off, connections refused", func(w *world) { w.cutOff(0.5, 6*time.Second, true) }},
		{"a tenth cut off", func(w *world) { w.cutOff(0.1, 6*time.Second, false) }},
		{"most cut off", func(w *world) { w.cutOff(0.9, 6*time.Second, false) }},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(11, 30, 6)
			w.demand()
			w.pass(3 * time.Second)
			for _, u := range w.usage {
				w.surge(u, 8, time.Minute)
			}
			w.pass(time.Second)
			v.fail(w)
			w.pass(9 * time.Second)
			excess, name := w.worst()
			t.Logf("worst %.3f %s", excess, name)
			qt.Check(t, excess <= 1, qt.IsTrue, qt.Commentf("%s: %.3f", name, excess))
		})
	}
}

// cutOff cuts a part of the nodes off from the others for a time.
func (w *world) cutOff(part float64, length time.Duration, rejects bool) {
	for _, n := range w.nodes {
		n.group = 0
		if w.random.Float64() < part {
			n.group = 1
		}
	}
	w.split, w.rejects = true, rejects
	w.after(length, func() { w.split = false })
}

// fail schedules surges and failures, and returns what it has scheduled.
func (w *world) fail() []string {
	var log []string
	add := func(at time.Duration, format string, args ...any) {
		log = append(log, fmt.Sprintf("%v ", at.Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
	for range 2 + w.random.IntN(3) {
		u := w.usage[w.random.IntN(len(w.usage))]
		at := 3*time.Second + w.upTo(9*time.Second)
		factor, length := 4+4*w.random.Float64(), 5*time.Second+w.upTo(time.Second)
		add(at, "surge %s %.1f", u.name, factor)
		w.after(at, func() { w.surge(u, factor, length) })
		if w.random.IntN(3) == 0 {
			lowered, part := at+w.upTo(3*time.Second), 0.1+0.5*w.random.Float64()
			add(lowered, "lower %s %.2f", u.name, part)
			w.after(lowered, func() { w.lower(u, part) })
		}
		// Half of the failures come at the time of a surge.
		if w.random.IntN(2) == 0 {
			w.failure(at+w.upTo(time.Second)-500*time.Millisecond, add)
		}
	}
	for range 1 + w.random.IntN(2) {
		w.failure(3*time.Second+w.upTo(10*time.Second), add)
	}
	return log
}

// failure schedules one failure.
func (w *world) failure(at time.Duration, add func(time.Duration, string, ...any)) {
	owner, length := w.random.IntN(2) == 0, 500*time.Millisecond+w.upTo(5*time.Second)
	victim := func() *node {
		if !owner {
			return w.nodes[w.random.IntN(len(w.nodes))]
		}
		return w.busiest()
	}
	switch w.random.IntN(5) {
	case 0:
		add(at, "kill owner=%v", owner)
		w.after(at, func() { victim().kill(2 * time.Second) })
	case 1:
		add(at, "restart owner=%v after %v", owner, length/4)
		w.after(at, func() {
			n := victim()
			n.kill(2 * time.Second)
			w.after(length/4, func() {
				if n.down {
					n.restart()
				}
			})
		})
	case 2, 3:
		suspended, count := w.random.IntN(2) == 0, 1+w.random.IntN(3)
		add(at, "freeze %d owner=%v for %v suspended=%v", count, owner, length, suspended)
		w.after(at, func() {
			victim().freeze(length, suspended)
			for range count - 1 {
				w.nodes[w.random.IntN(len(w.nodes))].freeze(length, suspended)
			}
		})
	case 4:
		part := 0.05 + 0.9*w.random.Float64()
		rejects := w.random.IntN(3) == 0
		add(at, "cut off %.2f for %v rejects=%v", part, length, rejects)
		w.after(at, func() { w.cutOff(part, length, rejects) })
	}
}
