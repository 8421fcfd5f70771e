package quarantiner_test

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/drainer"
	"waxwingseam.example/waxwingseam/quarantiner"
)

var start = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

// delay is the time that a message takes from one node to another.
const delay = 2 * time.Millisecond

// world holds the quarantiners of the nodes of one service, in virtual time.
type world struct {
	now     time.Time
	random  *rand.Rand
	nodes   []*node
	pending []pendingEvent
	// messages counts the messages that were sent.
	messages int
	// largest is the largest number of requests in one message.
	largest int
}

type pendingEvent struct {
	at      time.Time
	node    *node
	life    waxwingseam.Incarnation
	purpose waxwingseam.TimerPurpose
	event   func(waxwingseam.Stamp) waxwingseam.Event
}

type node struct {
	world      *world
	context    *waxwingseam.Context
	quarantine waxwingseam.Quarantine
	drainer    waxwingseam.Drainer
	cut        bool
	calls      uint64
	changes    []waxwingseam.QuarantinedRequest
	ended      []waxwingseam.BackendEnded
}

// newWorld returns a world whose nodes know each other.
func newWorld(nodes int) *world {
	w := &world{now: start, random: rand.New(rand.NewPCG(1, 1))}
	for n := range nodes {
		v := &node{world: w}
		w.nodes = append(w.nodes, v)
		v.start(waxwingseam.Server{
			Name: waxwingseam.ServerName(fmt.Sprintf("desk-%d", n)), Service: "desk",
			Node:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000),
			Incarnation: 1,
		})
	}
	w.introduce()
	return w
}

// start starts a node, which forgets what an earlier life knew.
func (v *node) start(self waxwingseam.Server) {
	v.context = waxwingseam.NewContext(self)
	v.drainer = drainer.New(drainer.Config{})
	v.quarantine = quarantiner.New(quarantiner.Config{Drainer: v.drainer})
	v.changes = nil
}

// introduce tells all nodes the servers.
func (w *world) introduce() {
	servers := make([]waxwingseam.Server, 0, len(w.nodes))
	for _, v := range w.nodes {
		servers = append(servers, v.context.Self)
	}
	for _, v := range w.nodes {
		v.step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.ServersUpdated{Stamp: s, Servers: servers}
		})
	}
}

// step reduces one event at a node now.
func (v *node) step(build func(waxwingseam.Stamp) waxwingseam.Event) {
	s := waxwingseam.Stamp{Now: v.world.now, Random: v.world.random.Uint64()}
	v.context.Begin(s)
	v.quarantine.Reduce(v.context, build(s))
	for _, e := range v.context.Effects() {
		v.execute(e)
	}
}

func (v *node) execute(e waxwingseam.Effect) {
	w := v.world
	switch x := e.(type) {
	case waxwingseam.ArmTimer:
		w.pending = slices.DeleteFunc(w.pending, func(p pendingEvent) bool { return p.node == v && p.purpose == x.Timer.Purpose })
		w.add(pendingEvent{at: x.At, node: v, life: v.context.Self.Incarnation, purpose: x.Timer.Purpose, event: func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.TimerFired{Stamp: s, Timer: x.Timer}
		}})
	case waxwingseam.SendEnds:
		for _, to := range x.To {
			w.send(v, to, x.Message)
		}
	case waxwingseam.QuarantineChanged:
		v.changes = append(v.changes, x.Request)
	case waxwingseam.BackendEnded:
		v.ended = append(v.ended, x)
	}
}

func (w *world) send(from *node, to netip.AddrPort, m waxwingseam.EndsMessage) {
	w.messages++
	requests := 0
	for _, e := range m.Ends {
		requests += len(e.Requests)
	}
	w.largest = max(w.largest, requests)
	for _, v := range w.nodes {
		if v.context.Self.Node == to && !from.cut && !v.cut {
			w.add(pendingEvent{at: w.now.Add(delay), node: v, life: v.context.Self.Incarnation, event: func(s waxwingseam.Stamp) waxwingseam.Event {
				return waxwingseam.EndsReceived{Stamp: s, Message: m}
			}})
		}
	}
}

func (w *world) add(p pendingEvent) {
	w.pending = append(w.pending, p)
}

// pass lets time pass.
func (w *world) pass(d time.Duration) {
	end := w.now.Add(d)
	for len(w.pending) > 0 {
		slices.SortStableFunc(w.pending, func(a, b pendingEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		next := w.pending[0]
		if next.at.After(end) {
			break
		}
		w.pending = w.pending[1:]
		w.now = next.at
		if next.life == next.node.context.Self.Incarnation {
			next.node.step(next.event)
		}
	}
	w.now = end
}

// fingerprint returns the fingerprint of a request.
func fingerprint(request string) waxwingseam.Fingerprint {
	var f waxwingseam.Fingerprint
	copy(f.Digest[:], request)
	f.Head = uint64(len(request))
	f.Quick = binary.BigEndian.Uint64(append([]byte(request), make([]byte, 8)...))
	return f
}

// allows reports whether a request may run at the node.
func (v *node) allows(request string) bool {
	v.calls++
	v.context.Begin(waxwingseam.Stamp{Now: v.world.now})
	reason, _ := v.quarantine.Check(v.context, waxwingseam.NewCallID(1, v.calls), fingerprint(request))
	return reason == waxwingseam.ReasonNone
}

// serve has the node's server complete a request.
func (v *node) serve(request string) {
	v.step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.RunEnded{Stamp: s, ID: waxwingseam.NewCallID(1, v.calls), Result: waxwingseam.Result{Status: 200}, Fingerprint: fingerprint(request)}
	})
}

// breakOff has the node's server break off requests without an answer.
func (v *node) breakOff(requests ...string) {
	for _, r := range requests {
		v.step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.RunEnded{
				Stamp: s, ID: waxwingseam.NewCallID(1, v.calls), Result: waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonServerFailed},
				Fingerprint: fingerprint(r), Connection: waxwingseam.ConnectionBroken,
			}
		})
	}
}

// end has the node's server end while it runs requests.
func (v *node) end(requests ...string) {
	v.breakOff(requests...)
	v.probed(true)
}

// probed reports the result of a probe.
func (v *node) probed(refused bool) {
	v.step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.BackendProbed{Stamp: s, Refused: refused}
	})
}

// allowing counts the nodes at which a request may run.
func (w *world) allowing(request string) int {
	n := 0
	for _, v := range w.nodes {
		if v.allows(request) {
			n++
		}
	}
	return n
}
