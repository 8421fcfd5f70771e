package arbiter_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/arbiter"
	"waxwingseam.example/waxwingseam/deduplicator"
	"waxwingseam.example/waxwingseam/reducer"
)

const keyRetention = time.Minute

// group is the arbiters of one service; their messages arrive without delay.
type group struct {
	now     time.Time
	nodes   map[waxwingseam.ServerName]*node
	founded bool
}

type node struct {
	g       *group
	self    waxwingseam.Server
	reducer waxwingseam.Reducer
	up      bool
	// answersLost is set while the answers to the node's messages are lost.
	answersLost bool
	answer      *waxwingseam.WitnessAnswer
	verdicts    []string
}

func newGroup(names ...waxwingseam.ServerName) *group {
	g := &group{now: time.Unix(1000, 0), nodes: map[waxwingseam.ServerName]*node{}}
	for _, name := range names {
		g.start(name, 1)
	}
	g.advance(4 * time.Second)
	return g
}

// start starts an incarnation of a node and reports it to all nodes.
func (g *group) start(name waxwingseam.ServerName, incarnation waxwingseam.Incarnation) {
	n := &node{g: g, up: true, self: waxwingseam.Server{Name: name, Service: "ledger", Incarnation: incarnation}}
	n.reducer = reducer.New(reducer.Config{Self: n.self, Workers: []waxwingseam.PrioritizedWorker{{Worker: arbiter.New(arbiter.Config{
		Deduplicator: deduplicator.New(deduplicator.Config{}), KeyRetention: keyRetention, MaxClaims: 1000,
	})}}})
	g.nodes[name] = n
	for _, o := range g.nodes {
		if !o.up {
			continue
		}
		n.step(waxwingseam.ServersUpdated{Stamp: g.stamp(), Servers: []waxwingseam.Server{o.self}})
		o.step(waxwingseam.ServersUpdated{Stamp: g.stamp(), Servers: []waxwingseam.Server{n.self}})
	}
}

// stop stops nodes and reports them as gone to the others.
func (g *group) stop(names ...waxwingseam.ServerName) {
	for _, name := range names {
		g.nodes[name].up = false
	}
	for _, o := range g.nodes {
		o.step(waxwingseam.ServersUpdated{Stamp: g.stamp(), Gone: names})
	}
}

func (g *group) stamp() waxwingseam.Stamp { return waxwingseam.Stamp{Now: g.now} }

// advance advances the time in steps of one round.
func (g *group) advance(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(time.Second)
		for _, name := range g.names() {
			g.nodes[name].step(waxwingseam.TimerFired{Stamp: g.stamp(), Timer: waxwingseam.TimerID{Purpose: arbiter.PurposeRound}})
		}
	}
}

func (g *group) names() []waxwingseam.ServerName {
	out := make([]waxwingseam.ServerName, 0, len(g.nodes))
	for name := range g.nodes {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (n *node) step(e waxwingseam.Event) {
	if !n.up {
		return
	}
	for _, x := range n.reducer.Reduce(e) {
		switch v := x.(type) {
		case waxwingseam.AskWitness:
			n.ask(v)
		case waxwingseam.AnswerWitness:
			n.answer = &v.Answer
		case waxwingseam.AskFounding:
			if !n.g.founded {
				n.g.founded = true
				n.step(waxwingseam.FoundingGranted{Stamp: n.g.stamp()})
			}
		case waxwingseam.DecideKey:
			n.verdicts = append(n.verdicts, describe(v))
		}
	}
}

func (n *node) ask(v waxwingseam.AskWitness) {
	to := n.g.nodes[v.To.Name]
	e := waxwingseam.WitnessAnswered{Stamp: n.g.stamp(), To: v.To.Name, Message: v.Message}
	if to != nil && to.up {
		to.step(waxwingseam.WitnessAsked{Stamp: n.g.stamp(), Message: v.Message})
		e.Reached, e.Answer = !n.answersLost, *to.answer
	}
	n.step(e)
}

func describe(v waxwingseam.DecideKey) string {
	switch v.Verdict {
	case waxwingseam.KeyAdmit:
		return "run"
	case waxwingseam.KeyRelay:
		return "relay to " + string(v.Holder.Name)
	}
	return fmt.Sprintf("%s:%s", v.Result.Outcome, v.Result.Reason)
}

// call sends a call with a key to a node and returns the verdict. If there is no
// verdict at once, the claim times out.
func (g *group) call(name waxwingseam.ServerName, key string, number uint64) string {
	n := g.nodes[name]
	n.verdicts = nil
	id := waxwingseam.NewCallID(number, 1)
	n.step(waxwingseam.KeyedAttemptArrived{Stamp: g.stamp(), Attempt: 1, Call: waxwingseam.Call{
		ID: id, Class: "marks", Key: key, Deadline: g.now.Add(10 * time.Second),
	}})
	if len(n.verdicts) == 0 {
		n.step(waxwingseam.TimerFired{Stamp: g.stamp(), Timer: waxwingseam.TimerID{Purpose: arbiter.PurposeClaim, Call: id}})
	}
	return strings.Join(n.verdicts, ", ")
}

const unproven = "may-have-run:key-unproven"

// TestMembership checks that after a change of the view's members a key does
// not run a second time before it expires, and that a new key runs if a quorum
// is there.
func TestMembership(t *testing.T) {
	drain := func(g *group, name waxwingseam.ServerName, undo bool) {
		g.nodes[name].step(waxwingseam.DrainAsked{Stamp: g.stamp(), Undo: undo})
	}
	for _, v := range []struct {
		name   string
		change func(g *group)
		at     waxwingseam.ServerName
		want   string
		// wantNewKey is the verdict on a key that was not used before.
		wantNewKey string
	}{
		{"none", func(*group) {}, "b", "relay to a", "run"},
		{"a new node has joined", func(g *group) {
			g.start("d", 1)
			g.advance(2 * time.Second)
		}, "d", "relay to a", "run"},
		{"a new node has not joined yet", func(g *group) { g.start("d", 1) }, "d", unproven, unproven},
		{"the holder is lost", func(g *group) { g.stop("a") }, "b", "may-have-run:key-conflict", "run"},
		{"the holder is restarted", func(g *group) {
			g.stop("a")
			g.start("a", 2)
			g.advance(2 * time.Second)
		}, "a", "may-have-run:key-conflict", "run"},
		{"the holder leaves", func(g *group) {
			drain(g, "a", false)
			g.stop("a")
		}, "c", "may-have-run:key-conflict", "run"},
		{"the holder leaves and comes back", func(g *group) {
			drain(g, "a", false)
			drain(g, "a", true)
			g.advance(2 * time.Second)
		}, "b", "relay to a", "run"},
		{"all nodes are replaced one by one", func(g *group) {
			for _, v := range [][2]waxwingseam.ServerName{{"a", "d"}, {"b", "e"}, {"c", "f"}} {
				g.start(v[1], 1)
				g.advance(2 * time.Second)
				drain(g, v[0], false)
				g.stop(v[0])
			}
		}, "f", "may-have-run:key-conflict", "run"},
		{"a quorum is lost", func(g *group) { g.stop("a", "b") }, "c", "may-have-run:key-conflict", unproven},
		{"a quorum is lost and restarted", func(g *group) {
			g.stop("a", "b")
			g.start("a", 2)
			g.start("b", 2)
			g.advance(5 * time.Second)
		}, "a", "may-have-run:key-conflict", unproven},
		{"a quorum was restarted long ago", func(g *group) {
			g.stop("a", "b")
			g.start("a", 2)
			g.start("b", 2)
			g.advance(keyRetention + 5*time.Second)
		}, "a", "run", "run"},
		{"all are restarted at once", func(g *group) {
			g.stop("a", "b", "c")
			for _, name := range []waxwingseam.ServerName{"a", "b", "c"} {
				g.start(name, 2)
			}
			g.advance(5 * time.Second)
		}, "a", unproven, unproven},
		{"all were restarted long ago", func(g *group) {
			g.stop("a", "b", "c")
			for _, name := range []waxwingseam.ServerName{"a", "b", "c"} {
				g.start(name, 2)
			}
			g.advance(keyRetention + 5*time.Second)
		}, "c", "run", "run"},
		{"one was lost long ago, then another", func(g *group) {
			g.stop("a")
			g.advance(keyRetention + 2*time.Second)
			g.stop("b")
		}, "c", unproven, unproven},
		{"two of five were lost long ago, then a third", func(g *group) {
			g.start("d", 1)
			g.start("e", 1)
			g.advance(2 * time.Second)
			g.stop("a", "b")
			g.advance(keyRetention + 2*time.Second)
			g.stop("c")
		}, "d", "run", "run"},
		{"the key has expired", func(g *group) { g.advance(keyRetention + time.Second) }, "b", "run", "run"},
	} {
		t.Run(v.name, func(t *testing.T) {
			g := newGroup("a", "b", "c")
			qt.Assert(t, g.call("a", "lot-7", 1), qt.Equals, "run")
			v.change(g)
			qt.Assert(t, g.call(v.at, "lot-7", 2), qt.Equals, v.want)
			qt.Assert(t, g.call(v.at, "lot-8", 3), qt.Equals, v.wantNewKey)
		})
	}
}

// TestSimultaneousJoins checks that two nodes that join at the same time do not
// wait for each other after the first answers to both are lost.
func TestSimultaneousJoins(t *testing.T) {
	g := newGroup("a")
	g.start("b", 1)
	g.start("c", 1)
	g.nodes["b"].answersLost, g.nodes["c"].answersLost = true, true
	g.advance(2 * time.Second)
	qt.Assert(t, g.call("b", "lot-7", 1), qt.Equals, unproven)
	g.nodes["b"].answersLost, g.nodes["c"].answersLost = false, false
	g.advance(3 * time.Second)
	qt.Assert(t, g.call("b", "lot-8", 2), qt.Equals, "run")
	qt.Assert(t, g.call("c", "lot-8", 3), qt.Equals, "relay to b")
}

// TestClaimsAreBounded checks that new keys are refused at the maximum number of
// claims, and that recorded claims are not removed.
func TestClaimsAreBounded(t *testing.T) {
	g := newGroup("a", "b", "c")
	for n := range uint64(1000) {
		qt.Assert(t, g.call("a", fmt.Sprint(n), n+1), qt.Equals, "run")
	}
	qt.Assert(t, g.call("a", "more", 2000), qt.Equals, "did-not-run:overloaded")
	qt.Assert(t, g.call("b", "0", 2001), qt.Equals, "relay to a")
}
