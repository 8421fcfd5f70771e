package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// ExampleNew ends three servers of a service with one request.
func ExampleNew() {
	w := newWorld(4)
	w.prove()
	for _, v := range w.nodes[:3] {
		v.end("GET /lots/5")
		w.pass(time.Second)
	}
	fmt.Println(w.nodes[3].allows("GET /lots/5"), w.nodes[3].allows("GET /lots/6"))
	// Output: false true
}

// killer is a request that ends each server that runs it.
const killer = "killer"

// learningTime is the time within which all nodes must know a request that has ended three
// servers.
const learningTime = 3 * time.Second

// prove has each server complete a run, so that its end says something.
func (w *world) prove() {
	for n, v := range w.nodes {
		v.serve(fmt.Sprintf("usual-%d", n))
	}
}

// endThree has the killer end three servers.
func (w *world) endThree() {
	w.prove()
	for _, v := range w.nodes[:3] {
		v.end(killer)
		w.pass(100 * time.Millisecond)
	}
}

// TestQuarantinedRequestRunsAtAnotherNode has a request end three servers. No node may let
// it run after that, wherever it comes.
func TestQuarantinedRequestRunsAtAnotherNode(t *testing.T) {
	w := newWorld(13)
	w.endThree()
	w.pass(learningTime)
	qt.Assert(t, w.allowing(killer), qt.Equals, 0)
	qt.Assert(t, w.allowing("other"), qt.Equals, 13)
	qt.Assert(t, w.nodes[12].changes, qt.HasLen, 1)
	qt.Assert(t, w.nodes[12].changes[0].Ends, qt.Equals, 3)
}

// TestNodeThatWasCutOffRunsQuarantinedRequest cuts a node off while the request ends servers.
func TestNodeThatWasCutOffRunsQuarantinedRequest(t *testing.T) {
	w := newWorld(13)
	cut := w.nodes[7]
	cut.cut = true
	w.endThree()
	w.pass(10 * time.Second)
	qt.Assert(t, cut.allows(killer), qt.IsTrue)
	cut.cut = false
	w.pass(learningTime)
	qt.Assert(t, cut.allows(killer), qt.IsFalse)
}

// TestRestartedNodeRunsQuarantinedRequest restarts the nodes one after another, among them
// those that noticed the ends.
func TestRestartedNodeRunsQuarantinedRequest(t *testing.T) {
	w := newWorld(6)
	w.endThree()
	w.pass(time.Second)
	for _, v := range w.nodes {
		self := v.context.Self
		self.Incarnation++
		v.start(self)
		w.introduce()
		w.pass(500 * time.Millisecond)
		qt.Assert(t, v.allows(killer), qt.IsFalse)
	}
}

// TestRequestsBesideTheCauseAreRefused runs others beside the request that ends servers, and
// sends them on to the next server like the retries of their callers.
func TestRequestsBesideTheCauseAreRefused(t *testing.T) {
	w := newWorld(6)
	w.prove()
	beside := make([]string, 0, 90)
	for n := range 90 {
		beside = append(beside, fmt.Sprintf("beside-%d", n))
	}
	for _, v := range w.nodes[:3] {
		v.end(slices.Concat(beside, []string{killer})...)
		w.pass(60 * time.Millisecond)
	}
	w.nodes[3].end(killer)
	w.pass(learningTime)
	qt.Assert(t, w.allowing(killer), qt.Equals, 0)
	for _, r := range beside {
		qt.Assert(t, w.allowing(r), qt.Equals, 6)
	}
}

// TestPopularRequestIsRefusedAfterPowerLoss ends all servers at once while a popular request
// runs at each, as a loss of power does.
func TestPopularRequestIsRefusedAfterPowerLoss(t *testing.T) {
	w := newWorld(6)
	w.prove()
	w.nodes[0].serve("popular")
	w.pass(time.Second)
	for _, v := range w.nodes {
		v.end("popular")
	}
	w.pass(learningTime)
	qt.Assert(t, w.allowing("popular"), qt.Equals, 6)
}

// TestRunningWellIsNotNoticed lets a request that is refused run well where it had been
// running already.
func TestRunningWellIsNotNoticed(t *testing.T) {
	w := newWorld(6)
	w.endThree()
	w.pass(learningTime)
	w.nodes[5].serve(killer)
	w.pass(time.Second)
	qt.Assert(t, w.allowing(killer), qt.Equals, 6)
	last := w.nodes[0].changes[len(w.nodes[0].changes)-1]
	qt.Assert(t, last.State, qt.Equals, waxwingseam.QuarantineLifted)
}

// TestFaultyServerHasCallersRefusedElsewhere has one server end of all that it runs, while its
// callers' requests are not tried elsewhere. They must be, and run well there.
func TestFaultyServerHasCallersRefusedElsewhere(t *testing.T) {
	w := newWorld(6)
	w.prove()
	for range 20 {
		w.nodes[2].serve("usual")
		w.nodes[2].end("sound")
		w.pass(time.Second)
	}
	qt.Assert(t, w.nodes[2].allows("sound"), qt.IsFalse)
	qt.Assert(t, w.allowing("sound"), qt.Equals, 5)
	w.nodes[3].serve("sound")
	w.pass(time.Second)
	qt.Assert(t, w.allowing("sound"), qt.Equals, 6)
}

// TestRequestGoesOnEndingOneServer has a request come to the same server each time. It must be
// kept from that server after three ends, and from all after it has ended another one.
func TestRequestGoesOnEndingOneServer(t *testing.T) {
	w := newWorld(6)
	w.prove()
	ends := 0
	for range 20 {
		w.nodes[2].serve("usual")
		if w.nodes[2].allows(killer) {
			w.nodes[2].end(killer)
			ends++
		}
		w.pass(time.Second)
	}
	qt.Assert(t, ends, qt.Equals, 3)
	w.nodes[4].end(killer)
	w.pass(time.Second)
	qt.Assert(t, w.allowing(killer), qt.Equals, 0)
}

// TestFaultyServerHidesTheCause has one server end of all that it runs, while a request ends
// the others.
func TestFaultyServerHidesTheCause(t *testing.T) {
	w := newWorld(6)
	w.prove()
	for range 20 {
		w.nodes[5].end("sound")
		w.pass(100 * time.Millisecond)
	}
	w.endThree()
	w.pass(learningTime)
	qt.Assert(t, w.allowing(killer), qt.Equals, 0)
}

// TestFaultyVersionHasCallersRefusedForLong has all servers end of all that they run until a
// better version comes. Requests must be tried again after a minute.
func TestFaultyVersionHasCallersRefusedForLong(t *testing.T) {
	w := newWorld(6)
	for range 4 {
		for _, v := range w.nodes {
			v.end("sound")
			w.pass(50 * time.Millisecond)
		}
	}
	w.pass(learningTime)
	qt.Assert(t, w.allowing("sound"), qt.Equals, 0)
	w.pass(time.Minute)
	qt.Assert(t, w.allowing("sound"), qt.Equals, 1)
}

// TestResetConnectionsCountAsEnds resets all connections of servers that live on.
func TestResetConnectionsCountAsEnds(t *testing.T) {
	w := newWorld(6)
	w.prove()
	for _, v := range w.nodes {
		v.breakOff("sound")
		v.probed(false)
	}
	w.pass(learningTime)
	qt.Assert(t, w.allowing("sound"), qt.Equals, 6)
	for _, v := range w.nodes {
		qt.Assert(t, v.ended, qt.HasLen, 0)
	}
}

// TestPlannedEndsAccuseRequests stops servers that were drained before.
func TestPlannedEndsAccuseRequests(t *testing.T) {
	w := newWorld(6)
	w.prove()
	for _, v := range w.nodes {
		v.drainer.SetWithdrawn(v.context, true)
		v.end("sound")
	}
	w.pass(learningTime)
	qt.Assert(t, w.allowing("sound"), qt.Equals, 6)
}

// TestRestartIsMissed restarts servers so fast that no connection is refused; they report
// their new starts.
func TestRestartIsMissed(t *testing.T) {
	w := newWorld(6)
	w.prove()
	for n, v := range w.nodes[:3] {
		for life := range 2 {
			if life == 1 {
				v.serve("usual")
				v.breakOff(killer)
				v.probed(false)
			}
			v.context.Self.Instance = fmt.Sprintf("i-%d-%d", n, life)
			v.step(func(s waxwingseam.Stamp) waxwingseam.Event { return waxwingseam.BackendReported{Stamp: s} })
		}
	}
	w.pass(learningTime)
	qt.Assert(t, w.allowing(killer), qt.Equals, 0)
}

// TestCallersThatLeaveAreNotSuspected has the callers leave before the server ends.
func TestCallersThatLeaveAreNotSuspected(t *testing.T) {
	w := newWorld(6)
	w.prove()
	for n, v := range w.nodes[:3] {
		v.step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.RunEnded{
				Stamp: s, Result: waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonCancelled},
				Fingerprint: fingerprint(killer),
			}
		})
		w.pass(30 * time.Millisecond)
		v.end(fmt.Sprintf("beside-%d", n))
	}
	w.pass(learningTime)
	qt.Assert(t, w.allowing(killer), qt.Equals, 0)
}

// TestTrialsRunTogether waits until a quarantine has ended. One node at a time may try the
// request, and a further end refuses it again.
func TestTrialsRunTogether(t *testing.T) {
	w := newWorld(13)
	w.endThree()
	w.pass(time.Hour)
	qt.Assert(t, w.allowing(killer), qt.Equals, 1)
	qt.Assert(t, w.allowing(killer), qt.Equals, 0)
	var trier *node
	for _, v := range w.nodes {
		v.serve("usual")
		v.step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.RunEnded{Stamp: s, ID: waxwingseam.NewCallID(1, v.calls-1)}
		})
		if v.allows(killer) {
			trier = v
		}
	}
	trier.end(killer)
	w.pass(time.Second)
	qt.Assert(t, w.allowing(killer), qt.Equals, 0)
	w.pass(3 * time.Hour)
	qt.Assert(t, w.allowing(killer), qt.Equals, 13)
}

// TestKnowledgeGrowsWithoutBound has a caller end servers with ever new requests, beside many
// others. The oldest ends are forgotten first, but not those that a quarantine is based on.
func TestKnowledgeGrowsWithoutBound(t *testing.T) {
	w := newWorld(4)
	w.endThree()
	w.pass(time.Second)
	for n := range 400 {
		w.nodes[n%4].end(fmt.Sprintf("%d-once", n), fmt.Sprintf("%d-beside", n))
		w.pass(60 * time.Millisecond)
	}
	w.pass(learningTime)
	qt.Assert(t, w.allowing(killer), qt.Equals, 0)
	qt.Assert(t, w.largest <= 3*128, qt.IsTrue, qt.Commentf("%d requests", w.largest))
	before := w.messages
	w.pass(10 * time.Second)
	// Two comparisons a second and node, and their answers.
	qt.Assert(t, w.messages-before <= 10*4*2, qt.IsTrue, qt.Commentf("%d messages", w.messages-before))
}

// order has an operator lift or set a quarantine at one node.
func (v *node) order(request string, lift bool) {
	v.step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.QuarantineOrdered{Stamp: s, Order: waxwingseam.QuarantineOrder{Digest: fingerprint(request).Digest, Lift: lift}}
	})
}

// TestOperatorsOrderStaysAtOneNode lifts and sets a quarantine at one node.
func TestOperatorsOrderStaysAtOneNode(t *testing.T) {
	w := newWorld(6)
	w.endThree()
	w.pass(time.Second)
	w.nodes[4].order(killer, true)
	w.pass(time.Second)
	qt.Assert(t, w.allowing(killer), qt.Equals, 6)
	w.nodes[2].order(killer, false)
	w.pass(time.Second)
	qt.Assert(t, w.allowing(killer), qt.Equals, 0)
}

// TestNodesDisagree has servers end and requests run well at random, while nodes are cut off and
// restart. Half a minute after that, all nodes must decide alike on each request.
func TestNodesDisagree(t *testing.T) {
	const requests = 8
	for seed := range uint64(20) {
		w := newWorld(6)
		w.random = rand.New(rand.NewPCG(seed, 1))
		for range 150 {
			v := w.nodes[w.random.IntN(len(w.nodes))]
			request := fmt.Sprintf("request-%d", w.random.IntN(requests))
			switch w.random.IntN(8) {
			case 0:
				v.serve(request)
			case 1:
				v.cut = !v.cut
			case 2:
				self := v.context.Self
				self.Incarnation++
				v.start(self)
				w.introduce()
			case 3:
				v.serve("usual")
			default:
				v.end(request, fmt.Sprintf("request-%d", w.random.IntN(requests)))
			}
			w.pass(time.Duration(w.random.Int64N(int64(time.Second))))
		}
		for _, v := range w.nodes {
			v.cut = false
		}
		w.introduce()
		w.pass(30 * time.Second)
		for n := range requests {
			request := fmt.Sprintf("request-%d", n)
			first := w.nodes[0].refusesEverywhere(request)
			for _, v := range w.nodes {
				qt.Assert(t, v.refusesEverywhere(request), qt.Equals, first, qt.Commentf("seed %d, %s at %s", seed, request, v.context.Self.Name))
			}
		}
	}
}

// refusesEverywhere reports whether the node refuses a request on behalf of all servers.
func (v *node) refusesEverywhere(request string) bool {
	v.context.Begin(waxwingseam.Stamp{Now: v.world.now})
	reason, _ := v.quarantine.Check(v.context, waxwingseam.NewCallID(2, 1), fingerprint(request))
	return reason == waxwingseam.ReasonQuarantined
}

// TestOldEndOverflowsTable has a node with a full table receive an older end of a request that
// has run well there. The end is forgotten at once, and the node must go on.
func TestOldEndOverflowsTable(t *testing.T) {
	w := newWorld(2)
	v := w.nodes[0]
	for n := range 200 {
		v.end(fmt.Sprintf("%d-once", n))
		w.pass(60 * time.Millisecond)
	}
	v.serve("usual")
	v.step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.EndsReceived{Stamp: s, Message: waxwingseam.EndsMessage{
			From: w.nodes[1].context.Self.Node,
			Ends: []waxwingseam.ServerEnd{{
				ID: waxwingseam.ServerEndID{Server: "desk-9", Incarnation: 1, Number: 1}, Service: "desk", Age: time.Hour,
				Requests: []waxwingseam.EndedRequest{{Fingerprint: fingerprint("usual")}, {}},
			}},
		}}
	})
	w.pass(time.Second)
	qt.Assert(t, v.allows("usual"), qt.IsTrue)
}
