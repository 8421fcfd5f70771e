package soaker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/parser"
)

const (
	// ordinaryCallers is the number of ordinary callers beside untrusted clients.
	ordinaryCallers = 20
	ordinaryPause   = 200 * time.Millisecond
	ordinaryTimeout = 5 * time.Second
	ordinaryBody    = 2000
	// settleTime is how long memory may take to fall again.
	settleTime = 10 * time.Second
	// memoryInterval is the time between two looks at the memory of the processes.
	memoryInterval = 20 * time.Millisecond
	// memoryMB is the memory limit of the nodes.
	memoryMB = 184
)

// ClientTrial describes a trial with untrusted clients.
type ClientTrial struct {
	Program, Folder string
	Seed            uint64
	// Kinds are the names of behaviours; see ClientKindNames.
	Kinds []string
	// Connections is the number of untrusted clients, each of which opens a new connection
	// ReopenDelay after its last one was closed.
	Connections int
	ReopenDelay time.Duration
	Length      time.Duration
	// Report is called with each result, and may be nil.
	Report func(ClientResult)
	// key is the key that the clients send; empty for none.
	key string
}

// ClientResult is what a trial with one behaviour showed.
type ClientResult struct {
	Kind        string
	Connections int
	// First and Receiving are the highest resident memory of the client's node and of the
	// node behind it in MB, Settled the higher one of both afterwards.
	First, Receiving, Settled int
	// Sent and Served count the requests of ordinary callers, and Slowest is the longest
	// time of a served one.
	Sent, Served int
	Slowest      time.Duration
	// Refused counts the others by the status or the kind of error.
	Refused map[string]int
	// Ended describes processes that have ended.
	Ended []string
}

// String returns the result as a row of a table.
func (r ClientResult) String() string {
	row := fmt.Sprintf("| %s, %d | %d, %d, %d | %d of %d | %v | %s |", r.Kind, r.Connections, r.First, r.Receiving, r.Settled, r.Served, r.Sent, r.Slowest.Round(time.Millisecond), formatCounts(r.Refused))
	for _, v := range r.Ended {
		row += "\n" + v
	}
	return row
}

// ClientTableHeader is the head of the table of results.
const ClientTableHeader = `| clients | peak MB first node, receiving node, afterwards | ordinary callers served | slowest | others |
| --- | --- | --- | --- | --- |`

// formatCounts formats counts in the order of their names.
func formatCounts(counts map[string]int) string {
	out := make([]string, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s: %d", name, counts[name]))
	}
	return strings.Join(out, ", ")
}

// RunClients runs untrusted clients of each kind beside ordinary callers, after a run without
// any. The clients call the desk's node; its own server and that of the ledger, behind
// another node, serve them in turns.
func RunClients(ctx context.Context, trial ClientTrial) ([]ClientResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := newDeployment(ctx, Config{Program: trial.Program, Folder: trial.Folder, Seed: trial.Seed, ServersPerService: 1, MemoryMB: memoryMB})
	if err != nil {
		return nil, err
	}
	defer d.stopAll()
	s := &soak{deployment: d}
	if err := s.configure(ctx); err != nil {
		return nil, err
	}
	var out []ClientResult
	for _, name := range append([]string{""}, trial.Kinds...) {
		r, err := trial.run(ctx, d, name)
		if err != nil {
			return out, err
		}
		if trial.Report != nil {
			trial.Report(r)
		}
		out = append(out, r)
	}
	return out, nil
}

// run runs the clients of one kind; none for an empty name.
func (c ClientTrial) run(ctx context.Context, d *deployment, name string) (ClientResult, error) {
	r := ClientResult{Kind: "none"}
	loadCtx, stop := context.WithTimeout(ctx, c.Length)
	defer stop()
	var load sync.WaitGroup
	if name != "" {
		kind, err := findKind(name)
		if err != nil {
			return r, err
		}
		r.Kind, r.Connections = name, c.Connections
		for n := range c.Connections {
			load.Go(func() { c.playClient(loadCtx, d.hosts[0], kind, n) })
		}
	}
	ordinary := ordinaryLoad{refused: map[string]int{}}
	for n := range ordinaryCallers {
		load.Go(func() { ordinary.call(loadCtx, d.hosts[0].entryAddress, n) })
	}
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for loadCtx.Err() == nil {
			r.First = max(r.First, residentMB(d.hosts[0].process))
			r.Receiving = max(r.Receiving, residentMB(d.hosts[1].process))
			time.Sleep(memoryInterval)
		}
	}()
	load.Wait()
	<-watched
	if name != "" {
		time.Sleep(settleTime)
	}
	r.Settled = max(residentMB(d.hosts[0].process), residentMB(d.hosts[1].process))
	r.Sent, r.Served, r.Slowest, r.Refused = ordinary.sent, ordinary.served, ordinary.slowest, ordinary.refused
	for _, p := range d.processes() {
		_, _, ends := p.intervals()
		r.Ended = append(r.Ended, ends...)
	}
	return r, nil
}

// playClient plays one client over one connection after another.
func (c ClientTrial) playClient(ctx context.Context, h *host, kind ClientKind, n int) {
	target := clientTarget{
		path:   []string{"/ledger" + prefixRepeatable + "x", "/desk" + prefixRepeatable + "x"}[n%2],
		ready:  h.telemetryAddress,
		key:    c.key,
		random: rand.New(rand.NewPCG(c.Seed, uint64(n))),
	}
	var d net.Dialer
	for ctx.Err() == nil {
		conn, err := d.DialContext(ctx, "tcp", h.entryAddress.String())
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			kind.play(ctx, conn, target)
			stop()
			_ = conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(c.ReopenDelay):
		}
	}
}

// ordinaryLoad counts the requests of ordinary callers.
type ordinaryLoad struct {
	mu           sync.Mutex
	sent, served int
	slowest      time.Duration
	refused      map[string]int
}

// call sends requests one after another over a kept connection. Every other caller calls
// the service behind another node, and every other request has a body.
func (l *ordinaryLoad) call(ctx context.Context, address netip.AddrPort, n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: ordinaryTimeout}
	defer client.CloseIdleConnections()
	url := fmt.Sprintf("http://%s/%s%sordinary", address, []string{"ledger", "desk"}[n%2], prefixRepeatable)
	for i := 0; ctx.Err() == nil; i++ {
		method, body := http.MethodGet, []byte(nil)
		if i%2 == 1 {
			method, body = http.MethodPost, make([]byte, ordinaryBody)
		}
		began := time.Now()
		failure := send(client, method, url, body)
		took := time.Since(began)
		l.mu.Lock()
		l.sent++
		if failure == "" {
			l.served++
			l.slowest = max(l.slowest, took)
		} else {
			l.refused[failure]++
		}
		l.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(ordinaryPause):
		}
	}
}

// send sends one request and returns why it was not served; empty if it was.
func send(client *http.Client, method, url string, body []byte) string {
	r, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return "malformed"
	}
	response, err := client.Do(r)
	switch {
	case os.IsTimeout(err):
		return "no answer in time"
	case err != nil:
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	var problem struct {
		Reason string `json:"reason"`
	}
	data, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		// An answer of another form has no reason.
		_ = json.Unmarshal(data, &problem)
	}
	switch {
	case err != nil:
		return "broken off"
	case parser.CheckResponse(response) != nil:
		return "broken"
	case response.StatusCode != http.StatusOK:
		return response.Status + " " + problem.Reason
	}
	return ""
}

// residentMB returns the resident memory of a process in MB; 0 if it is unknown.
func residentMB(p *process) int {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	file, err := os.Open("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kilobytes >> 10
		}
	}
	return 0
}

// Check returns an error unless the results keep the bounds: no process ends, each stays
// below its memory limit, and ordinary callers are served as without untrusted clients.
func Check(results []ClientResult) error {
	const servedShare = 0.95
	var errs []error
	usual := results[0]
	for _, r := range results {
		if len(r.Ended) > 0 || max(r.First, r.Receiving) >= memoryMB {
			errs = append(errs, trace.LimitExceeded("%v", r))
		}
		if float64(r.Served) < servedShare*float64(usual.Served) {
			errs = append(errs, trace.CompareFailed("%s: %d served, %d without such clients", r.Kind, r.Served, usual.Served))
		}
	}
	return trace.NewAggregate(errs...)
}
