package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/forwarder"
)

// silenceTarget limits how much a silent connection may delay an answer.
const silenceTarget = time.Second

// replyInHalves replies with 400 kB: one half after a second, one after two.
func replyInHalves(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	half := strings.Repeat("h", 200_000)
	for range 2 {
		time.Sleep(time.Second)
		_, _ = io.WriteString(w, half)
		_ = http.NewResponseController(w).Flush()
	}
}

// TestSilentConnection makes the connections between the nodes go silent at each
// stage of a call while new connections work. The call must run once, and the
// caller must receive the whole reply at most silenceTarget later than usual.
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
				tb := newTestbed(t)
				front, back, b := tb.pair(replyInHalves)
				front.call(request{name: "earlier"})
				time.AfterFunc(v.at, func() { tb.net.set(back.self.Node, dropping) })
				if v.at == 0 {
					tb.net.set(back.self.Node, dropping)
				}
				start := time.Now()
				got := front.call(request{name: "x", body: strings.NewReader("lot")})
				qt.Assert(t, got.outcome(), qt.Equals, "completed")
				qt.Assert(t, len(got.body), qt.Equals, 400_000)
				qt.Assert(t, b.runsOfX(), qt.Equals, 1)
				qt.Assert(t, tb.net.dialed(back.self.Node), qt.Equals, 2)
				t.Logf("%v later than usual", time.Since(start)-2*time.Second)
				qt.Assert(t, time.Since(start) <= 2*time.Second+silenceTarget, qt.IsTrue)
			})
		})
	}
}

// TestDelayedOpeningDoesNotRun delays the first connection until the attempt was
// refused over a second one. The call must not run when the delayed opening
// arrives.
func TestDelayedOpeningDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		front, back, b := tb.pair(echo)
		front.call(request{name: "earlier"})
		tb.net.set(back.self.Node, holding)
		back.drain(false)
		got := front.call(request{name: "x", body: strings.NewReader("lot")})
		qt.Assert(t, got.outcome(), qt.Equals, "did-not-run:draining")
		back.drain(true)
		tb.net.set(back.self.Node, passing)
		time.Sleep(5 * time.Second)
		qt.Assert(t, b.runsOfX(), qt.Equals, 0)
	})
}

// TestKilledNode kills the receiving node, and in some cases restarts it at once.
// No call may run twice, or be reported as did-not-run although it ran.
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
				tb := newTestbed(t)
				front, back, b := tb.pair(replyInHalves)
				front.call(request{name: "earlier"})
				killNode := func() {
					back.kill()
					if v.restart {
						tb.newNode(nodeConfig{
							service: "ledger", name: "ledger-1", backend: b.address,
							incarnation: 2, address: back.self.Node,
						})
					}
				}
				if v.kill == 0 {
					killNode()
					synctest.Wait()
				} else {
					time.AfterFunc(v.kill, killNode)
				}
				got := front.call(request{name: "x", body: strings.NewReader("lot")})
				qt.Assert(t, got.outcome(), qt.Equals, v.want)
				time.Sleep(3 * time.Second)
				qt.Assert(t, b.runsOfX(), qt.Equals, v.runs)
			})
		})
	}
}

// TestRepliesOutOfOrder makes calls whose replies arrive late and out of order,
// on connections that cancelled calls used. Each caller must get its own reply.
func TestRepliesOutOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		front, _, _ := tb.pair(func(rw http.ResponseWriter, r *http.Request) {
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
				cancels := n%3 == 0
				if cancels {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, 10*time.Millisecond)
					defer cancel()
				}
				for round := range 5 {
					own := strings.Repeat(fmt.Sprintf("<%d.%d>", n, round), 1+n*50)
					wait := time.Duration((n*37+round*11)%60) * time.Millisecond
					got := front.callWithContext(ctx, request{
						body:   strings.NewReader(own),
						header: map[string]string{"Wait": fmt.Sprint(int64(wait))},
					})
					if got.outcome() == "completed" {
						qt.Check(t, got.body == own, qt.IsTrue, qt.Commentf("%d.%d", n, round))
					} else {
						qt.Check(t, cancels, qt.IsTrue, qt.Commentf("%d.%d %s", n, round, got.outcome()))
					}
				}
			})
		}
		all.Wait()
	})
}

// rawBackend starts a backend server that answers with raw bytes.
func (tb *testbed) rawBackend(serve func(c net.Conn)) *backend {
	b := &backend{address: tb.net.reserve()}
	tb.net.listen(b.address, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		serve(c)
	})
	tb.t.Cleanup(func() { tb.net.kill(b.address) })
	return b
}

// TestInvalidBackendReply runs backend servers that violate HTTP. The caller must
// receive a whole reply or a correct outcome within its timeout.
func TestInvalidBackendReply(t *testing.T) {
	sendParts := func(parts ...string) func(net.Conn) {
		return func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			for _, p := range parts {
				_, _ = io.WriteString(c, p)
				time.Sleep(time.Millisecond)
			}
		}
	}
	endlessHeaders := func(pause time.Duration) func(net.Conn) {
		return func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for {
				if _, err := io.WriteString(c, "More: and more\r\n"); err != nil {
					return
				}
				time.Sleep(pause)
			}
		}
	}
	big := strings.Repeat("b", 1<<20)
	for _, v := range []struct {
		name  string
		serve func(net.Conn)
		body  string
		want  string
		reply string
	}{
		{"closes during the reply", sendParts("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", "half"), "", "may-have-run:server-failed", ""},
		{"closes during a chunked reply", sendParts("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nhalf\r\n"), "", "may-have-run:server-failed", ""},
		{"closes during a long reply", sendParts("HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n", big), "", "broken", ""},
		{"sends more than Content-Length", sendParts("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf and more"), "", "completed", "half"},
		{"sends nothing", sendParts(), "", "may-have-run:server-failed", ""},
		{"sends no HTTP", sendParts("hello\r\n\r\n"), "", "may-have-run:server-failed", ""},
		{"never answers", func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, "", "may-have-run:deadline", ""},
		{"sends endless headers", endlessHeaders(0), "", "may-have-run:server-failed", ""},
		{"sends headers slowly", endlessHeaders(time.Second), "", "may-have-run:deadline", ""},
		{"answers before the body", sendParts("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nearly"), big, "completed", "early"},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t)
				b := tb.rawBackend(v.serve)
				front := tb.newNode(nodeConfig{})
				back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address})
				front.updateServers(back)
				start := time.Now()
				got := front.call(request{body: strings.NewReader(v.body), header: map[string]string{forwarder.HeaderTimeout: "5"}})
				qt.Assert(t, got.outcome(), qt.Equals, v.want)
				qt.Assert(t, time.Since(start) <= 5*time.Second, qt.IsTrue)
				if v.want == "completed" {
					qt.Assert(t, got.body, qt.Equals, v.reply)
				}
			})
		})
	}
}

// TestInterruptedConnection breaks the connection between the nodes at different
// offsets of the upload and of the reply. The caller must receive the whole
// reply, and the call must run once.
func TestInterruptedConnection(t *testing.T) {
	const size = 300_000
	body := strings.Repeat("0123456789", size/10)
	for n := range 24 {
		for _, cut := range [][2]int{{n * 16 << 10, -1}, {-1, n * 16 << 10}} {
			t.Run(fmt.Sprint(cut), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					tb := newTestbed(t)
					front, back, b := tb.pair(echo)
					tb.net.cutNext(back.self.Node, cut[0], cut[1])
					got := front.call(request{name: "x", body: io.MultiReader(strings.NewReader(body))})
					qt.Assert(t, got.outcome(), qt.Equals, "completed")
					qt.Assert(t, got.body == "POST /marks x "+body, qt.IsTrue)
					qt.Assert(t, b.runsOfX(), qt.Equals, 1)
				})
			})
		}
	}
}

// TestAbortedUpload aborts the caller's upload after different numbers of bytes.
// The backend server must never receive such a body as a whole one.
func TestAbortedUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var whole int
		front, _, _ := newTestbed(t).pair(func(_ http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				whole++
			}
		})
		for n := 0; n < 600_000; n += 50_000 {
			body := io.MultiReader(strings.NewReader(strings.Repeat("u", n)), iotest.ErrReader(io.ErrUnexpectedEOF))
			got := front.call(request{body: body})
			qt.Assert(t, got.outcome(), qt.Equals, "may-have-run:cancelled")
		}
		qt.Assert(t, whole, qt.Equals, 0)
	})
}

// TestCallerCancels makes a caller leave while its call runs. Both the request to
// the backend server and the call that the run made must be cancelled.
func TestCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		var mu sync.Mutex
		ended := map[string]time.Duration{}
		start := time.Now()
		wait := func(r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(10 * time.Second):
			}
			mu.Lock()
			defer mu.Unlock()
			ended[r.URL.Path] = time.Since(start)
		}
		fees := tb.newBackend(func(_ http.ResponseWriter, r *http.Request) { wait(r) })
		var outer *node
		ledger := tb.newBackend(func(_ http.ResponseWriter, r *http.Request) {
			go outer.call(request{path: "/fees/inner", header: map[string]string{
				forwarder.HeaderContext: r.Header.Get(forwarder.HeaderContext),
			}})
			wait(r)
		})
		inner := tb.newNode(nodeConfig{service: "fees", name: "fees-1", backend: fees.address})
		outer = tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: ledger.address})
		front := tb.newNode(nodeConfig{})
		front.updateServers(outer)
		outer.updateServers(inner)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		front.callWithContext(ctx, request{path: "/ledger/outer"})
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		qt.Assert(t, ended, qt.DeepEquals, map[string]time.Duration{
			"/outer": 500 * time.Millisecond,
			"/inner": 500 * time.Millisecond,
		})
	})
}

// TestBoundedMemory uploads 64 MB through two nodes to a backend server that
// reads slowly, and downloads as much. Each node must buffer a bounded number of
// bytes, and none at the end.
func TestBoundedMemory(t *testing.T) {
	const (
		size  = 64 << 20
		bound = 4 << 20
	)
	synctest.Test(t, func(t *testing.T) {
		front, back, _ := newTestbed(t).pair(func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, slowReader{r.Body})
			_, _ = io.Copy(w, io.LimitReader(zeros{}, n))
		})
		got := front.callWithContext(context.Background(), request{body: io.LimitReader(zeros{}, size)})
		qt.Assert(t, got.outcome(), qt.Equals, "completed")
		qt.Assert(t, len(got.body), qt.Equals, size)
		synctest.Wait()
		for _, n := range []*node{front, back} {
			held, peak := n.BufferedBytes()
			qt.Assert(t, peak > 0 && peak < bound, qt.IsTrue, qt.Commentf("%d", peak))
			qt.Assert(t, held, qt.Equals, int64(0))
		}
	})
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

type slowReader struct{ io.Reader }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return s.Reader.Read(p)
}

// TestDrain drains a server under load. Calls in flight must complete, and new
// calls must go to the other server until the drain is undone.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		front := tb.newNode(nodeConfig{})
		nodes := make([]*node, 2)
		backends := make([]*backend, 2)
		for i, name := range []waxwingseam.ServerName{"fees-1", "fees-2"} {
			b := tb.newBackend(func(rw http.ResponseWriter, r *http.Request) {
				time.Sleep(time.Second)
				echo(rw, r)
			})
			backends[i] = b
			nodes[i] = tb.newNode(nodeConfig{service: "fees", name: name, backend: b.address})
		}
		front.updateServers(nodes...)
		calls := func(n int) {
			var all sync.WaitGroup
			for range n {
				all.Go(func() {
					got := front.call(request{path: "/fees/lots", name: "x"})
					qt.Check(t, got.outcome(), qt.Equals, "completed")
				})
			}
			all.Wait()
		}
		time.AfterFunc(500*time.Millisecond, func() {
			nodes[0].drain(false)
			nodes[0].drain(false)
		})
		calls(20)
		// Callers have their answers before the receiving node drops the attempts.
		synctest.Wait()
		_, running := nodes[0].ActiveCalls()
		qt.Assert(t, running, qt.Equals, 0)
		before := backends[0].runsOfX()
		qt.Assert(t, before > 0, qt.IsTrue)
		calls(20)
		qt.Assert(t, backends[0].runsOfX(), qt.Equals, before)
		nodes[0].drain(true)
		front.updateServers(nodes[0])
		calls(20)
		qt.Assert(t, backends[0].runsOfX() > before, qt.IsTrue)
	})
}

// TestBrokenBackendConnection breaks the connections to the backend server. A
// call may be reported as did-not-run only if no write of it was attempted.
func TestBrokenBackendConnection(t *testing.T) {
	for _, v := range []struct {
		name  string
		fails string
		gone  bool
		want  string
	}{
		{"refused", "", true, "did-not-run:connection-failed"},
		{"fails at the first write", "write", false, "may-have-run:server-failed"},
		{"silent after the request is written", "silent", false, "may-have-run:connection-silent"},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t)
				front, _, b := tb.pair(echo)
				tb.net.fails[b.address] = v.fails
				if v.gone {
					tb.net.kill(b.address)
				}
				start := time.Now()
				got := front.call(request{body: strings.NewReader("lot")})
				qt.Assert(t, got.outcome(), qt.Equals, v.want)
				qt.Assert(t, time.Since(start) <= silenceTarget, qt.IsTrue)
			})
		})
	}
}

// TestSlowDownloadsFillMemory holds large replies to callers who read nothing. Each node
// must buffer a bounded part of each reply, and nothing once the callers have left.
func TestSlowDownloadsFillMemory(t *testing.T) {
	const (
		size = 8 << 20
		// heldReply is the longest part of one reply that a node holds; it is the limit of
		// the buffer.
		heldReply = 256 << 10
	)
	for _, downloads := range []int{1, 200} {
		t.Run(fmt.Sprint(downloads), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				front, back, _ := newTestbed(t).pair(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.Copy(w, io.LimitReader(zeros{}, size))
				})
				ctx, leave := context.WithCancel(context.Background())
				var done sync.WaitGroup
				for range downloads {
					done.Go(func() {
						defer func() { _ = recover() }()
						r := request{method: http.MethodGet}.build(ctx)
						front.Entry().ServeHTTP(stuckWriter{httptest.NewRecorder(), ctx}, r)
					})
				}
				time.Sleep(time.Second)
				for _, n := range []*node{front, back} {
					held, peak := n.BufferedBytes()
					qt.Check(t, held > 0 && peak <= int64(downloads)*heldReply, qt.IsTrue, qt.Commentf("held %d, peak %d", held, peak))
					t.Logf("%d downloads: %d bytes at the peak", downloads, peak)
				}
				leave()
				done.Wait()
				time.Sleep(time.Minute)
				for _, n := range []*node{front, back} {
					held, _ := n.BufferedBytes()
					qt.Check(t, held, qt.Equals, int64(0))
				}
			})
		})
	}
}

// stuckWriter blocks until its context is done, as for a caller who reads nothing.
type stuckWriter struct {
	http.ResponseWriter
	ctx context.Context
}

func (w stuckWriter) Write([]byte) (int, error) {
	<-w.ctx.Done()
	return 0, w.ctx.Err()
}
