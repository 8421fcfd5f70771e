package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/runner"
)

// departureTarget limits how long a run may go on after its caller has left.
const departureTarget = 500 * time.Millisecond

// untilLeft works for ten seconds, or until nobody waits for the reply.
func untilLeft(_ http.ResponseWriter, r *http.Request) {
	// The server notices the end of the connection once it has read the body.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-time.After(10 * time.Second):
	}
}

// callUntil makes the call x, whose caller leaves after a time.
func (n *node) callUntil(leaves time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), leaves)
	defer cancel()
	n.callWithContext(ctx, request{name: "x", body: strings.NewReader("lot")})
}

// TestCancellationIsLostWithItsConnection guards against runs that go on because the
// connection that carried their attempt fails before, or while, the caller leaves.
func TestCancellationIsLostWithItsConnection(t *testing.T) {
	for _, v := range []struct {
		name string
		// fails is how long before the caller's leaving the connection fails.
		fails time.Duration
		fail  func(n *network, back *node)
	}{
		{"silent since long before", 300 * time.Millisecond, func(n *network, back *node) { n.set(back.self.Node, dropping) }},
		{"silent since just before", time.Millisecond, func(n *network, back *node) { n.set(back.self.Node, dropping) }},
		{"reset just before", time.Nanosecond, func(n *network, back *node) { n.reset(back.self.Node) }},
		{"reset just after", -time.Millisecond, func(n *network, back *node) { n.reset(back.self.Node) }},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t)
				var ended time.Time
				front, back, b := tb.pair(func(w http.ResponseWriter, r *http.Request) {
					untilLeft(w, r)
					ended = time.Now()
				})
				const leaves = time.Second
				left := time.Now().Add(leaves)
				time.AfterFunc(leaves-v.fails, func() { v.fail(tb.net, back) })
				front.callUntil(leaves)
				time.Sleep(15 * time.Second)
				qt.Assert(t, b.runsOfX(), qt.Equals, 1)
				qt.Assert(t, ended.Sub(left) <= departureTarget, qt.IsTrue, qt.Commentf("ended %v after the leaving", ended.Sub(left)))
			})
		})
	}
}

// TestCancelledCallRunsAfterPause guards against a node that stood still, or whose path
// from the sender did, and runs a call whose cancellation has arrived behind it.
func TestCancelledCallRunsAfterPause(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t)
				front, back, b := tb.pair(untilLeft)
				tb.net.stop(back.self.Node)
				time.AfterFunc(pause, func() { tb.net.resume(back.self.Node) })
				for range 20 {
					go front.callUntil(200 * time.Millisecond)
				}
				time.Sleep(15 * time.Second)
				qt.Assert(t, b.runsOfX(), qt.Equals, 0)
			})
		})
	}
}

// TestCallRunsAfterPause guards against callers who have waited through a pause of a node
// and get no answer.
func TestCallRunsAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		front, back, b := tb.pair(echo)
		tb.net.stop(back.self.Node)
		time.AfterFunc(600*time.Millisecond, func() { tb.net.resume(back.self.Node) })
		got := front.call(request{name: "x", body: strings.NewReader("lot")})
		qt.Assert(t, got.outcome(), qt.Equals, "completed")
		qt.Assert(t, b.runsOfX(), qt.Equals, 1)
	})
}

// TestGivenUpRequestReachesServerLater guards against requests that the kernel keeps for a
// backend server while the path to it is silent, and delivers after their run has ended.
func TestGivenUpRequestReachesServerLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		front, _, b := tb.pair(untilLeft)
		tb.net.stop(b.address)
		time.AfterFunc(2*time.Second, func() { tb.net.resume(b.address) })
		front.callUntil(300 * time.Millisecond)
		time.Sleep(15 * time.Second)
		qt.Assert(t, b.runsOfX(), qt.Equals, 0)
	})
}

// cancelsRuns cancels the attempt of each run that is about to begin.
type cancelsRuns struct {
	step func(func(waxwingseam.Stamp) waxwingseam.Event)
}

// Observe implements runner.Observer.
func (c *cancelsRuns) Observe(_ waxwingseam.Event, effects []waxwingseam.Effect) {
	for _, e := range effects {
		if v, ok := e.(waxwingseam.Run); ok {
			c.step(func(s waxwingseam.Stamp) waxwingseam.Event {
				return waxwingseam.AttemptCancelled{Stamp: s, ID: v.Call.ID, Attempt: v.Attempt}
			})
		}
	}
}

// TestRunBeginsAfterCancellation guards against a run that is cancelled between its admission
// and its beginning, and goes on at the backend server for nobody.
func TestRunBeginsAfterCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		var active atomic.Int64
		b := tb.newBackend(func(w http.ResponseWriter, r *http.Request) {
			active.Add(1)
			defer active.Add(-1)
			untilLeft(w, r)
		})
		front := tb.newNode(nodeConfig{})
		cancel := &cancelsRuns{}
		back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address, observers: []runner.Observer{cancel}})
		cancel.step = back.step
		front.updateServers(back)
		for range 50 {
			go front.call(request{name: "x", body: strings.NewReader("lot")})
		}
		time.Sleep(departureTarget)
		qt.Assert(t, active.Load(), qt.Equals, int64(0))
		time.Sleep(time.Minute)
	})
}

// TestCancelledCallIsKept guards against a node that keeps each call whose caller left
// before its run, and runs out of memory.
func TestCancelledCallIsKept(t *testing.T) {
	for _, pause := range []time.Duration{0, 500 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t)
				front, back, b := tb.pair(func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					time.Sleep(800 * time.Millisecond)
				})
				for range 50 {
					go front.call(request{name: "first", body: strings.NewReader("lot")})
				}
				synctest.Wait()
				if pause > 0 {
					tb.net.stop(back.self.Node)
					time.AfterFunc(pause, func() { tb.net.resume(back.self.Node) })
				}
				for range 20 {
					go front.callUntil(200 * time.Millisecond)
				}
				time.Sleep(time.Minute)
				qt.Assert(t, b.runsOfX(), qt.Equals, 0)
				qt.Assert(t, back.HostedCalls(), qt.Equals, 0)
			})
		})
	}
}
