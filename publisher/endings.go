package publisher

import (
	"maps"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/registrar"
)

const (
	// endingsSettleTime is how long after its start a publisher names no endings as complete:
	// nodes and other replicas tell it theirs meanwhile.
	endingsSettleTime = 2 * time.Second
	// pruneInterval is the time between two removals of old endings.
	pruneInterval = time.Minute
)

// endings holds the endings of all servers that any replica was told.
type endings struct {
	byServer map[waxwingseam.ServerName]registrar.Endings
	// peers are the replicas that have sent all endings that they know.
	peers  map[string]struct{}
	pruned time.Time
}

func newEndings() endings {
	return endings{byServer: map[waxwingseam.ServerName]registrar.Endings{}, peers: map[string]struct{}{}}
}

// add adds endings of a server and reports whether one was new.
func (e *endings) add(now time.Time, server waxwingseam.ServerName, list []waxwingseam.Ending) bool {
	e.prune(now)
	known, added := e.byServer[server], false
	for _, v := range list {
		added = known.Add(now, v) || added
	}
	if len(known) > 0 {
		e.byServer[server] = known
	}
	return added
}

// prune removes the servers whose endings are all old.
func (e *endings) prune(now time.Time) {
	if now.Sub(e.pruned) < pruneInterval {
		return
	}
	e.pruned = now
	maps.DeleteFunc(e.byServer, func(_ waxwingseam.ServerName, list registrar.Endings) bool {
		return !slices.ContainsFunc(list, func(v waxwingseam.Ending) bool { return now.Sub(v.At) <= registrar.EndingTime })
	})
}

// AddEndings implements Publisher.
func (p *publisher) AddEndings(peer string, all map[waxwingseam.ServerName][]waxwingseam.Ending, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, list := range all {
		// The other replica has sent them to all replicas.
		p.addEndings(server, list, false)
	}
	if complete {
		p.endings.peers[peer] = struct{}{}
	}
}

// Endings implements Publisher.
func (p *publisher) Endings(server waxwingseam.ServerName) []waxwingseam.Ending {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.endings.byServer[server])
}

// addEndings adds endings of a server, and marks them for the sessions of the server and, if
// toPeers is set, for those of other replicas.
func (p *publisher) addEndings(server waxwingseam.ServerName, list []waxwingseam.Ending, toPeers bool) {
	added := p.endings.add(time.Now(), server, list)
	for s := range p.sessions {
		// A watcher that sends an ending waits for its confirmation, whether it was known or not.
		if !s.peer && s.server == server || s.peer && toPeers && added {
			s.dirtyEndings[server] = struct{}{}
			s.wake()
		}
	}
}

// endingsKnown reports whether the replica has all endings that its session is to be sent.
func (p *publisher) endingsKnown(s *session) bool {
	if s.peer {
		return true
	}
	return s.server != "" && time.Since(p.started) >= endingsSettleTime && 2*len(p.endings.peers) >= p.config.Peers()
}

// addEndingsTo adds the endings that a watcher is to be sent.
func (p *publisher) addEndingsTo(s *session, push *Push) {
	if !s.sentEndings && p.endingsKnown(s) {
		s.sentEndings, push.EndingsComplete = true, true
		if s.peer {
			for server := range p.endings.byServer {
				s.dirtyEndings[server] = struct{}{}
			}
		} else if len(p.endings.byServer[s.server]) > 0 {
			s.dirtyEndings[s.server] = struct{}{}
		}
	}
	if len(s.dirtyEndings) == 0 {
		return
	}
	push.Endings = make(map[waxwingseam.ServerName][]waxwingseam.Ending, len(s.dirtyEndings))
	for server := range s.dirtyEndings {
		push.Endings[server] = slices.Clone(p.endings.byServer[server])
	}
	clear(s.dirtyEndings)
}
