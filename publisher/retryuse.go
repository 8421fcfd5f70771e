package publisher

import (
	"maps"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// retryUseTime is how long the use of a retry budget is kept, and how long a server that
	// was removed is named to others of its service. It is longer than any window.
	retryUseTime = 2 * time.Minute
	// firstStartCovered is the time that a replica covers at the first start of the whole
	// system, before which there was nothing to know.
	firstStartCovered = time.Hour
)

// ServerRetryUse is what an incarnation of a node has stated of its use of a retry budget.
type ServerRetryUse struct {
	Incarnation waxwingseam.Incarnation `cbor:"1,keyasint"`
	Use         waxwingseam.RetryUse    `cbor:"2,keyasint"`
}

// retryUses holds what nodes have stated of their use of retry budgets, for their next
// processes.
type retryUses struct {
	stated map[waxwingseam.ServerName]statedRetryUse
	// since is the time from which on the statements to any replica are known.
	since time.Time
	// peers are the times from which on other replicas know them, of those that have sent
	// all that they know.
	peers map[string]time.Time
	// removed are the times at which servers were removed, by service.
	removed map[waxwingseam.ServiceName]map[waxwingseam.ServerName]time.Time
}

type statedRetryUse struct {
	incarnation waxwingseam.Incarnation
	repeats     int
	at          time.Time
}

func newRetryUses(now time.Time, firstStart bool) retryUses {
	u := retryUses{
		stated:  map[waxwingseam.ServerName]statedRetryUse{},
		since:   now,
		peers:   map[string]time.Time{},
		removed: map[waxwingseam.ServiceName]map[waxwingseam.ServerName]time.Time{},
	}
	if firstStart {
		u.since = now.Add(-firstStartCovered)
	}
	return u
}

// add records a statement, unless a later one is known, and reports whether it did.
func (u *retryUses) add(now time.Time, server waxwingseam.ServerName, v ServerRetryUse) bool {
	maps.DeleteFunc(u.stated, func(_ waxwingseam.ServerName, known statedRetryUse) bool {
		return now.Sub(known.at) > retryUseTime
	})
	at := now.Add(-v.Use.Age)
	if known, ok := u.stated[server]; ok && !at.After(known.at) {
		return false
	}
	u.stated[server] = statedRetryUse{incarnation: v.Incarnation, repeats: v.Use.Repeats, at: at}
	return true
}

// use returns the statement of a server as of now.
func (u *retryUses) use(now time.Time, server waxwingseam.ServerName) (ServerRetryUse, bool) {
	v, ok := u.stated[server]
	return ServerRetryUse{
		Incarnation: v.incarnation,
		Use:         waxwingseam.RetryUse{Repeats: v.repeats, Age: now.Sub(v.at)},
	}, ok
}

// updateServer records that a server was added or removed.
func (u *retryUses) updateServer(now time.Time, server waxwingseam.Server, present bool) {
	removed := u.removed[server.Service]
	if present {
		delete(removed, server.Name)
		return
	}
	if removed == nil {
		removed = map[waxwingseam.ServerName]time.Time{}
		u.removed[server.Service] = removed
	}
	maps.DeleteFunc(removed, func(_ waxwingseam.ServerName, at time.Time) bool { return now.Sub(at) > retryUseTime })
	removed[server.Name] = now
}

// history returns what the next process of a server's node is told.
func (u *retryUses) history(now time.Time, server waxwingseam.Server) waxwingseam.RetryHistory {
	h := waxwingseam.RetryHistory{Covered: now.Sub(u.since)}
	if v, ok := u.use(now, server.Name); ok && v.Incarnation != server.Incarnation {
		h.Use = v.Use
	}
	for name, at := range u.removed[server.Service] {
		if name != server.Name && now.Sub(at) <= retryUseTime {
			h.Left = append(h.Left, now.Sub(at))
		}
	}
	return h
}

// addRetryUse records a node's statement and marks it for the other replicas.
func (p *publisher) addRetryUse(server waxwingseam.Server, use waxwingseam.RetryUse) {
	if !p.retryUses.add(time.Now(), server.Name, ServerRetryUse{Incarnation: server.Incarnation, Use: use}) {
		return
	}
	for s := range p.sessions {
		if s.peer {
			s.dirtyRetryUses[server.Name] = struct{}{}
			s.wake()
		}
	}
}

// AddRetryUses implements Publisher.
func (p *publisher) AddRetryUses(peer string, uses map[waxwingseam.ServerName]ServerRetryUse, covered time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for server, v := range uses {
		p.retryUses.add(now, server, v)
	}
	if covered == 0 {
		return
	}
	p.retryUses.peers[peer] = now.Add(-covered)
	if 2*len(p.retryUses.peers) < p.config.Peers() {
		return
	}
	for _, since := range p.retryUses.peers {
		if since.Before(p.retryUses.since) {
			p.retryUses.since = since
		}
	}
	for s := range p.sessions {
		s.wake()
	}
}

// RetryUse implements Publisher.
func (p *publisher) RetryUse(server waxwingseam.ServerName) (ServerRetryUse, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryUses.use(time.Now(), server)
}

// addRetryUsesTo adds what other replicas have not been sent, or the history of the watcher's
// server once and again when it covers more. A replica that has no quorum may not know what
// was stated to the others.
func (p *publisher) addRetryUsesTo(s *session, push *Push) {
	now := time.Now()
	if s.peer {
		if !s.sentRetryUses {
			s.sentRetryUses, push.RetryUsesCovered = true, now.Sub(p.retryUses.since)
			for server := range p.retryUses.stated {
				s.dirtyRetryUses[server] = struct{}{}
			}
		}
		for server := range s.dirtyRetryUses {
			if v, ok := p.retryUses.use(now, server); ok {
				if push.RetryUses == nil {
					push.RetryUses = map[waxwingseam.ServerName]ServerRetryUse{}
				}
				push.RetryUses[server] = v
			}
		}
		clear(s.dirtyRetryUses)
		return
	}
	since := p.retryUses.since
	if s.announcement == nil || push.Unconfirmed || s.sentRetryUses && !since.Before(s.retryHistorySince) {
		return
	}
	s.sentRetryUses, s.retryHistorySince = true, since
	h := p.retryUses.history(now, s.announcement.Server)
	push.RetryHistory = &h
}
