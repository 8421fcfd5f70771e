package forwarder

import (
	"sync"
	"time"
)

// pool holds idle items by key; the item used last is taken first.
type pool[K comparable, V any] struct {
	// idleTimeout is how long an item may be idle.
	idleTimeout time.Duration
	limit       int
	close       func(V)

	mu     sync.Mutex
	idle   map[K][]pooled[V]
	closed bool
}

type pooled[V any] struct {
	item  V
	since time.Time
}

func newPool[K comparable, V any](idleTimeout time.Duration, limit int, closer func(V)) *pool[K, V] {
	return &pool[K, V]{
		idleTimeout: idleTimeout,
		limit:       limit,
		close:       closer,
		idle:        map[K][]pooled[V]{},
	}
}

// take removes and returns the item used last. It returns false if no item was
// used within idleTimeout.
func (p *pool[K, V]) take(key K, now time.Time) (V, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	items := p.idle[key]
	if len(items) == 0 || now.Sub(items[len(items)-1].since) > p.idleTimeout {
		p.clearLocked(key)
		var none V
		return none, false
	}
	last := items[len(items)-1]
	p.idle[key] = items[:len(items)-1]
	return last.item, true
}

// put returns an item to the pool, or closes it if the pool is full or shut down.
func (p *pool[K, V]) put(key K, item V, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[key]) >= p.limit {
		p.close(item)
		return
	}
	p.idle[key] = append(p.idle[key], pooled[V]{
		item:  item,
		since: now,
	})
}

// clear closes all idle items of a key.
func (p *pool[K, V]) clear(key K) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clearLocked(key)
}

func (p *pool[K, V]) clearLocked(key K) {
	for _, v := range p.idle[key] {
		p.close(v.item)
	}
	delete(p.idle, key)
}

// shutDown closes all idle items, and those that are put back later.
func (p *pool[K, V]) shutDown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for key := range p.idle {
		p.clearLocked(key)
	}
}
