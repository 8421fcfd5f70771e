// Package registrar keeps the table of backend servers that announce
// themselves. The table is soft state: leases, not the log, keep it true.
package registrar

import (
	"slices"
	"strings"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// LeaseTime is how long an announcement holds without being renewed.
	LeaseTime = 3 * time.Second
	// OrphanTime is how long servers stay known after the registrar they
	// announced themselves to was lost, and after a lapse that was not believed.
	OrphanTime = time.Hour
	// PurposeLeases names the timer that ends leases.
	PurposeLeases waxwingseam.TimerPurpose = "leases"
	// checkEvery is the time between looks at the leases.
	checkEvery = 250 * time.Millisecond
	// maxLapsedPercent is the share of one service's servers that may be
	// dropped for ended leases at a time. Where more leases end, the fault is
	// more likely the registrar's own network, and the servers are kept.
	maxLapsedPercent = 50
	hundred          = 100
)

type registrar struct {
	table map[waxwingseam.ServerName]*waxwingseam.Registration
	armed bool
	// lost holds when each peer that is out of reach was lost.
	lost map[string]time.Time
	// departed holds the latest announcement of servers dropped lately, so
	// that an older one that arrives late brings none back.
	departed map[waxwingseam.ServerName]departure
}

type departure struct {
	announcement waxwingseam.Announcement
	forget       time.Time
}

// New returns a registrar with an empty table.
func New() waxwingseam.Worker {
	return &registrar{
		table:    map[waxwingseam.ServerName]*waxwingseam.Registration{},
		lost:     map[string]time.Time{},
		departed: map[waxwingseam.ServerName]departure{},
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
		r.learn(c, v, &changed)
	case waxwingseam.PeerLost:
		r.lose(c, v.Peer)
	case waxwingseam.TimerFired:
		r.expire(c, v, &changed)
	}
	r.arm(c)
	if len(changed.Present)+len(changed.Gone) > 0 {
		c.Emit(changed)
	}
}

// announce takes in a server of the registrar's own.
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

// newest returns the latest known incarnation of a server; 0 for none.
func (r *registrar) newest(name waxwingseam.ServerName) waxwingseam.Incarnation {
	newest := r.departed[name].announcement.Server.Incarnation
	if known, ok := r.table[name]; ok {
		newest = max(newest, known.Announcement.Server.Incarnation)
	}
	return newest
}

// put enters a registration unless a newer one is known.
func (r *registrar) put(next waxwingseam.Registration, changed *waxwingseam.ServersChanged) {
	name := next.Announcement.Server.Name
	if d, ok := r.departed[name]; ok && !next.Announcement.Newer(d.announcement) {
		return
	}
	known, ok := r.table[name]
	if ok && known.Announcement.Newer(next.Announcement) {
		return
	}
	delete(r.departed, name)
	r.table[name] = &next
	if ok && !next.Announcement.Newer(known.Announcement) && known.Peer == next.Peer && !known.Lapsed {
		return
	}
	changed.Present = append(changed.Present, next)
}

// renew extends the lease of a server of the registrar's own.
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

// learn takes in the servers of another registrar.
func (r *registrar) learn(c *waxwingseam.Context, e waxwingseam.PeerServersUpdated, changed *waxwingseam.ServersChanged) {
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
	for _, known := range r.of(e.Peer) {
		if !listed[known.Announcement.Server.Name] {
			r.drop(c, known, changed)
		}
	}
}

// lose starts the time after which the servers of a lost peer are forgotten.
func (r *registrar) lose(c *waxwingseam.Context, peer string) {
	if _, ok := r.lost[peer]; !ok {
		r.lost[peer] = c.Now
	}
}

func (r *registrar) drop(c *waxwingseam.Context, known *waxwingseam.Registration, changed *waxwingseam.ServersChanged) {
	name := known.Announcement.Server.Name
	delete(r.table, name)
	r.departed[name] = departure{announcement: known.Announcement, forget: c.Now.Add(OrphanTime)}
	changed.Gone = append(changed.Gone, *known)
}

// of returns a peer's servers in order of names.
func (r *registrar) of(peer string) []*waxwingseam.Registration {
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

// arm keeps the timer running while there is something that may end.
func (r *registrar) arm(c *waxwingseam.Context) {
	if r.armed || len(r.table)+len(r.departed) == 0 {
		return
	}
	r.armed = true
	c.Emit(waxwingseam.ArmTimer{
		Timer: waxwingseam.TimerID{Purpose: PurposeLeases},
		At:    c.Now.Add(checkEvery),
	})
}
