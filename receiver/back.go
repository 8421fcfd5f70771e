package receiver

import "waxwingseam.example/waxwingseam"

const (
	// slowPace is the pace from which on a server counts as slow at the moment.
	slowPace = 1.5
	// maxBackQueue is the number of waiting calls, as a part of the limit, above which new
	// calls are sent back. With none, or half of this, twice as many calls are sent twice,
	// and no more of them end in time.
	maxBackQueue = 0.5
	// maxBackBits bounds the length of the body of calls that are sent back, as a number of
	// bits. The sender holds so much of a body until it is acknowledged.
	maxBackBits = 16
)

// sendsBack reports whether a call is sent back with the proof that it did not run, because
// the backend server is slow at the moment or has a queue, so that another one takes it. The
// sender chose by figures that may be some hundred ms old. Only the first attempt of a call
// is sent back, so that each call travels at most once more, and is served where it arrives
// then.
func (r *receiver) sendsBack(c *waxwingseam.Context, e *waxwingseam.AttemptArrived) bool {
	if !r.workload.active() || r.others() == 0 || e.Attempt != 1 || e.BodySize > maxBackBits {
		return false
	}
	if e.Call.Key != "" || e.Call.Resumed || e.Call.Repeated {
		return false
	}
	load := r.admitter.Load()
	return r.workload.currentPace(c.Now) >= slowPace || float64(load.Waiting) > maxBackQueue*float64(load.Limit)
}

// updateServers records which other servers the node's service has.
func (r *receiver) updateServers(c *waxwingseam.Context, e waxwingseam.ServersUpdated) {
	for _, s := range e.Servers {
		if s.Name == c.Self.Name {
			continue
		}
		r.services[s.Name] = s.Service
		if s.Leaving {
			delete(r.services, s.Name)
		}
	}
	for _, name := range e.Gone {
		delete(r.services, name)
	}
	r.othersKnown = false
}

// others returns the number of other servers of the node's service that are not leaving.
func (r *receiver) others() int {
	if r.othersKnown {
		return r.otherServers
	}
	r.othersKnown, r.otherServers = true, 0
	for _, service := range r.services {
		if service == r.settings.service {
			r.otherServers++
		}
	}
	return r.otherServers
}
