//go:build review3

package standins3

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sent is one request of a client and its answer.
type sent struct {
	at, answered time.Time
	id           string
	host, path   string
	method       string
	// status is that of the answer; 0 if the connection ended without one.
	status int
	sealed bool
	body   string
}

// clients sends requests to nodes at a steady rate until it is stopped.
type clients struct {
	mu   sync.Mutex
	sent []*sent
	wait sync.WaitGroup
	stop chan struct{}
}

// load describes the requests of clients.
type load struct {
	method, host, path string
	perSecond          int
	deadline           time.Duration
	body               string
}

func newClients() *clients {
	return &clients{stop: make(chan struct{})}
}

// run sends requests to the machines in turn.
func (c *clients) run(machines []*machine, l load) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		ticker := time.NewTicker(time.Second / time.Duration(l.perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
			}
			m := machines[n%len(machines)]
			c.wait.Add(1)
			go func() {
				defer c.wait.Done()
				c.send(m, l)
			}()
		}
	}()
}

var clientClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// send sends one request and notes its answer.
func (c *clients) send(m *machine, l load) *sent {
	s := &sent{at: time.Now(), id: fmt.Sprintf("%016x", rand.Uint64()), host: l.host, path: l.path, method: l.method}
	q, err := http.NewRequest(l.method, "http://"+m.outbound()+l.path, strings.NewReader(l.body))
	if err != nil {
		panic(err)
	}
	q.Host = l.host
	q.Header.Set("X-Request-Id", s.id)
	q.Header.Set("X-Request-Deadline", strconv.Itoa(int(l.deadline.Milliseconds())))
	client := *clientClient
	client.Timeout = l.deadline
	if r, err := client.Do(q); err == nil {
		data, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err == nil {
			s.status, s.body, s.sealed = r.StatusCode, string(data), r.Header.Get("X-Response-Seal") != ""
		}
	}
	s.answered = time.Now()
	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	return s
}

// end stops the sending and waits for the answers.
func (c *clients) end() {
	close(c.stop)
	c.wait.Wait()
}
