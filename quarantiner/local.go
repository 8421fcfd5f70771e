package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// brokenRetention is how long a broken run waits for the proof that the server has
	// ended. A restarted server reports its new start within this time.
	brokenRetention = 10 * time.Second
	// cancelledRetention is how long before the end of a server a run may have been
	// cancelled that still may have caused it.
	cancelledRetention = time.Second
	// gatherTime is how long after the proof of an end the runs are gathered that it
	// broke off.
	gatherTime = 50 * time.Millisecond
	// maxRequests bounds the requests of one end. Those that were handed over last are
	// kept.
	maxRequests = 256
)

// localServer is what is known of the current life of the node's own backend server.
type localServer struct {
	backend waxwingseam.BackendIncarnation
	// proven is set once the server has completed a run well.
	proven bool
	// unanswered are the recent runs without a reply, in the order of their ends.
	unanswered []unansweredRun
	// probing and gathering are set while the result of a probe, or TimerEnd, is
	// outstanding.
	probing   bool
	gathering bool
	// ends counts the recorded ends.
	ends uint64
}

// unansweredRun is a run that has ended without a reply.
type unansweredRun struct {
	fingerprint waxwingseam.Fingerprint
	at          time.Time
	elapsed     time.Duration
	// broken is set if the server broke the run off, and not the node.
	broken bool
}

// runEnded records what a run says of its request and of the server.
func (q *quarantiner) runEnded(c *waxwingseam.Context, e waxwingseam.RunEnded) {
	q.endTrial(e.ID)
	switch {
	case e.Result.Succeeded():
		q.local.proven = true
		q.history.add(c.Now, e.Fingerprint.Quick)
		q.clear(c, e.Fingerprint.Quick)
	case e.Connection == waxwingseam.ConnectionRefused:
		q.serverGone(c)
	case e.Connection == waxwingseam.ConnectionBroken && q.drainer.Leaving():
		// The end of a server that leaves is planned.
	case e.Connection == waxwingseam.ConnectionBroken:
		q.addUnanswered(c, e, true)
		if !q.local.probing && !q.local.gathering {
			q.local.probing = true
			c.Emit(waxwingseam.ProbeBackend{})
		}
	case !e.Fingerprint.Digest.IsZero():
		q.addUnanswered(c, e, false)
	}
}

func (q *quarantiner) addUnanswered(c *waxwingseam.Context, e waxwingseam.RunEnded, broken bool) {
	q.local.expire(c.Now)
	q.local.unanswered = append(q.local.unanswered, unansweredRun{
		fingerprint: e.Fingerprint,
		at:          c.Now,
		elapsed:     e.Elapsed,
		broken:      broken,
	})
}

// expire removes the runs that are too old to be explained by an end of the server now.
func (l *localServer) expire(now time.Time) {
	l.unanswered = slices.DeleteFunc(l.unanswered, func(r unansweredRun) bool {
		if r.broken {
			return now.Sub(r.at) > brokenRetention
		}
		return now.Sub(r.at) > cancelledRetention
	})
}

// broken reports whether the server has broken off a run recently.
func (l *localServer) broken() bool {
	return slices.ContainsFunc(l.unanswered, func(r unansweredRun) bool { return r.broken })
}

func (q *quarantiner) backendProbed(c *waxwingseam.Context, e waxwingseam.BackendProbed) {
	q.local.probing = false
	if e.Refused {
		q.serverGone(c)
	}
}

// serverGone handles the proof that nothing listens at the server's address.
func (q *quarantiner) serverGone(c *waxwingseam.Context) {
	q.local.expire(c.Now)
	if q.local.gathering || !q.local.broken() {
		return
	}
	q.local.gathering = true
	arm(c, TimerEnd, gatherTime)
}

// backendReported handles a report that may be the first one after a restart. The
// supervisor has updated the node's state before.
func (q *quarantiner) backendReported(c *waxwingseam.Context) {
	backend := c.Self.BackendIncarnation()
	if backend.Equal(q.local.backend) {
		return
	}
	if q.local.backend.Instance != "" {
		q.recordEnd(c, waxwingseam.EndProofRestarted)
	}
	q.local.backend = backend
	q.local.proven = false
}

// recordEnd records the end of the server if it broke off runs.
func (q *quarantiner) recordEnd(c *waxwingseam.Context, proof waxwingseam.EndProof) {
	l := &q.local
	l.gathering = false
	l.expire(c.Now)
	if !l.broken() {
		return
	}
	l.ends++
	end := waxwingseam.ServerEnd{
		ID:       waxwingseam.ServerEndID{Server: c.Self.Name, Incarnation: c.Self.Incarnation, Number: l.ends},
		Service:  c.Self.Service,
		Proven:   l.proven,
		Requests: l.endedRequests(),
	}
	l.unanswered = nil
	l.proven = false
	c.Emit(waxwingseam.BackendEnded{End: end, Instance: l.backend.Instance, Proof: proof})
	if len(end.Requests) == 0 {
		return
	}
	q.add(c, end)
	q.send(c, q.nodes(c), waxwingseam.EndsMessage{Ends: []waxwingseam.ServerEnd{end}})
	q.judge(c)
}

// endedRequests returns the requests of the unanswered runs, each once.
func (l *localServer) endedRequests() []waxwingseam.EndedRequest {
	// The run that ended the server was handed over shortly before.
	slices.SortStableFunc(l.unanswered, func(a, b unansweredRun) int {
		return cmp.Compare(a.elapsed, b.elapsed)
	})
	seen := map[waxwingseam.RequestDigest]bool{{}: true}
	var out []waxwingseam.EndedRequest
	for _, r := range l.unanswered {
		if seen[r.fingerprint.Digest] || len(out) == maxRequests {
			continue
		}
		seen[r.fingerprint.Digest] = true
		out = append(out, waxwingseam.EndedRequest{Fingerprint: r.fingerprint})
	}
	return out
}
