//go:build review3

package standins3

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The ports of a machine beside a backend server, from play.port on.
const (
	inboundPort  = 1
	readyPort    = 2
	outboundPort = 4
	sidePort     = 6
	backendPort  = 17
)

const heartbeatInterval = 1500 * time.Millisecond

// machine is a machine with a backend server and the node beside it.
type machine struct {
	play    *play
	n       int
	ip      string
	service string
	node    *process
	server  *backend
}

// startMachine starts a node and its backend server.
func (p *play) startMachine(n int, service string) (*machine, error) {
	ip := fmt.Sprintf("127.0.%d.%d", sideHost, n+1)
	m := &machine{play: p, n: n, ip: ip, service: service}
	values := p.common(ip, fmt.Sprintf("zone-%d", n%3))
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, p.port+port) }
	for name, value := range map[string]string{
		"listenAddrs.ready": address(readyPort), "listenAddrs.inbound": address(inboundPort),
		"listenAddrs.outbound": address(outboundPort), "listenAddrs.control": address(sidePort),
		"node": fmt.Sprintf("side-%d", n), "service": service, "appAddr": address(backendPort),
		"bounds.budgetWindow": "10s", "bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "48",
		"limits.memoryMb": "284",
	} {
		values[name] = value
	}
	m.node = p.newProcess(fmt.Sprintf("side-%d", n), "deploy/node.ini.template", values)
	m.server = newBackend(m, address(backendPort))
	if err := m.server.listen(); err != nil {
		return nil, err
	}
	if err := m.node.start(); err != nil {
		return nil, err
	}
	go m.server.beat(address(sidePort))
	return m, nil
}

func (m *machine) outbound() string {
	return fmt.Sprintf("%s:%d", m.ip, m.play.port+outboundPort)
}

// ready reports whether the node says that it is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, m.play.port+readyPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// arrival is one arrival of a request at a backend server.
type arrival struct {
	at       time.Time
	service  string
	instance string
	id       string
	method   string
	path     string
	caller   string
	body     string
	// runs is unset if the request is rejected.
	runs bool
}

// backend is a backend server. It runs requests with slots and without a queue, and makes
// calls for those of its paths that have some.
type backend struct {
	machine  *machine
	address  string
	instance string
	born     int64
	slots    int64
	running  atomic.Int64
	sequence atomic.Int64
	// work is how long a request takes.
	work time.Duration
	// lost is the share of the answers that are lost after the run, by a reset.
	lost atomic.Pointer[float64]
	odd  bool
	// calls are the host and path of the calls that each request makes, one after the other.
	calls    []string
	callHost string

	mu       sync.Mutex
	arrivals []arrival
	state    string
	silent   bool
}

func newBackend(m *machine, address string) *backend {
	none := 0.0
	b := &backend{
		machine:  m,
		address:  address,
		instance: fmt.Sprintf("i-%d-%08x", m.n, rand.Uint32()),
		born:     time.Now().UnixMilli(),
		slots:    60,
		work:     20 * time.Millisecond,
		state:    "ready",
	}
	b.lost.Store(&none)
	return b
}

func (b *backend) listen() error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: b}
	go func() { _ = server.Serve(l) }()
	return nil
}

// beat sends heartbeats to the node until the play ends.
func (b *backend) beat(to string) {
	for {
		b.report(to)
		time.Sleep(heartbeatInterval)
	}
}

// report sends one heartbeat and returns the status of the answer; 0 without one.
func (b *backend) report(to string) int {
	b.mu.Lock()
	state, silent := b.state, b.silent
	b.mu.Unlock()
	if silent {
		return 0
	}
	return b.send(to, state, b.sequence.Add(1))
}

func (b *backend) send(to, state string, sequence int64) int {
	data, err := json.Marshal(map[string]any{
		"service": b.machine.service, "address": b.address, "zone": fmt.Sprintf("zone-%d", b.machine.n%3),
		"version": "v1", "slots": b.slots, "state": state, "coldRemaining": "0ms", "seq": sequence, "born": b.born,
	})
	if err != nil {
		panic(err)
	}
	return b.callNode(http.MethodPut, to, data)
}

// callNode sends a report of the backend server to a node.
func (b *backend) callNode(method, to string, body []byte) int {
	q, err := http.NewRequest(method, "http://"+to+"/instances/"+b.instance, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Do(q)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", b.running.Load(), b.slots))
	if r.URL.Path == "/health" {
		header.Set("X-Instance-Id", b.instance)
		return
	}
	id := r.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	refuse := func(status int) {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.instance {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	runs := b.running.Add(1) <= b.slots
	b.mu.Lock()
	b.arrivals = append(b.arrivals, arrival{
		at: now, service: b.machine.service, instance: b.instance, id: id, method: r.Method,
		path: r.URL.RequestURI(), caller: r.Header.Get("X-Caller-Service"), body: string(body), runs: runs,
	})
	b.mu.Unlock()
	if !runs {
		b.running.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	left, _ := strconv.ParseFloat(r.Header.Get("X-Request-Deadline"), 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left*float64(time.Millisecond)))
	defer cancel()
	status := b.run(ctx, id, left)
	if rand.Float64() < *b.lost.Load() {
		// The answer is lost: the connection is reset.
		resetConnection(w)
		return
	}
	header.Set("X-Response-Seal", b.instance+"."+id)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "answer to "+id)
}

// run works on a request and makes its calls.
func (b *backend) run(ctx context.Context, id string, left float64) int {
	began := time.Now()
	select {
	case <-ctx.Done():
		return http.StatusGatewayTimeout
	case <-time.After(b.work):
	}
	for n, path := range b.calls {
		rest := left - float64(time.Since(began).Milliseconds())
		if rest <= 0 {
			return http.StatusGatewayTimeout
		}
		if status := b.machine.call(ctx, b.callHost, path, fmt.Sprintf("%s.%d", id, n), rest); status != http.StatusOK {
			return http.StatusInternalServerError
		}
	}
	return http.StatusOK
}

// call makes one call of the backend server through the node beside it.
func (m *machine) call(ctx context.Context, host, path, id string, left float64) int {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.outbound()+path, nil)
	if err != nil {
		return 0
	}
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Request-Deadline", strconv.Itoa(int(left)))
	r, err := callClient.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return 0
	}
	return r.StatusCode
}

var callClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
}

// allArrivals returns what arrived at the backend servers of a service.
func allArrivals(machines []*machine, service string) []arrival {
	var out []arrival
	for _, m := range machines {
		if m.service != service {
			continue
		}
		m.server.mu.Lock()
		out = append(out, m.server.arrivals...)
		m.server.mu.Unlock()
	}
	return out
}

// parentOf returns the identifier of the request for which a call was made; empty for a
// request of a client.
func parentOf(id string) string {
	return id[:max(strings.LastIndexByte(id, '.'), 0)]
}
