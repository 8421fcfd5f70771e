package pipeliner

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"waxwingseam.example/waxwingseam/charger"
)

// supervisionInterval is the time between two looks at the progress of the connections.
const supervisionInterval = 250 * time.Millisecond

// What the reading goroutine of a connection does.
const (
	// phaseIdle is the time between two requests, or while requests are handled.
	phaseIdle = iota
	phaseHead
	phaseBody
	// phaseWaiting is the time in which a body waits for memory or a place.
	phaseWaiting
	// phaseStream is the time in which a request is handled before its body is whole.
	phaseStream
)

// progress is what the last look at a connection found.
type progress struct {
	phase int32
	// moved is the count of State, and at is when it or the phase changed last.
	moved int64
	at    time.Time
	// blocked is for how long the caller was waited for while reading a body, and writing
	// for how long while writing an answer. from and writtenFrom are what was moved before.
	blocked, writing  time.Duration
	from, writtenFrom int64
	writes            uint64
}

// startSupervision starts looking at the connections, until the server is closed and the
// last of them has ended.
func (s *Server) startSupervision() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.supervised {
		return
	}
	s.supervised = true
	go func() {
		ticker := time.NewTicker(supervisionInterval)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				limits := s.limits()
				for _, c := range s.open() {
					c.supervise(now, limits)
				}
			case <-s.empty:
				return
			}
		}
	}()
}

// supervise closes a connection whose caller makes too little progress.
func (c *connection) supervise(now time.Time, limits Limits) {
	p := &c.progress
	if phase := c.phase.Load(); phase != p.phase {
		p.phase, p.blocked, p.from = phase, 0, c.conn.count.Load()
		p.at = now
	}
	if moved := c.State().Moved; moved != p.moved || p.at.IsZero() {
		p.moved, p.at = moved, now
	}
	c.lastMoved.Store(p.at.UnixNano())
	switch p.phase {
	case phaseBody, phaseStream:
		if c.reading.Load() {
			p.blocked += supervisionInterval
		}
		if p.blocked > allowed(limits.Grace, limits.BodyRate, c.conn.count.Load()-p.from) {
			c.interrupt(refusedSlowBody)
		}
	case phaseWaiting:
		if c.hasLeft() {
			c.cancel()
		}
	case phaseIdle:
		if limits.IdleTimeout > 0 && now.Sub(p.at) > limits.IdleTimeout && c.isIdle() {
			c.server.noteRefused(c, closedIdle)
			c.shutDown()
		}
	}
	c.superviseWriting(limits)
}

// superviseWriting closes a connection whose caller reads an answer too slowly.
func (c *connection) superviseWriting(limits Limits) {
	p := &c.progress
	writes := c.conn.writes.Load()
	stuck := writes%2 == 1 && writes == p.writes
	p.writes = writes
	if !stuck {
		p.writing = max(p.writing-supervisionInterval, 0)
		if p.writing == 0 {
			p.writtenFrom = c.read()
		}
		return
	}
	p.writing += supervisionInterval
	if p.writing > allowed(limits.Grace, limits.ReplyRate, c.read()-p.writtenFrom) {
		c.server.noteRefused(c, closedSlowReply)
		c.reset()
		c.abort()
	}
}

// allowed returns for how long a caller may be waited for.
func allowed(grace time.Duration, rate int, moved int64) time.Duration {
	return grace + time.Duration(float64(moved)/float64(rate)*float64(time.Second))
}

// read returns how many bytes the caller has read: those that its kernel has acknowledged
// or, where that is unknown, those that this end's kernel has taken.
func (c *connection) read() int64 {
	if c.acknowledged != nil {
		return c.acknowledged()
	}
	return c.conn.written.Load()
}

// isIdle reports whether no request is in progress.
func (c *connection) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active == 0 && c.phase.Load() == phaseIdle
}

// State implements charger.Peer.
func (c *connection) State() charger.State {
	c.mu.Lock()
	active := c.active > 0
	c.mu.Unlock()
	phase := c.phase.Load()
	writing := c.conn.writes.Load()%2 == 1
	s := charger.State{Moved: c.conn.count.Load() + c.conn.written.Load()}
	if writing {
		s.Moved = c.conn.count.Load() + c.read()
	}
	s.Idle = !active && phase == phaseIdle
	switch phase {
	case phaseWaiting:
		s.Waits = true
	case phaseStream:
		s.Waits = !c.reading.Load() && !writing
	default:
		s.Waits = active && !writing
	}
	return s
}

// Evict implements charger.Peer: it closes the connection because memory is short.
func (c *connection) Evict() {
	c.evict(refusedMemory)
}

// evict closes a connection whose caller makes no progress, to make room for others.
func (c *connection) evict(cause *refusal) {
	switch {
	case c.conn.writes.Load()%2 == 1:
		c.server.noteRefused(c, closedSlowReply)
		c.reset()
		c.abort()
	case c.isIdle():
		c.server.noteRefused(c, cause)
		c.shutDown()
	default:
		c.interrupt(cause)
	}
}

// interrupt makes the reading goroutine refuse a request that is not whole. A request that
// is handled already fails as its body breaks off.
func (c *connection) interrupt(cause *refusal) {
	if !c.cause.CompareAndSwap(nil, cause) {
		return
	}
	_ = c.conn.SetReadDeadline(aLongTimeAgo)
}

// evictedAtOnce is how many connections make room at once, so that a flood of new
// connections does not look through all of them each time.
const evictedAtOnce = 16

// makeRoom closes connections without progress if there are as many as allowed: those of
// the address with the most connections first, and of these those without progress for the
// longest time.
func (s *Server) makeRoom() {
	s.mu.Lock()
	if len(s.connections) < s.config.MaxConnections {
		s.mu.Unlock()
		return
	}
	counts := map[netip.Addr]int{}
	list := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		counts[c.address]++
		if state := c.State(); !state.Waits {
			list = append(list, c)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b *connection) int {
		if n := counts[b.address] - counts[a.address]; n != 0 {
			return n
		}
		return cmp.Compare(a.lastMoved.Load(), b.lastMoved.Load())
	})
	for _, c := range list[:min(len(list), evictedAtOnce)] {
		c.evict(refusedQuota)
	}
}

// refusals bounds the rate of the log lines about refused callers.
type refusals struct {
	mu      sync.Mutex
	logged  time.Time
	skipped int
}

// logInterval is the least time between two log lines about refused callers.
const logInterval = time.Second

// noteRefused counts a refused request or a closed connection, and logs it unless another
// one was logged lately.
func (s *Server) noteRefused(c *connection, r *refusal) {
	if s.config.Refused != nil {
		s.config.Refused(r.reason)
	}
	s.refused.mu.Lock()
	defer s.refused.mu.Unlock()
	if time.Since(s.refused.logged) < logInterval {
		s.refused.skipped++
		return
	}
	s.config.Logger.Warn("a caller was refused", "reason", r.reason, "address", c.remote, "held", c.account.Held(), "skipped", s.refused.skipped)
	s.refused.logged, s.refused.skipped = time.Now(), 0
}
