package registrar

import (
	"waxwingseam.example/waxwingseam"
)

// leaseCounts counts the servers of one service, and those with an ended lease.
type leaseCounts struct {
	all   int
	ended int
}

// expire drops servers whose lease has ended, and those that were kept for
// OrphanTime. If too many leases of a service have ended, its servers with ended
// leases are marked as lapsed instead, except for leaving ones, which are dropped.
func (r *registrar) expire(c *waxwingseam.Context, e waxwingseam.TimerFired, changed *waxwingseam.ServersChanged) {
	if e.Timer.Purpose != PurposeLeases {
		return
	}
	r.armed = false
	counts, due := r.checkLeases(c)
	for _, known := range due {
		switch {
		case r.orphanExpired(c, known):
			r.drop(c, known, changed)
		case known.Announcement.Server.Leaving || counts[known.Announcement.Server.Service].fewEnded():
			r.drop(c, known, changed)
		default:
			known.Lapsed = true
			changed.Present = append(changed.Present, *known)
		}
	}
	for name, d := range r.removed {
		if c.Now.After(d.forgetAt) {
			delete(r.removed, name)
		}
	}
}

// leaseEnded reports whether a server announced itself to this registrar and its
// lease has ended.
func leaseEnded(c *waxwingseam.Context, known *waxwingseam.Registration) bool {
	return known.Peer == "" && c.Now.After(known.Expires)
}

// orphanExpired reports whether a server that is lapsed, or whose registrar was
// lost, has been kept for OrphanTime.
func (r *registrar) orphanExpired(c *waxwingseam.Context, known *waxwingseam.Registration) bool {
	if known.Peer == "" {
		return known.Lapsed && c.Now.After(known.Expires.Add(OrphanTime))
	}
	since, ok := r.lost[known.Peer]
	return ok && c.Now.Sub(since) > OrphanTime
}

// checkLeases counts the leases of each service, and returns the servers to drop
// or mark as lapsed, ordered by name.
func (r *registrar) checkLeases(c *waxwingseam.Context) (map[waxwingseam.ServiceName]leaseCounts, []*waxwingseam.Registration) {
	counts := map[waxwingseam.ServiceName]leaseCounts{}
	var due []*waxwingseam.Registration
	for _, known := range r.table {
		n := counts[known.Announcement.Server.Service]
		n.all++
		if leaseEnded(c, known) {
			n.ended++
		}
		counts[known.Announcement.Server.Service] = n
		if leaseEnded(c, known) && !known.Lapsed || r.orphanExpired(c, known) {
			due = append(due, known)
		}
	}
	sortByName(due)
	return counts, due
}

// fewEnded reports whether at most maxLapsedPercent of the leases have ended, so
// that their servers are dropped.
func (n leaseCounts) fewEnded() bool {
	return n.ended*hundred <= n.all*maxLapsedPercent
}
