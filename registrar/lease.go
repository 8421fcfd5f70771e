package registrar

import (
	"waxwingseam.example/waxwingseam"
)

// census counts the servers of one service.
type census struct {
	all    int
	ending int
}

// expire drops the servers whose lease has ended, and what was kept long
// enough after its registrar was lost.
func (r *registrar) expire(c *waxwingseam.Context, e waxwingseam.TimerFired, changed *waxwingseam.ServersChanged) {
	if e.Timer.Purpose != PurposeLeases {
		return
	}
	r.armed = false
	counts := r.count(c)
	for _, known := range r.sorted() {
		switch {
		case r.forgotten(c, known):
			r.drop(c, known, changed)
		case !ended(c, known) || known.Lapsed:
		case known.Announcement.Server.Leaving || counts[known.Announcement.Server.Service].believable():
			r.drop(c, known, changed)
		default:
			known.Lapsed = true
			changed.Present = append(changed.Present, *known)
		}
	}
	for name, d := range r.departed {
		if c.Now.After(d.forget) {
			delete(r.departed, name)
		}
	}
}

// ended reports whether the lease of a server of the registrar's own is over.
func ended(c *waxwingseam.Context, known *waxwingseam.Registration) bool {
	return known.Peer == "" && c.Now.After(known.Expires)
}

// forgotten reports whether a server that cannot be heard of is given up.
func (r *registrar) forgotten(c *waxwingseam.Context, known *waxwingseam.Registration) bool {
	if known.Peer == "" {
		return known.Lapsed && c.Now.After(known.Expires.Add(OrphanTime))
	}
	since, ok := r.lost[known.Peer]
	return ok && c.Now.Sub(since) > OrphanTime
}

// count takes the census of each service.
func (r *registrar) count(c *waxwingseam.Context) map[waxwingseam.ServiceName]census {
	counts := map[waxwingseam.ServiceName]census{}
	for _, known := range r.table {
		n := counts[known.Announcement.Server.Service]
		n.all++
		if ended(c, known) {
			n.ending++
		}
		counts[known.Announcement.Server.Service] = n
	}
	return counts
}

// believable reports whether few enough leases end at once that the servers
// are taken to be gone. A service's only server is dropped when it ends.
func (n census) believable() bool {
	return n.all == 1 || n.ending*hundred <= n.all*maxLapsedPercent
}
