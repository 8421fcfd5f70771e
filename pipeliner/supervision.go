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
	// body and reply are for how long the caller was waited for, less the time that what it
	// sent or read may take; from and readFrom are what it had moved at the last look.
	body, reply    time.Duration
	from, readFrom int64
	writes         uint64
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
		p.phase, p.body, p.from = phase, 0, c.conn.count.Load()
		p.at = now
	}
	if moved := c.State().Moved; moved != p.moved || p.at.IsZero() {
		p.moved, p.at = moved, now
	}
	c.lastMoved.Store(p.at.UnixNano())
	switch p.phase {
	case phaseBody, phaseStream:
		count := c.conn.count.Load()
		if c.reading.Load() {
			p.body = waited(p.body, supervisionInterval, count-p.from, limits.BodyRate)
		}
		p.from = count
		if p.body > limits.Grace {
			c.interrupt(refusedSlowBody)
		}
	case phaseWaiting:
		if now.Sub(p.at) > limits.Grace {
			c.cause.CompareAndSwap(nil, refusedMemory)
			c.cancel()
		} else if c.hasLeft() {
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
	if !stuck && p.reply == 0 {
		return
	}
	read := c.read()
	took := time.Duration(0)
	if stuck {
		took = supervisionInterval
	}
	p.reply = waited(p.reply, took, read-p.readFrom, limits.ReplyRate)
	p.readFrom = read
	if p.reply > limits.Grace {
		c.server.noteRefused(c, closedSlowReply)
		c.setReset(true)
		c.abort()
	}
}

// waited adds the time for which a caller was waited for to that before, and subtracts the
// time that what it has moved may take. What it moves fast is no credit for later.
func waited(before, took time.Duration, moved int64, rate int) time.Duration {
	return max(before+took-time.Duration(float64(moved)/float64(rate)*float64(time.Second)), 0)
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
		c.setReset(true)
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

// countRefused counts a refused request or a closed connection.
func (s *Server) countRefused(r *refusal) {
	if s.config.Refused != nil {
		s.config.Refused(r.reason)
	}
}

// noteRefused counts a refused request or a closed connection, and logs it unless another
// one was logged lately.
func (s *Server) noteRefused(c *connection, r *refusal) {
	s.countRefused(r)
	s.refused.mu.Lock()
	defer s.refused.mu.Unlock()
	if time.Since(s.refused.logged) < logInterval {
		s.refused.skipped++
		return
	}
	s.config.Logger.Warn("a caller was refused", "reason", r.reason, "address", c.remote, "held", c.account.Held(), "skipped", s.refused.skipped)
	s.refused.logged, s.refused.skipped = time.Now(), 0
}
