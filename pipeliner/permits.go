package pipeliner

import (
	"slices"
	"sync"
)

// maxBehind limits the requests of all connections that are handled although they were sent
// before the answers to earlier ones. Without a limit, callers that send hundreds of
// requests without reading take the slots from callers that wait for each answer.
const maxBehind = 16

// permits are the permits for requests that were sent before the answers to earlier ones.
type permits struct {
	mu   sync.Mutex
	free int
	// queue are the connections that wait for a permit.
	queue []*connection
}

// take takes a permit, or queues the connection, whose lock is held.
func (p *permits) take(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free > 0 {
		p.free--
		return true
	}
	if !c.queued {
		c.queued = true
		p.queue = append(p.queue, c)
	}
	return false
}

// release gives a permit back, to the connection that waits longest. No connection's lock
// is held.
func (p *permits) release() {
	p.mu.Lock()
	if len(p.queue) == 0 {
		p.free++
		p.mu.Unlock()
		return
	}
	c := p.queue[0]
	p.queue = slices.Delete(p.queue, 0, 1)
	p.mu.Unlock()
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
		p.release()
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
		w.connection.server.permits.release()
	}
}
