package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/runner"
)

// loopbackNode is a process on loopback sockets.
type loopbackNode struct {
	self  waxwingseam.Server
	step  func(func(waxwingseam.Stamp) waxwingseam.Event)
	entry *httptest.Server
}

func newLoopbackNode(b *testing.B, self waxwingseam.Server, backend string) *loopbackNode {
	ctx, cancel := context.WithCancel(context.Background())
	server, err := messenger.Listen(ctx, messenger.ServerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	qt.Assert(b, err, qt.IsNil)
	self.Node = server.Address()
	r := runner.New(runner.Config{Reducer: newReducer(self)})
	config := forwarder.Config{Step: r.Step, Self: self, Dialer: messenger.Dialer{}, Arbitrated: true}
	if backend != "" {
		config.Backend = netip.MustParseAddrPort(strings.TrimPrefix(backend, "http://"))
	}
	f := forwarder.New(config)
	r.Attach(f)
	qt.Assert(b, f.Register(server), qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx)
	}()
	entry := httptest.NewUnstartedServer(nil)
	entry.Config = forwarder.NewServer(f.Entry())
	entry.Start()
	b.Cleanup(func() {
		entry.Close()
		f.Close()
		cancel()
		<-done
	})
	r.Step(func(s waxwingseam.Stamp) waxwingseam.Event { return waxwingseam.SetAdopted{Stamp: s, Set: testSet()} })
	return &loopbackNode{self: self, step: r.Step, entry: entry}
}

// measureLatency makes b.N calls at a rate and reports their latency.
func measureLatency(b *testing.B, rate int, call func(n int)) {
	histogram := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var all sync.WaitGroup
	interval := time.Second / time.Duration(rate)
	start := time.Now()
	b.ResetTimer()
	for n := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(n) * interval)))
		all.Go(func() {
			began := time.Now()
			call(n)
			elapsed := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			_ = histogram.RecordValue(int64(elapsed))
		})
	}
	all.Wait()
	for _, q := range []float64{50, 99} {
		b.ReportMetric(float64(histogram.ValueAtQuantile(q))/1e3, fmt.Sprintf("p%v-µs", q))
	}
}

// BenchmarkCall measures a call of 1 kB each way: directly to the backend server,
// through two nodes, and with a key whose claim three nodes grant.
func BenchmarkCall(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	defer backend.Close()
	front := newLoopbackNode(b, waxwingseam.Server{}, "")
	backs := make([]waxwingseam.Server, 3)
	nodes := make([]*loopbackNode, 3)
	for i := range nodes {
		self := waxwingseam.Server{Name: waxwingseam.ServerName(fmt.Sprint("ledger-", i)), Service: "ledger", Incarnation: 1}
		nodes[i] = newLoopbackNode(b, self, backend.URL)
		backs[i] = nodes[i].self
	}
	for _, n := range append(nodes, front) {
		n.step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.ServersUpdated{Stamp: s, Servers: backs}
		})
	}
	time.Sleep(5 * time.Second)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	body := bytes.Repeat([]byte("b"), 1024)
	post := func(url, key string) {
		r, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
		if key != "" {
			r.Header.Set(forwarder.HeaderKey, key)
		}
		res, err := client.Do(r)
		if err != nil {
			b.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			b.Error(res.Status)
		}
	}
	for _, rate := range []int{135, 2000} {
		b.Run(fmt.Sprintf("direct/rate=%d", rate), func(b *testing.B) {
			measureLatency(b, rate, func(int) { post(backend.URL+"/marks", "") })
		})
		b.Run(fmt.Sprintf("nodes/rate=%d", rate), func(b *testing.B) {
			measureLatency(b, rate, func(int) { post(front.entry.URL+"/ledger/marks", "") })
		})
		b.Run(fmt.Sprintf("keyed/rate=%d", rate), func(b *testing.B) {
			run := time.Now().UnixNano()
			measureLatency(b, rate, func(n int) { post(front.entry.URL+"/ledger/marks", fmt.Sprint(run, "-", n)) })
		})
	}
}

// BenchmarkDigest measures the digest of one body. A call computes at most four:
// one for each direction at both ends.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("%dkB", size>>10), func(b *testing.B) {
			body := make([]byte, size)
			b.SetBytes(int64(size))
			for b.Loop() {
				_ = xxhash.Sum64(body)
			}
		})
	}
}

// message is one request or reply of the compared transports.
type message struct {
	ID   uint64 `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// peer echoes messages: one per call, or all over one stream.
type peer interface {
	One(ctx context.Context, m *message) (*message, error)
	Many(stream drpc.Stream) error
}

type echoPeer struct{}

func (echoPeer) One(_ context.Context, m *message) (*message, error) { return m, nil }

func (echoPeer) Many(stream drpc.Stream) error {
	var mu sync.Mutex
	for {
		var m message
		if err := stream.MsgRecv(&m, messenger.Encoding); err != nil {
			return err
		}
		go func() {
			mu.Lock()
			defer mu.Unlock()
			_ = stream.MsgSend(&m, messenger.Encoding)
		}()
	}
}

func newEchoPeer(b *testing.B) func() *drpcconn.Conn {
	ctx, cancel := context.WithCancel(context.Background())
	server, err := messenger.Listen(ctx, messenger.ServerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, server.Register(echoPeer{}, messenger.Description{
		{Name: "/peer/One", Expression: peer.One, Receiver: func(s any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return s.(peer).One(ctx, in.(*message))
		}},
		{Name: "/peer/Many", Expression: peer.Many, Receiver: func(s any, _ context.Context, in, _ any) (drpc.Message, error) {
			return nil, s.(peer).Many(in.(drpc.Stream))
		}},
	}), qt.IsNil)
	go func() { _ = server.Serve(ctx) }()
	b.Cleanup(cancel)
	return func() *drpcconn.Conn {
		conn, err := messenger.Dialer{}.Dial(ctx, server.Address())
		qt.Assert(b, err, qt.IsNil)
		return conn
	}
}

// BenchmarkTransport compares a pool of connections for one call each with one
// stream for all calls, with and without a caller that sends messages of 1 MB.
func BenchmarkTransport(b *testing.B) {
	const workers = 16
	small := make([]byte, 1024)
	big := make([]byte, 1<<20)
	measure := func(b *testing.B, heavy bool, exchange func(worker int, data []byte)) {
		histogram := hdrhistogram.New(1, int64(time.Minute), 3)
		var mu sync.Mutex
		var all sync.WaitGroup
		var remaining atomic.Int64
		remaining.Store(int64(b.N))
		var stop atomic.Bool
		var load sync.WaitGroup
		if heavy {
			load.Go(func() {
				for !stop.Load() {
					exchange(workers, big)
				}
			})
		}
		b.ResetTimer()
		for w := range workers {
			all.Go(func() {
				for remaining.Add(-1) >= 0 {
					began := time.Now()
					exchange(w, small)
					elapsed := time.Since(began)
					mu.Lock()
					_ = histogram.RecordValue(int64(elapsed))
					mu.Unlock()
				}
			})
		}
		all.Wait()
		stop.Store(true)
		load.Wait()
		b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e3, "p50-µs")
		b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e3, "p99-µs")
	}
	for _, heavy := range []bool{false, true} {
		b.Run(fmt.Sprintf("pool/heavy=%v", heavy), func(b *testing.B) {
			dial := newEchoPeer(b)
			conns := make([]*drpcconn.Conn, workers+1)
			for i := range conns {
				conns[i] = dial()
				defer func() { _ = conns[i].Close() }()
			}
			measure(b, heavy, func(w int, data []byte) {
				var out message
				if err := conns[w].Invoke(context.Background(), "/peer/One", messenger.Encoding, &message{Data: data}, &out); err != nil {
					b.Error(err)
				}
			})
		})
		b.Run(fmt.Sprintf("stream/heavy=%v", heavy), func(b *testing.B) {
			conn := newEchoPeer(b)()
			defer func() { _ = conn.Close() }()
			stream, err := conn.NewStream(context.Background(), "/peer/Many", messenger.Encoding)
			qt.Assert(b, err, qt.IsNil)
			var sending sync.Mutex
			waiting := make([]chan struct{}, workers+1)
			for i := range waiting {
				waiting[i] = make(chan struct{}, 1)
			}
			go func() {
				for {
					var m message
					if stream.MsgRecv(&m, messenger.Encoding) != nil {
						return
					}
					waiting[m.ID] <- struct{}{}
				}
			}()
			measure(b, heavy, func(w int, data []byte) {
				sending.Lock()
				err := stream.MsgSend(&message{ID: uint64(w), Data: data}, messenger.Encoding)
				sending.Unlock()
				if err != nil {
					b.Error(err)
					return
				}
				<-waiting[w]
			})
		})
	}
}

// BenchmarkDial measures a new connection to a node and its first call.
func BenchmarkDial(b *testing.B) {
	dial := newEchoPeer(b)
	for b.Loop() {
		conn := dial()
		var out message
		if err := conn.Invoke(context.Background(), "/peer/One", messenger.Encoding, &message{}, &out); err != nil {
			b.Fatal(err)
		}
		_ = conn.Close()
	}
}
