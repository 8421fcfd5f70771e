// Package registrar maintains the table of backend servers that announce
// themselves. The table is soft state: it depends on leases, not on the log.
package registrar

import (
	"slices"
	"strings"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// LeaseTime is how long a lease lasts unless it is renewed.
	LeaseTime = 3 * time.Second
	// OrphanTime is how long a server is kept after the registrar that it
	// announced itself to was lost, or as lapsed after its lease has ended.
	OrphanTime = time.Hour
	// PurposeLeases is the purpose of the timer that checks the leases.
	PurposeLeases waxwingseam.TimerPurpose = "leases"
	// checkInterval is the time between checks of the leases.
	checkInterval = 250 * time.Millisecond
	// maxLapsedPercent is the maximum share of a service's servers that may be
	// dropped for ended leases at a time. If more leases end, a fault in the
	// registrar's own network is more likely, and the servers are kept.
	maxLapsedPercent = 50
	hundred          = 100
)

type registrar struct {
	table map[waxwingseam.ServerName]*waxwingseam.Registration
	armed bool
	// lost maps each unreachable peer to the time when it was lost.
	lost map[string]time.Time
	// removed holds the latest announcement of each server that was dropped
	// within OrphanTime, so that an older announcement that arrives late does
	// not restore the server.
	removed map[waxwingseam.ServerName]removal
}

type removal struct {
	announcement waxwingseam.Announcement
	forgetAt     time.Time
}

// New returns a registrar with an empty table.
func New() waxwingseam.Worker {
	return &registrar{
		table:   map[waxwingseam.ServerName]*waxwingseam.Registration{},
		lost:    map[string]time.Time{},
		removed: map[waxwingseam.ServerName]removal{},
	}
}

// Kinds implements waxwingseam.Worker.
func (r *registrar) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{
		waxwingseam.KindServerAnnounced,
		waxwingseam.KindLeaseRenewed,
		waxwingseam.KindPeerServersUpdated,
		waxwingseam.KindPeerLost,
		waxwingseam.KindTimerFired,
	}
}

// Reduce implements waxwingseam.Worker.
func (r *registrar) Reduce(c *waxwingseam.Context, e waxwingseam.Event) {
	var changed waxwingseam.ServersChanged
	switch v := e.(type) {
	case waxwingseam.ServerAnnounced:
		r.announce(c, v.Announcement, &changed)
	case waxwingseam.LeaseRenewed:
		r.renew(c, v, &changed)
	case waxwingseam.PeerServersUpdated:
		r.updatePeer(c, v, &changed)
	case waxwingseam.PeerLost:
		r.markLost(c, v.Peer)
	case waxwingseam.TimerFired:
		r.expire(c, v, &changed)
	}
	r.arm(c)
	if len(changed.Present)+len(changed.Gone) > 0 {
		c.Emit(changed)
	}
}

// announce registers a server that announced itself to this registrar. It
// refuses the server if a later incarnation is known.
func (r *registrar) announce(c *waxwingseam.Context, a waxwingseam.Announcement, changed *waxwingseam.ServersChanged) {
	if newest := r.newest(a.Server.Name); newest > a.Server.Incarnation {
		c.Emit(waxwingseam.ServerSuperseded{Server: a.Server.Name, Incarnation: newest})
		return
	}
	r.put(waxwingseam.Registration{
		Announcement: a,
		Expires:      c.Now.Add(LeaseTime),
	}, changed)
}

// newest returns the latest known incarnation of a server; 0 if there is none.
func (r *registrar) newest(name waxwingseam.ServerName) waxwingseam.Incarnation {
	newest := r.removed[name].announcement.Server.Incarnation
	if known, ok := r.table[name]; ok {
		newest = max(newest, known.Announcement.Server.Incarnation)
	}
	return newest
}

// put adds a registration to the table unless a newer one is known. A dropped
// server is added again only with a newer announcement than its last.
func (r *registrar) put(next waxwingseam.Registration, changed *waxwingseam.ServersChanged) {
	name := next.Announcement.Server.Name
	if d, ok := r.removed[name]; ok && !next.Announcement.Newer(d.announcement) {
		return
	}
	known, ok := r.table[name]
	if ok && known.Announcement.Newer(next.Announcement) {
		return
	}
	delete(r.removed, name)
	r.table[name] = &next
	if ok && !next.Announcement.Newer(known.Announcement) && known.Peer == next.Peer && !known.Lapsed {
		return
	}
	changed.Present = append(changed.Present, next)
}

// renew extends the lease of a server that announced itself to this registrar.
func (r *registrar) renew(c *waxwingseam.Context, e waxwingseam.LeaseRenewed, changed *waxwingseam.ServersChanged) {
	known, ok := r.table[e.Server]
	if !ok || known.Peer != "" || known.Announcement.Server.Incarnation != e.Incarnation {
		return
	}
	known.Expires = c.Now.Add(LeaseTime)
	if known.Lapsed {
		known.Lapsed = false
		changed.Present = append(changed.Present, *known)
	}
}

// updatePeer applies a change to the servers of another registrar.
func (r *registrar) updatePeer(c *waxwingseam.Context, e waxwingseam.PeerServersUpdated, changed *waxwingseam.ServersChanged) {
	delete(r.lost, e.Peer)
	listed := make(map[waxwingseam.ServerName]bool, len(e.Present))
	for _, a := range e.Present {
		listed[a.Server.Name] = true
		r.put(waxwingseam.Registration{Announcement: a, Peer: e.Peer}, changed)
	}
	for _, a := range e.Gone {
		if known, ok := r.table[a.Server.Name]; ok && !known.Announcement.Newer(a) && known.Peer == e.Peer {
			r.drop(c, known, changed)
		}
	}
	if !e.Complete {
		return
	}
	for _, known := range r.serversOf(e.Peer) {
		if !listed[known.Announcement.Server.Name] {
			r.drop(c, known, changed)
		}
	}
}

// markLost records when a peer was lost. Its servers are dropped OrphanTime later.
func (r *registrar) markLost(c *waxwingseam.Context, peer string) {
	if _, ok := r.lost[peer]; !ok {
		r.lost[peer] = c.Now
	}
}

func (r *registrar) drop(c *waxwingseam.Context, known *waxwingseam.Registration, changed *waxwingseam.ServersChanged) {
	name := known.Announcement.Server.Name
	delete(r.table, name)
	r.removed[name] = removal{announcement: known.Announcement, forgetAt: c.Now.Add(OrphanTime)}
	changed.Gone = append(changed.Gone, *known)
}

// serversOf returns a peer's servers, ordered by name.
func (r *registrar) serversOf(peer string) []*waxwingseam.Registration {
	var list []*waxwingseam.Registration
	for _, v := range r.table {
		if v.Peer == peer {
			list = append(list, v)
		}
	}
	sortByName(list)
	return list
}

func sortByName(list []*waxwingseam.Registration) {
	slices.SortFunc(list, func(a, b *waxwingseam.Registration) int {
		return strings.Compare(string(a.Announcement.Server.Name), string(b.Announcement.Server.Name))
	})
}

// arm starts the timer unless it is running or there is nothing to expire.
func (r *registrar) arm(c *waxwingseam.Context) {
	if r.armed || len(r.table)+len(r.removed) == 0 {
		return
	}
	r.armed = true
	c.Emit(waxwingseam.ArmTimer{
		Timer: waxwingseam.TimerID{Purpose: PurposeLeases},
		At:    c.Now.Add(checkInterval),
	})
}
