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
	counts, due := r.survey(c)
	for _, known := range due {
		switch {
		case r.forgotten(c, known):
			r.drop(c, known, changed)
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

// survey takes the census of each service, and lists in order of names the
// servers to decide on.
func (r *registrar) survey(c *waxwingseam.Context) (map[waxwingseam.ServiceName]census, []*waxwingseam.Registration) {
	counts := map[waxwingseam.ServiceName]census{}
	var due []*waxwingseam.Registration
	for _, known := range r.table {
		n := counts[known.Announcement.Server.Service]
		n.all++
		if ended(c, known) {
			n.ending++
		}
		counts[known.Announcement.Server.Service] = n
		if ended(c, known) && !known.Lapsed || r.forgotten(c, known) {
			due = append(due, known)
		}
	}
	sortByName(due)
	return counts, due
}

// believable reports whether few enough leases end at once that the servers
// are taken to be gone.
func (n census) believable() bool {
	return n.ending*hundred <= n.all*maxLapsedPercent
}
