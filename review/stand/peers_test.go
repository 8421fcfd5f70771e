//go:build review

package stand

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeatPeriod is the period of the backends' heartbeats.
const heartbeatPeriod = 1500 * time.Millisecond

// arrival is one request that a backend has begun to work on.
type arrival struct {
	at                         time.Time
	id, caller, method, target string
	backend                    string
	body                       int
	bodyDigest                 string
}

// backend is a stand-in for an application backend.
type backend struct {
	m       *machine
	id      string
	born    int64
	service string
	slots   int
	// work is called for each request that runs; it writes the answer.
	work func(b *backend, w http.ResponseWriter, r *http.Request)

	listener net.Listener
	server   *http.Server

	mu   sync.Mutex
	seq  int
	runs []arrival
	quit chan struct{}
}

func newID(prefix string) string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return prefix + hex.EncodeToString(b)
}

// startBackend starts a new lifetime of the backend on a machine.
func startBackend(m *machine, service string, work func(*backend, http.ResponseWriter, *http.Request)) (*backend, error) {
	b := &backend{m: m, id: newID("i-"), born: time.Now().UnixMilli(), service: service, slots: 75, work: work, quit: make(chan struct{})}
	var err error
	for range 50 {
		if b.listener, err = net.Listen("tcp", m.app()); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(b.listener) }()
	m.d.record.printf("backend: %s of %s starts on %s", b.id, service, m.name)
	return b, nil
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := arrival{
		at: time.Now(), id: r.Header.Get("X-Request-Id"), caller: r.Header.Get("X-Caller-Service"),
		method: r.Method, target: r.RequestURI, backend: b.id, body: len(body),
	}
	b.mu.Lock()
	b.runs = append(b.runs, a)
	b.mu.Unlock()
	b.m.d.record.printf("backend: %s on %s runs %s %s, id %s, caller %q", b.id, b.m.name, a.method, a.target, a.id, a.caller)
	w.Header().Set("X-Response-Seal", "seal-"+a.id)
	if b.work != nil {
		b.work(b, w, r)
		return
	}
	_, _ = io.WriteString(w, "done "+a.id)
}

// arrivals returns the runs so far.
func (b *backend) arrivals() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival{}, b.runs...)
}

// beat returns the body of the next heartbeat.
func (b *backend) beat(state string) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	data, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.m.app(), "zone": b.m.zone, "version": "v1", "slots": b.slots,
		"state": state, "coldRemaining": "0ms", "seq": b.seq, "born": b.born,
	})
	return data
}

// send sends a heartbeat or a notice to the node; it returns the status, 0 without one.
func (b *backend) send(method string, body []byte) int {
	r, err := http.NewRequest(method, "http://"+b.m.control()+"/instances/"+b.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		b.m.d.record.printf("backend: %s %s to %s: %v", b.id, method, b.m.name, err)
		return 0
	}
	defer func() { _ = a.Body.Close() }()
	_, _ = io.Copy(io.Discard, a.Body)
	b.m.d.record.printf("backend: %s %s to %s: %s -> %d", b.id, method, b.m.name, body, a.StatusCode)
	return a.StatusCode
}

// beatUntil sends heartbeats until quit is closed.
func (b *backend) beats() {
	for {
		b.send(http.MethodPut, b.beat("ready"))
		select {
		case <-b.quit:
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

// end ends the backend's process.
func (b *backend) end() {
	b.m.d.record.printf("backend: %s on %s ends", b.id, b.m.name)
	_ = b.server.Close()
}

// answer is what a client got.
type answer struct {
	status int
	seal   string
	body   []byte
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v) after %v", a.err, a.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d, seal %q, %d bytes after %v", a.status, a.seal, len(a.body), a.took.Round(time.Millisecond))
}

// request sends one request of a client on a connection of its own and waits for the answer.
func (m *machine) request(method, target, id string, deadline time.Duration, headers, body string) answer {
	began := time.Now()
	a := m.exchange(method, target, id, deadline, headers, body)
	a.took = time.Since(began)
	m.d.record.printf("client on %s: %s %s, id %s: %v", m.name, method, target, id, a)
	return a
}

func (m *machine) exchange(method, target, id string, deadline time.Duration, headers, body string) answer {
	conn, err := net.DialTimeout("tcp", m.outbound(), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	var q strings.Builder
	fmt.Fprintf(&q, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n%s", method, target, host, id, deadline.Milliseconds(), headers)
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&q, "Content-Length: %d\r\n", len(body))
	}
	q.WriteString("\r\n" + body)
	if _, err := io.WriteString(conn, q.String()); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, seal: r.Header.Get("X-Response-Seal"), body: data, err: err}
}
