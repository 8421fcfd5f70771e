package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// silenceTarget bounds the time until a silent connection is left.
const silenceTarget = time.Second

// slowly answers with 400 kB in two halves, after a second and after two.
func slowly(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	half := strings.Repeat("h", 200_000)
	for range 2 {
		time.Sleep(time.Second)
		_, _ = io.WriteString(w, half)
		_ = http.NewResponseController(w).Flush()
	}
}

// TestSilentConnection lets the connections between the nodes go silent at
// each stage of a call while new ones work: the caller gets the whole reply in
// the usual time and the target, and the call runs once.
func TestSilentConnection(t *testing.T) {
	for _, v := range []struct {
		name string
		at   time.Duration
	}{
		{"before the request", 0},
		{"while the call runs", 500 * time.Millisecond},
		{"during the reply", 1500 * time.Millisecond},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				front, back, b := w.pair(slowly)
				front.call(request{name: "earlier"})
				time.AfterFunc(v.at, func() { w.net.set(back.self.Node, vanishing) })
				if v.at == 0 {
					w.net.set(back.self.Node, vanishing)
				}
				start := time.Now()
				got := front.call(request{name: "x", body: strings.NewReader("lot")})
				qt.Assert(t, got.said(), qt.Equals, "completed")
				qt.Assert(t, len(got.body), qt.Equals, 400_000)
				qt.Assert(t, b.ran("x"), qt.Equals, 1)
				qt.Assert(t, w.net.dialed(back.self.Node), qt.Equals, 2)
				qt.Assert(t, time.Since(start) <= 2*time.Second+silenceTarget, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			})
		})
	}
}

// TestLateOpening holds the first connection back, so that the attempt is
// refused over a second one; what the first one brings later must not run.
func TestLateOpening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		front, back, b := w.pair(echo)
		front.call(request{name: "earlier"})
		w.net.set(back.self.Node, holding)
		back.drain(false)
		got := front.call(request{name: "x", body: strings.NewReader("lot")})
		qt.Assert(t, got.said(), qt.Equals, "did-not-run:draining")
		back.drain(true)
		w.net.set(back.self.Node, passing)
		time.Sleep(5 * time.Second)
		qt.Assert(t, b.ran("x"), qt.Equals, 0)
	})
}

// TestKilledNode kills the receiving node and starts it again at once under
// its address: nothing runs twice, and no did-not-run is false.
func TestKilledNode(t *testing.T) {
	for _, v := range []struct {
		name    string
		kill    time.Duration
		restart bool
		want    string
		runs    int
	}{
		{"idle, and restarted", 0, true, "completed", 1},
		{"idle, and gone", 0, false, "did-not-run:connection-failed", 0},
		{"running, and restarted", 500 * time.Millisecond, true, "may-have-run:connection-failed", 1},
		{"running, and gone", 500 * time.Millisecond, false, "may-have-run:connection-failed", 1},
		{"replying, and restarted", 1500 * time.Millisecond, true, "broken", 1},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				front, back, b := w.pair(slowly)
				front.call(request{name: "earlier"})
				strike := func() {
					back.kill()
					if v.restart {
						w.newNode(nodeConfig{
							service: "ledger", name: "ledger-1", backend: b.address,
							incarnation: 2, address: back.self.Node,
						})
					}
				}
				if v.kill == 0 {
					strike()
				} else {
					time.AfterFunc(v.kill, strike)
				}
				got := front.call(request{name: "x", body: strings.NewReader("lot")})
				qt.Assert(t, got.said(), qt.Equals, v.want)
				time.Sleep(3 * time.Second)
				qt.Assert(t, b.ran("x"), qt.Equals, v.runs)
			})
		})
	}
}

// TestCrossedReplies makes calls whose replies come late and out of order, on
// connections that cancelled calls used before: each caller gets its own.
func TestCrossedReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		front, _, _ := w.pair(func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			var wait time.Duration
			_, _ = fmt.Sscan(r.Header.Get("Wait"), (*int64)(&wait))
			time.Sleep(wait)
			_, _ = rw.Write(body)
		})
		var all sync.WaitGroup
		for n := range 40 {
			all.Go(func() {
				ctx := context.Background()
				left := n%3 == 0
				if left {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, 10*time.Millisecond)
					defer cancel()
				}
				for round := range 5 {
					own := strings.Repeat(fmt.Sprintf("<%d.%d>", n, round), 1+n*50)
					wait := time.Duration((n*37+round*11)%60) * time.Millisecond
					got := front.callIn(ctx, request{
						body:   strings.NewReader(own),
						header: map[string]string{"Wait": fmt.Sprint(int64(wait))},
					})
					if got.said() == "completed" {
						qt.Check(t, got.body == own, qt.IsTrue, qt.Commentf("%d.%d", n, round))
					} else {
						qt.Check(t, left, qt.IsTrue, qt.Commentf("%d.%d %s", n, round, got.said()))
					}
				}
			})
		}
		all.Wait()
	})
}
