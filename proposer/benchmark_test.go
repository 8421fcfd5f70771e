package proposer

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"waxwingseam.example/waxwingseam"
)

// register is a state machine that stores only the last command, as a control
// replica stores the latest set.
type register struct {
	commandLog
}

func (c *register) Apply(_ waxwingseam.LogIndex, command []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = []string{string(command)}
	return nil
}

// latencies collects durations and reports their percentiles in milliseconds.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (l *latencies) since(start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(time.Since(start).Microseconds())
}

func (l *latencies) report(b *testing.B) {
	for _, p := range []float64{50, 99, 100} {
		b.ReportMetric(float64(l.histogram.ValueAtQuantile(p))/1000, fmt.Sprintf("p%.0f-ms", p))
	}
}

// BenchmarkPropose measures the time until a command is committed and applied and
// its answer returned, including the sync on a quorum.
func BenchmarkPropose(b *testing.B) {
	for _, v := range []struct {
		replicas, proposers, size int
	}{
		{1, 1, 256},
		{3, 1, 256},
		{3, 16, 256},
		{3, 128, 256},
		{3, 1, 64 << 10},
		{3, 1, 256 << 10},
		{3, 1, 1 << 20},
	} {
		b.Run(fmt.Sprintf("replicas=%d/proposers=%d/bytes=%d", v.replicas, v.proposers, v.size), func(b *testing.B) {
			leader := startLeader(b, v.replicas)
			command := bytes.Repeat([]byte("x"), v.size)
			times := newLatencies()
			var next atomic.Int64
			var wait sync.WaitGroup
			b.ResetTimer()
			for range v.proposers {
				wait.Go(func() {
					for next.Add(1) <= int64(b.N) {
						start := time.Now()
						_, err := leader.Propose(b.Context(), command)
						qt.Check(b, err, qt.IsNil)
						times.since(start)
					}
				})
			}
			wait.Wait()
			times.report(b)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
		})
	}
}

// startLeader starts n voters and returns the leader.
func startLeader(b *testing.B, n int) *replica {
	b.Helper()
	return startReplicas(b, n, 0, nil)[0]
}

// startReplicas starts voters and learners with the default limits, and waits
// until each replica sees all voters. If count is set, the replicas reach one
// another through relays that count the bytes.
func startReplicas(b *testing.B, voters, learners int, count *atomic.Int64) []*replica {
	b.Helper()
	folder := b.TempDir()
	n := voters + learners
	replicas := make([]*replica, 0, n)
	var join []netip.AddrPort
	for i := range n {
		s := launchOptions{folder: folder, name: string(rune('a' + i)), listen: loopback, join: join, applier: &register{}, learner: i >= voters}
		var to atomic.Pointer[netip.AddrPort]
		if count != nil {
			s.advertise = relay(b, &to, count)
		}
		r, err := launch(b, s)
		qt.Assert(b, err, qt.IsNil)
		address := r.config.Messenger.Address()
		to.Store(&address)
		replicas = append(replicas, r)
		join = []netip.AddrPort{replicas[0].config.Address}
	}
	for _, r := range replicas {
		r.await(b, hasVoters(voters))
	}
	return replicas
}

// BenchmarkRestart measures the restart of a single replica for several numbers
// of earlier changes: until it is open, and until it has applied all of them.
func BenchmarkRestart(b *testing.B) {
	for _, history := range []int{0, 500, 10_000} {
		b.Run(fmt.Sprintf("history=%d", history), func(b *testing.B) {
			folder := b.TempDir()
			r := startSingle(b, folder)
			proposeMany(b, r, history)
			_ = r.stopAndWait()
			opened, current := newLatencies(), newLatencies()
			var heap float64
			b.ResetTimer()
			for range b.N {
				before := heapKB()
				begin := time.Now()
				r = startSingle(b, folder)
				opened.since(begin)
				qt.Assert(b, r.ReadIndex(b.Context()), qt.IsNil)
				current.since(begin)
				heap = heapKB() - before
				_ = r.stopAndWait()
			}
			b.ReportMetric(heap, "heap-KB")
			b.ReportMetric(float64(opened.histogram.Max())/1000, "opened-max-ms")
			b.ReportMetric(float64(current.histogram.Max())/1000, "current-max-ms")
			b.ReportMetric(float64(folderBytes(b, folder)), "disk-bytes")
		})
	}
}

func startSingle(b *testing.B, folder string) *replica {
	b.Helper()
	r, err := launch(b, launchOptions{folder: folder, name: "a", listen: loopback, applier: &register{}})
	qt.Assert(b, err, qt.IsNil)
	return r
}

// proposeMany proposes n commands concurrently.
func proposeMany(b *testing.B, r *replica, n int) {
	b.Helper()
	var next atomic.Int64
	var wait sync.WaitGroup
	for range 64 {
		wait.Go(func() {
			for next.Add(1) <= int64(n) {
				_, err := r.Propose(b.Context(), bytes.Repeat([]byte("x"), 4<<10))
				qt.Check(b, err, qt.IsNil)
			}
		})
	}
	wait.Wait()
}

func folderBytes(b *testing.B, folder string) int64 {
	b.Helper()
	var size int64
	files, err := filepath.Glob(filepath.Join(folder, "*", "*"))
	qt.Assert(b, err, qt.IsNil)
	for _, f := range files {
		info, err := os.Stat(f)
		qt.Assert(b, err, qt.IsNil)
		size += info.Size()
	}
	return size
}

// BenchmarkFailover measures the time from the loss of the leader, by a full disk
// or by a stop, to the next accepted command. A command that fails, even with an
// unknown outcome, is proposed again.
func BenchmarkFailover(b *testing.B) {
	for _, v := range []struct {
		name string
		lose func(*replica)
	}{
		{"disk-failed", func(r *replica) { r.disk.full.Store(true) }},
		{"stopped", func(r *replica) { r.stop() }},
	} {
		b.Run(v.name, func(b *testing.B) {
			times := newLatencies()
			for b.Loop() {
				b.StopTimer()
				replicas := startReplicas(b, 3, 0, nil)
				b.StartTimer()
				begin := time.Now()
				v.lose(replicas[0])
				for {
					_, err := replicas[1].Propose(b.Context(), []byte("c2"))
					if err == nil {
						break
					}
				}
				times.since(begin)
				b.StopTimer()
				for _, r := range replicas {
					_ = r.stopAndWait()
				}
				b.StartTimer()
			}
			times.report(b)
		})
	}
}

// relay forwards connections to a replica and counts their bytes.
func relay(b *testing.B, to *atomic.Pointer[netip.AddrPort], count *atomic.Int64) netip.AddrPort {
	b.Helper()
	var lc net.ListenConfig
	listener, err := lc.Listen(b.Context(), "tcp", loopback.String())
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = listener.Close() })
	var d net.Dialer
	go func() {
		for {
			incoming, err := listener.Accept()
			if err != nil {
				return
			}
			outgoing, err := d.DialContext(b.Context(), "tcp", to.Load().String())
			if err != nil {
				_ = incoming.Close()
				continue
			}
			forward := func(to, from net.Conn) {
				_, _ = io.Copy(to, io.TeeReader(from, byteCounter{count}))
				_ = to.Close()
			}
			go forward(incoming, outgoing)
			go forward(outgoing, incoming)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

type byteCounter struct {
	count *atomic.Int64
}

func (c byteCounter) Write(data []byte) (int, error) {
	c.count.Add(int64(len(data)))
	return len(data), nil
}

// BenchmarkRestartTogether measures the time from the restart of three stopped
// replicas until one of them has answered a confirmed read.
func BenchmarkRestartTogether(b *testing.B) {
	times := newLatencies()
	replicas := startReplicas(b, 3, 0, nil)
	proposeMany(b, replicas[0], 10_000)
	for b.Loop() {
		for _, r := range replicas {
			_ = r.stopAndWait()
		}
		begin := time.Now()
		for i, r := range replicas {
			var err error
			replicas[i], err = launch(b, launchOptions{
				folder: filepath.Dir(r.config.DataFolder), name: string(r.config.Self),
				listen: r.config.Address, join: r.config.Join, applier: &register{},
			})
			qt.Assert(b, err, qt.IsNil)
		}
		qt.Assert(b, replicas[0].ReadIndex(b.Context()), qt.IsNil)
		times.since(begin)
	}
	times.report(b)
}

// BenchmarkIdle measures the cost of idle replicas: the bytes per second between
// the leader and one other replica, and the processor time and heap of a replica.
func BenchmarkIdle(b *testing.B) {
	for _, v := range []struct{ voters, learners int }{{1, 0}, {3, 0}, {5, 0}, {5, 11}} {
		b.Run(fmt.Sprintf("voters=%d/learners=%d", v.voters, v.learners), func(b *testing.B) {
			var bytes atomic.Int64
			startReplicas(b, v.voters, v.learners, &bytes)
			n := v.voters + v.learners
			bytes.Store(0)
			used := processorTime()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(bytes.Load())/seconds/float64(max(n-1, 1)), "bytes/link/s")
			b.ReportMetric((processorTime()-used).Seconds()/seconds/float64(n)*100, "%core/replica")
			b.ReportMetric(heapKB()/float64(n), "heap-KB/replica")
		})
	}
}

// heapKB returns the size of the live heap in KiB.
func heapKB() float64 {
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc) / 1024
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSetSize reports the encoded size of a set.
func BenchmarkSetSize(b *testing.B) {
	for _, v := range []struct{ services, classes int }{{10, 50}, {360, 50}, {360, 2000}} {
		b.Run(fmt.Sprintf("services=%d/classes=%d", v.services, v.classes), func(b *testing.B) {
			set := waxwingseam.Set{}
			for i := range v.services {
				set.Services = append(set.Services, waxwingseam.Service{Name: waxwingseam.ServiceName(fmt.Sprintf("service-%03d", i)), Slots: 60, Connections: 500})
			}
			for i := range v.classes {
				set.RequestClasses = append(set.RequestClasses, waxwingseam.RequestClass{
					Name:    waxwingseam.ClassName(fmt.Sprintf("request-class-%04d", i)),
					Service: waxwingseam.ServiceName(fmt.Sprintf("service-%03d", i%max(v.services, 1))),
					Method:  "POST", Path: fmt.Sprintf("/area-%d/{name}/part", i),
					Deadline: time.Second, RetryLimit: "usual", WaitLimit: "usual",
				})
			}
			var data []byte
			for b.Loop() {
				data, _ = cbor.Marshal(set)
			}
			b.ReportMetric(float64(len(data)), "set-bytes")
		})
	}
}
