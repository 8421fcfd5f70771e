package forwarder_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/auditor"
	"waxwingseam.example/waxwingseam/recorder"
	"waxwingseam.example/waxwingseam/runner"
)

// ledgers is a testbed with two senders and three servers of one service whose
// calls may not be repeated. Each run takes a second.
type ledgers struct {
	*testbed
	fronts, backs []*node
	backends      []*backend
	logs          []*recording
}

// recording is the event log of one node.
type recording struct {
	*recorder.Recorder
	log  bytes.Buffer
	node *node
}

// newRecordedNode starts a node whose events are recorded.
func (l *ledgers) newRecordedNode(config nodeConfig) *node {
	r := &recording{}
	r.Recorder = recorder.New(recorder.Config{Writer: &r.log})
	config.observers = []runner.Observer{r}
	r.node = l.newNode(config)
	l.logs = append(l.logs, r)
	return r.node
}

func newLedgers(t testing.TB) *ledgers {
	l := &ledgers{testbed: newTestbed(t)}
	for _, name := range []waxwingseam.ServerName{"ledger-1", "ledger-2", "ledger-3"} {
		b := l.newBackend(func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			time.Sleep(time.Second)
			_, _ = rw.Write(body)
		})
		l.backends = append(l.backends, b)
		l.backs = append(l.backs, l.newRecordedNode(nodeConfig{service: "ledger", name: name, backend: b.address}))
	}
	for range 2 {
		l.fronts = append(l.fronts, l.newRecordedNode(nodeConfig{}))
	}
	for _, n := range append(l.fronts, l.backs...) {
		n.updateServers(l.backs...)
	}
	time.Sleep(5 * time.Second)
	return l
}

func (l *ledgers) runs() int {
	n := 0
	for _, b := range l.backends {
		n += b.runsOfX()
	}
	return n
}

// holder returns the node whose backend server ran the call.
func (l *ledgers) holder() *node {
	for i, b := range l.backends {
		if b.runsOfX() > 0 {
			return l.backs[i]
		}
	}
	return nil
}

// others returns the servers except n.
func (l *ledgers) others(n *node) []*node {
	var out []*node
	for _, o := range l.backs {
		if o != n {
			out = append(out, o)
		}
	}
	return out
}

// keyedRequest returns a call with a key.
func keyedRequest() request {
	return request{name: "x", key: "lot-7", body: strings.NewReader("lot 7")}
}

// TestKeyedResends resends a key through the other sender, during and after the
// run: with equal views, with a view that lacks the key's holder, with the holder
// leaving, and with it lost. The key must run once.
func TestKeyedResends(t *testing.T) {
	removeHolder := func(l *ledgers) {
		name := l.holder().self.Name
		l.fronts[1].step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.ServersUpdated{Stamp: s, Gone: []waxwingseam.ServerName{name}}
		})
	}
	for _, v := range []struct {
		name   string
		resend time.Duration
		before func(l *ledgers)
		want   string
	}{
		{"during the run", 500 * time.Millisecond, func(*ledgers) {}, "completed"},
		{"after the run", 3 * time.Second, func(*ledgers) {}, "completed"},
		{"during the run, views differ", 500 * time.Millisecond, removeHolder, "completed"},
		{"after the run, views differ", 3 * time.Second, removeHolder, "completed"},
		{"during the run, its server leaves", 500 * time.Millisecond, func(l *ledgers) {
			l.holder().drain(false)
			removeHolder(l)
		}, "completed"},
		{"after the run, its server is lost", 3 * time.Second, func(l *ledgers) {
			l.holder().kill()
			removeHolder(l)
		}, "may-have-run:connection-failed"},
		{"after the run, its server is lost and removed from the views", 3 * time.Second, func(l *ledgers) {
			lost := l.holder()
			lost.kill()
			for _, n := range append(l.others(lost), l.fronts[1]) {
				n.step(func(s waxwingseam.Stamp) waxwingseam.Event {
					return waxwingseam.ServersUpdated{Stamp: s, Gone: []waxwingseam.ServerName{lost.self.Name}}
				})
			}
		}, "may-have-run:key-conflict"},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLedgers(t)
				first := make(chan answer, 1)
				go func() { first <- l.fronts[0].call(keyedRequest()) }()
				time.Sleep(v.resend)
				v.before(l)
				got := l.fronts[1].call(keyedRequest())
				qt.Assert(t, got.outcome(), qt.Equals, v.want)
				if v.want == "completed" {
					qt.Assert(t, got.body, qt.Equals, "lot 7")
				}
				qt.Assert(t, (<-first).outcome(), qt.Equals, "completed")
				qt.Assert(t, l.runs(), qt.Equals, 1)
			})
		})
	}
}

// TestSenderLost cuts the server that runs a call off from the call's sender. A
// resend through another sender must receive the reply of the same run.
func TestSenderLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedgers(t)
		go l.fronts[0].call(keyedRequest())
		time.Sleep(500 * time.Millisecond)
		holder := l.holder()
		l.net.set(holder.self.Node, dropping)
		got := l.fronts[1].call(keyedRequest())
		qt.Assert(t, got.outcome(), qt.Equals, "completed")
		qt.Assert(t, got.body, qt.Equals, "lot 7")
		qt.Assert(t, l.runs(), qt.Equals, 1)
	})
}

// TestNewServerRanksFirst adds a server that ranks first for a key that has run
// already. It must take over the claims and relay the resend.
func TestNewServerRanksFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedgers(t)
		qt.Assert(t, l.fronts[0].call(keyedRequest()).outcome(), qt.Equals, "completed")
		b := l.newBackend(echo)
		l.backends = append(l.backends, b)
		added := l.newNode(nodeConfig{service: "ledger", name: "ledger-4", backend: b.address})
		added.updateServers(l.backs...)
		for _, n := range l.backs {
			n.updateServers(added)
		}
		l.fronts[1].step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.ServersUpdated{
				Stamp: s, Servers: []waxwingseam.Server{added.self},
				Gone: []waxwingseam.ServerName{"ledger-1", "ledger-2", "ledger-3"},
			}
		})
		for range 3 {
			got := l.fronts[1].call(keyedRequest())
			qt.Assert(t, got.outcome(), qt.Equals, "completed")
			qt.Assert(t, got.body, qt.Equals, "lot 7")
		}
		qt.Assert(t, l.runs(), qt.Equals, 1)
	})
}

// audit checks the logs of all nodes against the runs of the backend servers.
func (l *ledgers) audit() error {
	var input auditor.Input
	for i, b := range l.backends {
		b.mu.Lock()
		for _, r := range b.auditRuns {
			r.Server = l.backs[i].self.Name
			input.Runs = append(input.Runs, r)
		}
		b.mu.Unlock()
	}
	for _, r := range l.logs {
		input.Logs = append(input.Logs, bytes.NewReader(r.log.Bytes()))
	}
	return auditor.Audit(input)
}

// TestRecordAndReplay records five nodes under load, with a silent connection, a
// drain and a loss. The audit of their logs must find nothing, and replayed
// events must have the same effects.
func TestRecordAndReplay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedgers(t)
		var all sync.WaitGroup
		for n := range 40 {
			all.Go(func() {
				time.Sleep(time.Duration(n*97%1500) * time.Millisecond)
				r := request{path: []string{"/ledger/marks", "/fees/lots"}[n%2], body: strings.NewReader("lot")}
				if n%3 == 0 {
					r.key = fmt.Sprint("lot-", n/6)
				}
				l.fronts[n%2].call(r)
			})
		}
		time.Sleep(300 * time.Millisecond)
		l.net.set(l.backs[0].self.Node, dropping)
		time.Sleep(300 * time.Millisecond)
		l.backs[1].drain(false)
		time.Sleep(300 * time.Millisecond)
		l.backs[2].kill()
		all.Wait()
		for _, r := range l.logs {
			qt.Assert(t, r.Flush(), qt.IsNil)
			qt.Assert(t, r.log.Len() > 0, qt.IsTrue)
		}
		qt.Assert(t, l.audit(), qt.IsNil)
		qt.Assert(t, len(l.backends[0].auditRuns) > 0, qt.IsTrue)
		for _, r := range l.logs {
			findings, err := recorder.Replay(recorder.NewReader(&r.log, recorder.DefaultCatalog()), newReducer(r.node.self))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, findings.OrNil(), qt.IsNil)
		}
	})
}

// TestNoQuorum kills two of three servers. A key must not run if no quorum can
// tell whether it was used before.
func TestNoQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedgers(t)
		l.backs[0].kill()
		l.backs[1].kill()
		l.fronts[1].step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.ServersUpdated{Stamp: s, Gone: []waxwingseam.ServerName{"ledger-1", "ledger-2"}}
		})
		got := l.fronts[1].call(keyedRequest())
		qt.Assert(t, got.outcome(), qt.Equals, "may-have-run:key-unproven")
		qt.Assert(t, l.runs(), qt.Equals, 0)
		got = l.fronts[1].call(request{name: "y"})
		qt.Assert(t, got.outcome(), qt.Equals, "completed")
	})
}

// TestNewKeysAfterServerLoss loses one of three servers without removing it from
// the views. New keys must be delayed by at most silenceTarget, including those
// that the lost server would hold.
func TestNewKeysAfterServerLoss(t *testing.T) {
	for _, loss := range []struct {
		name string
		do   func(l *ledgers)
	}{
		{"killed", func(l *ledgers) { l.backs[0].kill() }},
		{"silent", func(l *ledgers) { l.net.set(l.backs[0].self.Node, dropping) }},
	} {
		t.Run(loss.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLedgers(t)
				loss.do(l)
				for n := range 20 {
					start := time.Now()
					got := l.fronts[0].call(request{name: "x", key: fmt.Sprint("lot-", n), body: strings.NewReader("lot 7")})
					qt.Assert(t, got.outcome(), qt.Equals, "completed")
					qt.Assert(t, time.Since(start) <= time.Second+silenceTarget, qt.IsTrue)
				}
				qt.Assert(t, l.runs(), qt.Equals, 20)
			})
		})
	}
}

// TestAddedLatency checks that the network between the nodes adds at most one round
// trip to a call, and two to a call with a key, because of the claim.
func TestAddedLatency(t *testing.T) {
	for _, oneWay := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond} {
		synctest.Test(t, func(t *testing.T) {
			l := newLedgers(t)
			l.net.setDelay(oneWay)
			time.Sleep(5 * time.Second)
			added := func(key string) time.Duration {
				r := keyedRequest()
				r.key = key
				start := time.Now()
				qt.Assert(t, l.fronts[0].call(r).outcome(), qt.Equals, "completed")
				return time.Since(start) - time.Second
			}
			plain, keyed := added(""), added("lot-8")
			t.Logf("one-way latency %v: %v added, %v with a key", oneWay, plain, keyed)
			qt.Assert(t, plain <= 2*oneWay, qt.IsTrue)
			qt.Assert(t, keyed <= 4*oneWay, qt.IsTrue)
		})
	}
}
