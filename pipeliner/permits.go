package pipeliner

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// maxBehind limits the requests of all connections that are handled although they were
	// sent before the answers to earlier ones. Without a limit, callers that send hundreds of
	// requests without reading take the slots from callers that wait for each answer.
	maxBehind = 16
	// firstBehind is the limit at the start, as many as one connection may have. It grows while such requests are served, and is
	// halved when one is refused for lack of capacity.
	firstBehind = 8
	// refusedDelay is for how long the permit of a refused request is kept. Otherwise the
	// refusals of a long row of requests would take the processor.
	refusedDelay = 50 * time.Millisecond
)

// permits are the permits for requests that were sent before the answers to earlier ones.
type permits struct {
	mu    sync.Mutex
	limit float64
	used  int
	// queue are the connections that wait for a permit.
	queue []*connection
}

// take takes a permit, or queues the connection, whose lock is held.
func (p *permits) take(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used < int(p.limit) {
		p.used++
		return true
	}
	if !c.queued {
		c.queued = true
		p.queue = append(p.queue, c)
	}
	return false
}

// release gives a permit back, and adapts the limit. No connection's lock is held.
func (p *permits) release(refused bool) {
	p.mu.Lock()
	if refused {
		p.limit = max(p.limit/2, 1)
	} else {
		p.limit = min(p.limit+1/p.limit, maxBehind)
	}
	p.mu.Unlock()
	if refused {
		time.AfterFunc(refusedDelay, p.put)
		return
	}
	p.put()
}

// put makes a permit available to the connections that wait longest.
func (p *permits) put() {
	p.mu.Lock()
	p.used--
	n := min(len(p.queue), max(int(p.limit)-p.used, 0))
	granted := slices.Clone(p.queue[:n])
	p.queue = slices.Delete(p.queue, 0, n)
	p.used += n
	p.mu.Unlock()
	for _, c := range granted {
		c.grantPermit()
	}
}

// grantPermit gives a permit to a connection that waits for one.
func (c *connection) grantPermit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queued = false
	c.permits++
	c.wake()
}

// forget gives back the permits of a connection that has ended.
func (p *permits) forget(c *connection) {
	p.mu.Lock()
	if i := slices.Index(p.queue, c); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
	p.mu.Unlock()
	c.mu.Lock()
	unused := c.permits
	c.permits = 0
	c.mu.Unlock()
	for range unused {
		p.put()
	}
}

// hasPermit takes a permit for a request unless the connection has one. The lock is held.
func (c *connection) hasPermit() bool {
	if c.permits == 0 && c.server.permits.take(c) {
		c.permits++
	}
	return c.permits > 0
}

// releasePermit gives back the permit of a request whose answer is known.
func (w *response) releasePermit() {
	if w.permitted {
		w.permitted = false
		w.connection.server.permits.release(w.status == http.StatusServiceUnavailable || w.status == http.StatusTooManyRequests)
	}
}
