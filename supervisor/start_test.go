package supervisor_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/drainer"
	"waxwingseam.example/waxwingseam/registrar"
	"waxwingseam.example/waxwingseam/supervisor"
)

// scheduled is something that happens at a time.
type scheduled struct {
	at time.Duration
	do func()
}

// host simulates a node, its restarts, and the holders of its endings, in virtual time.
type host struct {
	now     time.Duration
	queue   []scheduled
	context *waxwingseam.Context
	drainer waxwingseam.Drainer
	worker  waxwingseam.Worker
	// life counts the starts of the node.
	life int
	// holders are the endings that are recorded outside the node.
	holders registrar.Endings
}

// epoch is when the simulation begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (h *host) schedule(after time.Duration, do func()) {
	h.queue = append(h.queue, scheduled{h.now + after, do})
}

// run carries out what is scheduled until a time, and calls check after each step.
func (h *host) run(until time.Duration, check func()) {
	for len(h.queue) > 0 {
		slices.SortStableFunc(h.queue, func(a, b scheduled) int { return cmp.Compare(a.at, b.at) })
		next := h.queue[0]
		if next.at > until {
			break
		}
		h.queue = h.queue[1:]
		h.now = next.at
		next.do()
		check()
	}
	h.now = until
}

// start starts the node without any memory.
func (h *host) start() {
	h.life++
	h.context = waxwingseam.NewContext(waxwingseam.Server{Name: "fees-1", Service: "fees", Leaving: true, Since: epoch.Add(h.now)})
	h.drainer = drainer.New(drainer.Config{Withdrawn: true})
	h.worker = supervisor.New(supervisor.Config{Drainer: h.drainer, AwaitEndings: true})
}

// step reduces an event and carries out its effects.
func (h *host) step(build func(waxwingseam.Stamp) waxwingseam.Event) {
	stamp := waxwingseam.Stamp{Now: epoch.Add(h.now)}
	h.context.Begin(stamp)
	h.worker.Reduce(h.context, build(stamp))
	life := h.life
	for _, e := range h.context.Effects() {
		switch v := e.(type) {
		case waxwingseam.ArmTimer:
			h.schedule(v.At.Sub(stamp.Now), func() {
				if life == h.life {
					h.step(func(s waxwingseam.Stamp) waxwingseam.Event {
						return waxwingseam.TimerFired{Stamp: s, Timer: v.Timer}
					})
				}
			})
		case waxwingseam.RecordEnding:
			if v.Ending != (waxwingseam.Ending{}) {
				h.holders.Add(stamp.Now, v.Ending)
			}
		}
	}
}

func (h *host) report(r waxwingseam.BackendReport) {
	h.step(func(s waxwingseam.Stamp) waxwingseam.Event { return waxwingseam.BackendReported{Stamp: s, Report: r} })
}

func (h *host) learn(complete bool) {
	h.step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.EndingsLearned{Stamp: s, Endings: slices.Clone(h.holders), Complete: complete}
	})
}

// used reports whether the node uses an incarnation of the backend server.
func (h *host) used(instance string, started time.Time) bool {
	return !h.drainer.Leaving() && h.context.Self.Instance == instance && h.context.Self.Started.Equal(started)
}

// TestServerThatLeftReturns guards against an incarnation that is used after it has drained or
// left: heartbeats come late and in any order, and the node is killed and started again at any
// time. Half of the starts hear from control, the others from holders only.
func TestServerThatLeftReturns(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, seed))
		between := func(a, b time.Duration) time.Duration { return a + time.Duration(random.Int64N(int64(b-a))) }
		h := &host{}
		h.start()
		withStart := seed%3 > 0
		for n := range 3 {
			begins := time.Duration(n) * 20 * time.Second
			r := waxwingseam.BackendReport{Instance: "a", Service: "fees", State: waxwingseam.BackendReady, Slots: 8}
			if !withStart {
				r.Instance = fmt.Sprint("a", n)
			} else {
				r.Started = epoch.Add(begins)
			}
			for i := range 12 {
				r.Sequence = uint64(i + 1)
				if i == 6 && random.IntN(2) == 0 || i == 7 {
					r.State = waxwingseam.BackendDraining
				}
				heartbeat := r
				h.schedule(begins+time.Duration(i)*1500*time.Millisecond+between(0, 5*time.Second), func() { h.report(heartbeat) })
			}
			if random.IntN(2) == 0 {
				leave := waxwingseam.BackendReport{Instance: r.Instance, State: waxwingseam.BackendGone, Started: r.Started}
				h.schedule(begins+between(4*time.Second, 10*time.Second), func() { h.report(leave) })
			}
		}
		for range 20 {
			h.schedule(between(0, time.Minute), func() {
				h.start()
				if random.IntN(2) == 0 {
					h.schedule(between(0, 500*time.Millisecond), func() { h.learn(true) })
				}
				h.schedule(between(0, 290*time.Millisecond), func() { h.learn(false) })
			})
		}
		h.run(90*time.Second, func() {
			ended := h.holders.Covers(h.context.Self.Instance, h.context.Self.Started)
			if ended && h.used(h.context.Self.Instance, h.context.Self.Started) {
				t.Fatalf("seed %d: %s of %v is used at %v", seed, h.context.Self.Instance, h.context.Self.Started, h.now)
			}
		})
	}
}

// TestStartedNodeUsesSoundServer guards against a sound server that waits for more than 3 s
// after the start of its node, also while nobody tells of endings, and for a server that is
// delayed although control has answered.
func TestStartedNodeUsesSoundServer(t *testing.T) {
	began := epoch.Add(-10 * time.Minute)
	sound := waxwingseam.BackendReport{Instance: "a", Service: "fees", State: waxwingseam.BackendReady, Slots: 8, Started: began}
	earlier := sound
	earlier.Started = epoch.Add(-time.Hour)
	for _, first := range []time.Duration{0, 500 * time.Millisecond, 1499 * time.Millisecond, 1700 * time.Millisecond} {
		for _, complete := range []time.Duration{50 * time.Millisecond, time.Hour} {
			h := &host{holders: registrar.Endings{{Instance: "a", Started: earlier.Started, At: epoch.Add(-time.Minute)}}}
			h.start()
			h.schedule(first, func() { h.report(sound) })
			h.schedule(first+time.Millisecond, func() { h.report(earlier) })
			h.schedule(complete, func() { h.learn(true) })
			due := 3 * time.Second
			if complete < time.Minute {
				due = max(first, complete) + time.Millisecond
			}
			h.run(due, func() {})
			qt.Assert(t, h.used("a", began), qt.IsTrue, qt.Commentf("first heartbeat after %v, control after %v", first, complete))
		}
	}
}

// TestServerThatBeganWithNodeWaits guards against a node that keeps a server out of use for
// the endings of earlier incarnations, after a loss of power that both began after. Reports
// that don't show this are kept back: a later one, and one from before or after the clock was
// set back.
func TestServerThatBeganWithNodeWaits(t *testing.T) {
	const delay = 100 * time.Millisecond
	for _, v := range []struct {
		began    time.Duration
		sequence uint64
		used     bool
	}{
		{-10 * time.Millisecond, 1, true},
		{90 * time.Millisecond, 1, true},
		{-10 * time.Millisecond, 2, false},
		{-60 * time.Millisecond, 1, false},
		{time.Second, 1, false},
	} {
		h := &host{}
		h.start()
		report := waxwingseam.BackendReport{
			Instance: "a", Service: "fees", State: waxwingseam.BackendReady, Slots: 8, Started: epoch.Add(v.began), Sequence: v.sequence,
		}
		h.schedule(delay, func() { h.report(report) })
		h.run(delay, func() {})
		qt.Assert(t, h.used("a", report.Started), qt.Equals, v.used, qt.Commentf("began after %v, report %d", v.began, v.sequence))
	}
}

// TestStatedLeaveIsForgotten guards against a server that says in an answer that it is leaving
// and is used again after its node, which alone had read the answer, has restarted.
func TestStatedLeaveIsForgotten(t *testing.T) {
	h := &host{}
	h.start()
	h.learn(true)
	ready := waxwingseam.BackendReport{Instance: "a", Service: "fees", State: waxwingseam.BackendReady, Slots: 8, Started: epoch, Sequence: 1}
	h.report(ready)
	stated := waxwingseam.BackendStated{Backend: h.context.Self.BackendIncarnation(), Statement: waxwingseam.Statement{Leaving: true}}
	h.step(func(s waxwingseam.Stamp) waxwingseam.Event { stated.Stamp = s; return stated })
	h.start()
	h.learn(true)
	ready.Sequence++
	h.report(ready)
	qt.Assert(t, h.used("a", epoch), qt.IsFalse)
	later := ready
	later.Started = epoch.Add(time.Second)
	h.report(later)
	qt.Assert(t, h.used("a", later.Started), qt.IsTrue)
}

// TestLateEndingIsIgnored guards against a server that stays in use when the node hears of its
// ending only after the wait, and against a later incarnation that is taken out with it.
func TestLateEndingIsIgnored(t *testing.T) {
	h := &host{}
	h.start()
	h.learn(true)
	h.report(waxwingseam.BackendReport{Instance: "a", Service: "fees", State: waxwingseam.BackendReady, Slots: 8, Started: epoch, Sequence: 1})
	qt.Assert(t, h.used("a", epoch), qt.IsTrue)
	h.holders.Add(epoch, waxwingseam.Ending{Instance: "a", Started: epoch, At: epoch})
	h.learn(false)
	qt.Assert(t, h.drainer.Leaving(), qt.IsTrue)
	later := epoch.Add(time.Second)
	h.report(waxwingseam.BackendReport{Instance: "a", Service: "fees", State: waxwingseam.BackendReady, Slots: 8, Started: later, Sequence: 1})
	qt.Assert(t, h.used("a", later), qt.IsTrue)
	h.learn(false)
	qt.Assert(t, h.used("a", later), qt.IsTrue)
}
