package publisher

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

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
	// unwritten are the endings that the journal does not have yet. The nodes that reported
	// them wait for their confirmation.
	unwritten map[waxwingseam.ServerName][]waxwingseam.Ending
	// written is closed, and replaced, when the journal has more of them.
	written chan struct{}
	// wake wakes the writer.
	wake chan struct{}
}

func newEndings(recovered []waxwingseam.EndingsMessage) endings {
	e := endings{
		byServer:  map[waxwingseam.ServerName]registrar.Endings{},
		peers:     map[string]struct{}{},
		unwritten: map[waxwingseam.ServerName][]waxwingseam.Ending{},
		written:   make(chan struct{}),
		wake:      make(chan struct{}, 1),
	}
	now := time.Now()
	for _, m := range recovered {
		e.add(now, m.Server, m.Endings)
	}
	return e
}

// add adds endings of a server and returns those that were new.
func (e *endings) add(now time.Time, server waxwingseam.ServerName, list []waxwingseam.Ending) []waxwingseam.Ending {
	e.prune(now)
	var added []waxwingseam.Ending
	known := e.byServer[server]
	for _, v := range list {
		if known.Add(now, v) {
			added = append(added, v)
		}
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

// StoreEndings implements Publisher.
func (p *publisher) StoreEndings(ctx context.Context, m *waxwingseam.EndingsMessage) (*EndingsStored, error) {
	p.mu.Lock()
	p.addEndings(m.Server, m.Endings, true)
	known := p.endings.byServer[m.Server]
	tooOld := slices.ContainsFunc(m.Endings, func(e waxwingseam.Ending) bool { return !known.Has(e) })
	p.mu.Unlock()
	if tooOld {
		return nil, trace.BadParameter("an ending of %s is too old to be stored", m.Server)
	}
	for {
		p.mu.Lock()
		unwritten, written := registrar.Endings(p.endings.unwritten[m.Server]), p.endings.written
		stored := !slices.ContainsFunc(m.Endings, unwritten.Has)
		p.mu.Unlock()
		if stored {
			return &EndingsStored{}, nil
		}
		select {
		case <-written:
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		}
	}
}

// addEndings adds endings of a server, and marks new ones for its node. Those that the node
// itself reported are marked for the sessions of other replicas too.
func (p *publisher) addEndings(server waxwingseam.ServerName, list []waxwingseam.Ending, byNode bool) {
	added := p.endings.add(time.Now(), server, list)
	if p.config.Endings != nil && len(added) > 0 {
		p.endings.unwritten[server] = append(p.endings.unwritten[server], added...)
		p.endings.wakeWriter()
	}
	if byNode && len(added) > 0 {
		p.markEndings(server, true)
	}
	// A node that reports an ending waits for its confirmation, whether it was known or not.
	if byNode || len(added) > 0 {
		p.markEndings(server, false)
	}
}

// markEndings marks a server's endings for the sessions of other replicas, or for those of
// the server.
func (p *publisher) markEndings(server waxwingseam.ServerName, peers bool) {
	for s := range p.sessions {
		if s.peer == peers && (peers || s.server == server) {
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

// addEndingsTo adds the endings that a watcher is to be sent. A node is told at once what is
// known of its server, and told later that there is no more.
func (p *publisher) addEndingsTo(s *session, push *Push) {
	if !s.peer && !s.beganEndings && s.server != "" {
		s.beganEndings = true
		s.dirtyEndings[s.server] = struct{}{}
	}
	if !s.sentEndings && p.endingsKnown(s) {
		s.sentEndings, push.EndingsComplete = true, true
		if s.peer {
			for server := range p.endings.byServer {
				s.dirtyEndings[server] = struct{}{}
			}
		}
	}
	for server := range s.dirtyEndings {
		p.addServerEndings(s, server, push)
	}
	clear(s.dirtyEndings)
}

// addServerEndings adds the endings of a server. Those that the journal does not have are
// told to its node apart, since they are not confirmed.
func (p *publisher) addServerEndings(s *session, server waxwingseam.ServerName, push *Push) {
	list := slices.Clone(p.endings.byServer[server])
	if unwritten := p.endings.unwritten[server]; !s.peer && len(unwritten) > 0 {
		push.UnstoredEndings = slices.Clone(unwritten)
		list = slices.DeleteFunc(list, func(e waxwingseam.Ending) bool { return slices.Contains(unwritten, e) })
	}
	if len(list) == 0 {
		return
	}
	if push.Endings == nil {
		push.Endings = map[waxwingseam.ServerName][]waxwingseam.Ending{}
	}
	push.Endings[server] = list
}
