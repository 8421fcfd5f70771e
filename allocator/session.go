package allocator

import (
	"net/netip"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// retryInterval is the time between two sendings of a request. A node may have to wait
	// for its share of a processor for some tens of milliseconds.
	retryInterval = 80 * time.Millisecond
	// silentTries is after how many sendings without an answer an owner counts as silent,
	// and maxTries after how many attempts another owner is selected.
	silentTries = 2
	maxTries    = 5
	// minHeartbeat and heartbeatNodes set the time between two requests to an owner if there
	// is nothing to report: it grows with the number of nodes, so that an owner receives at
	// most heartbeatNodes of them each second.
	minHeartbeat   = 400 * time.Millisecond
	maxHeartbeat   = time.Minute
	heartbeatNodes = 125
	// heartbeatJitter is the part of the interval that is random.
	heartbeatJitter = 0.2
	// answerMargin is the time that a request and its answer may take.
	answerMargin = 150 * time.Millisecond
	// voteMargin is the time beyond a heartbeat interval for which an owner counts on the part
	// of a node: the tries of a request.
	voteMargin = maxTries * retryInterval
	// voteDrift allows for clocks and numbers of nodes that differ: a node that leaves an
	// owner waits for longer than the owner counts on its part.
	voteDrift = 1.25
	// recentAnswer is longer than a refusal of a connection takes to be reported, and shorter
	// than a process takes to start.
	recentAnswer = 20 * time.Millisecond
	// minRefusal and maxRefusal bound how long a node refuses roots without asking. The time
	// grows while an account is short, until an owner receives at most askingNodes requests
	// for it each second.
	minRefusal  = 50 * time.Millisecond
	maxRefusal  = time.Second
	askingNodes = 400
)

// heartbeatInterval returns the time between two requests to an owner for n nodes.
func heartbeatInterval(n int) time.Duration {
	return min(max(minHeartbeat, time.Duration(n)*time.Second/heartbeatNodes), maxHeartbeat)
}

// voteTime returns how long an owner counts on the part of a node after the answer that
// the node has last confirmed. The next confirmation comes with the request after the next.
func voteTime(n int) time.Duration {
	return time.Duration(2*(1+heartbeatJitter)*float64(heartbeatInterval(n))) + voteMargin
}

// session is what this node has with the owner of one shard. One request is open at a
// time.
type session struct {
	key shardKey
	// candidates are the nodes that own the shard in turn, as of changes.
	candidates []netip.AddrPort
	changes    uint64
	owner      netip.AddrPort
	// next is the owner that follows once the present one has confirmed that it no longer
	// counts on this node's part; invalid if there is no change.
	next netip.AddrPort
	// voted is set while the owner may count on this node's part, and voteFrom is from
	// when on this node may bring it to another owner.
	voted    bool
	voteFrom time.Time
	// earlyUntil is until when a former owner that has ended could count on this node's
	// part if it had not.
	earlyUntil time.Time
	ownerLife  uint32
	echo       uint32
	// answeredAt is when the last answer came, and confirmedAt when its request was sent.
	answeredAt, confirmedAt time.Time
	version                 uint32
	// scarce are the accounts that the owner has listed; allScarce is set while it does not
	// know its accounts.
	scarce    []*account
	allScarce bool
	// dirty are the accounts with something to report or to ask for.
	dirty   []*account
	sampled uint32
	seq     uint32
	open    *openRequest
	// again is set if another request is to follow the open one.
	again       bool
	heartbeatAt time.Time
}

// openRequest is a request without an answer.
type openRequest struct {
	message         []byte
	seq             uint32
	entries         []use
	vote            bool
	sentAt, triedAt time.Time
	tries           int
}

// reshard makes the sessions for a number of shards. Unless the number has changed, they
// go on.
func (a *Allocator) reshard(count int) {
	if count != len(a.shards) {
		var voteFrom time.Time
		for _, s := range a.shards {
			voteFrom = later(voteFrom, s.freeFrom(len(a.members.servers)))
			a.reportAgain(s)
		}
		a.shards = make([]*session, count)
		for i := range a.shards {
			a.shards[i] = &session{
				key:       shardKey{Shards: uint16(count), Shard: uint16(i)},
				allScarce: true,
				voteFrom:  voteFrom,
			}
		}
	}
	for _, s := range a.shards {
		s.dirty = nil
	}
	for _, name := range sortedNames(a.accounts) {
		v := a.accounts[name]
		v.dirty = false
		a.shards[v.shard].touch(v)
	}
}

// freeFrom returns when the owner no longer counts on this node's part.
func (s *session) freeFrom(nodes int) time.Time {
	if !s.voted {
		return s.voteFrom
	}
	return s.answeredAt.Add(time.Duration(voteDrift * float64(voteTime(nodes))))
}

func later(t, u time.Time) time.Time {
	if t.After(u) {
		return t
	}
	return u
}

// touch notes that the account has something to report.
func (s *session) touch(v *account) {
	if !v.dirty {
		v.dirty = true
		s.dirty = append(s.dirty, v)
	}
}

// confirmed reports whether the node has recent news from the owner, and no sign that it
// may be cut off.
func (a *Allocator) confirmed(c *waxwingseam.Context, s *session) bool {
	if s.confirmedAt.IsZero() || s.confirmedAt.Before(a.failedAt) {
		return false
	}
	if s.open != nil && s.open.tries > silentTries {
		return false
	}
	valid := time.Duration((1+heartbeatJitter)*float64(heartbeatInterval(a.nodes(c)))) + answerMargin
	return clock(c).Sub(s.confirmedAt) <= valid
}

// flush sends what there is to report and to ask for to the owner, at once or after the
// answer to the open request.
func (a *Allocator) flush(c *waxwingseam.Context, s *session) {
	if s.open != nil {
		s.again = true
		return
	}
	now := clock(c)
	if !s.owner.IsValid() {
		a.setOwner(c, s, a.preferred(c, s))
	}
	if !s.owner.IsValid() || !c.Self.Node.IsValid() {
		return
	}
	s.again = false
	s.seq++
	m := request{
		From: c.Self.Node, Nodes: a.listed(c), Shards: s.key.Shards, Shard: s.key.Shard,
		Life: a.life, Seq: s.seq, OwnerLife: s.ownerLife, Echo: s.echo, Version: s.version, Sampled: s.sampled,
		Vote: s.vote(now),
	}
	for _, u := range s.collect(now) {
		if u.plain() {
			m.Plain = append(m.Plain, u.ID, u.Used)
		} else {
			m.Entries = append(m.Entries, u)
		}
	}
	s.sampled = 0
	s.open = &openRequest{
		message: encode(kindRequest, m), seq: m.Seq, entries: m.uses(), vote: m.Vote != voteNone,
		sentAt: now, triedAt: now, tries: 1,
	}
	s.voted = s.voted || m.Vote != voteNone
	s.heartbeatAt = now.Add(a.jittered(c, heartbeatInterval(a.nodes(c))))
	a.wake(c, now.Add(retryInterval))
	a.send(c, s.owner, s.open.message)
}

// mayVote reports whether the node may bring its part of the rates to the owner. An
// answer of this owner is required, from which the owner counts.
func (s *session) mayVote(now time.Time) bool {
	return s.ownerLife != 0 && !s.next.IsValid() && !now.Before(s.voteFrom)
}

// vote returns the vote for the next request.
func (s *session) vote(now time.Time) vote {
	switch {
	case !s.mayVote(now):
		return voteNone
	case now.Before(s.earlyUntil):
		return voteEarly
	}
	return voteFull
}

func (a *Allocator) jittered(c *waxwingseam.Context, d time.Duration) time.Duration {
	return time.Duration((1 - heartbeatJitter + 2*heartbeatJitter*c.Random().Float64()) * float64(d))
}

// collect moves what there is to report into a request. Accounts with credit stay in the
// list, as credit that expires is reported, too.
func (s *session) collect(now time.Time) []use {
	var out []use
	kept := s.dirty[:0]
	for _, v := range s.dirty {
		if v.credit > 0 && !now.Before(v.creditUntil) {
			v.returned += v.credit
			v.credit = 0
		}
		u := use{
			ID: v.id, Used: v.used, Returned: v.returned, Refunded: v.refunded, Refused: v.refused,
			Waiting: uint32(len(v.waiting)),
		}
		if now.Before(v.askedUntil) && float64(v.credit) < v.ahead(now)/2 {
			u.Ahead = uint32(v.ahead(now))
		}
		v.used, v.returned, v.refunded, v.refused = 0, 0, 0, 0
		if u != (use{ID: v.id}) {
			out = append(out, u)
		}
		v.dirty = v.credit > 0 || len(v.waiting) > 0
		if v.dirty {
			kept = append(kept, v)
		}
	}
	s.dirty = kept
	return out
}

// advance does what is due in a session, and returns when it is to be called again.
func (a *Allocator) advance(c *waxwingseam.Context, s *session) time.Time {
	now := clock(c)
	if s.open != nil {
		a.retry(c, s)
	}
	if s.open == nil {
		a.retarget(c, s)
		if joining := s.mayVote(now) && !s.voted; joining || !now.Before(s.heartbeatAt) {
			a.flush(c, s)
		}
	}
	switch {
	case s.open != nil:
		return s.open.triedAt.Add(retryInterval)
	case s.voteFrom.After(now):
		return earlier(s.heartbeatAt, s.voteFrom)
	}
	return later(s.heartbeatAt, now.Add(minHeartbeat/4))
}

// retry sends the open request again if it is due, or gives its owner up.
func (a *Allocator) retry(c *waxwingseam.Context, s *session) {
	now := clock(c)
	o := s.open
	if now.Sub(o.triedAt) < retryInterval {
		return
	}
	if o.tries >= maxTries {
		a.abandon(c, s)
		return
	}
	o.tries++
	o.triedAt = now
	if o.tries == silentTries+1 {
		a.failedAt = now
	}
	a.send(c, s.owner, o.message)
}

// ownerEnded gives an owner up that has refused a connection. Its process has likely ended,
// and this node may bring its part to another owner at once, as an early vote. An answer
// that came shortly before is of a later process.
func (a *Allocator) ownerEnded(c *waxwingseam.Context, node netip.AddrPort) {
	now := clock(c)
	for _, s := range a.shards {
		if s.owner != node || now.Sub(s.answeredAt) < recentAnswer {
			continue
		}
		if s.voted {
			s.earlyUntil = later(s.earlyUntil, s.freeFrom(a.nodes(c)))
			s.voted, s.voteFrom = false, now
		}
		a.abandon(c, s)
	}
}

// abandon gives an owner up that is silent or has ended.
func (a *Allocator) abandon(c *waxwingseam.Context, s *session) {
	now := clock(c)
	a.members.failed[s.owner] = now.Add(a.jittered(c, failureRetention))
	a.reportAgain(s)
	s.voteFrom = s.freeFrom(a.nodes(c))
	s.voted = false
	a.setOwner(c, s, a.preferred(c, s))
	a.flush(c, s)
}

// reportAgain takes the open request back, as the owner may not have counted it. What was
// returned is lost, as it may have.
func (a *Allocator) reportAgain(s *session) {
	if s.open == nil {
		return
	}
	for _, u := range s.open.entries {
		if v, ok := a.byID[u.ID]; ok {
			v.used += u.Used
			v.refused += u.Refused
			s.touch(v)
		}
	}
	s.open = nil
}

// setOwner begins with another owner, of which nothing is known.
func (a *Allocator) setOwner(c *waxwingseam.Context, s *session, owner netip.AddrPort) {
	s.owner, s.next = owner, netip.AddrPort{}
	s.ownerLife, s.echo, s.version = 0, 0, 0
	s.allScarce = true
	s.confirmedAt = time.Time{}
	s.heartbeatAt = clock(c)
}

// preferred returns the first node of the shard that is not known to be silent. If several
// are, this node is likely cut off, and is its own owner. The result is invalid while no
// nodes are known.
func (a *Allocator) preferred(c *waxwingseam.Context, s *session) netip.AddrPort {
	if a.members.started.IsZero() {
		return netip.AddrPort{}
	}
	if s.candidates == nil || s.changes != a.members.version(clock(c), c.Self.Node) {
		s.candidates = a.members.candidates(clock(c), c.Self.Node, s.key)
		s.changes = a.members.changes
	}
	for _, n := range s.candidates {
		if _, failed := a.members.failed[n]; !failed {
			return n
		}
	}
	return c.Self.Node
}

// retarget changes the owner if another one is preferred, and probes the silent nodes
// before it.
func (a *Allocator) retarget(c *waxwingseam.Context, s *session) {
	now := clock(c)
	target := a.preferred(c, s)
	for _, n := range s.candidates {
		if n == target {
			break
		}
		if until, failed := a.members.failed[n]; failed && !now.Before(until) {
			a.members.failed[n] = now.Add(a.jittered(c, failureRetention))
			a.send(c, n, encode(kindProbe, probe{From: c.Self.Node, Nodes: a.listed(c)}))
		}
	}
	switch {
	case target == s.owner || !target.IsValid():
		s.next = netip.AddrPort{}
	case !s.owner.IsValid() || !s.voted:
		a.setOwner(c, s, target)
	case s.next != target:
		// The present owner confirms first that it no longer counts on this node's part.
		s.next = target
		a.flush(c, s)
	}
}

// probed handles a probe or the answer to one.
func (a *Allocator) probed(c *waxwingseam.Context, m probe, asked bool) {
	a.members.observeCount(clock(c), m.Nodes)
	if asked {
		a.send(c, m.From, encode(kindProbeAnswer, probe{From: c.Self.Node, Nodes: a.listed(c)}))
		return
	}
	if _, ok := a.members.failed[m.From]; ok {
		delete(a.members.failed, m.From)
		a.wakeSoon(c)
	}
}

// session returns the session of a shard; nil if the sender has other shards.
func (a *Allocator) session(k shardKey) *session {
	if int(k.Shards) != len(a.shards) || int(k.Shard) >= len(a.shards) {
		return nil
	}
	return a.shards[k.Shard]
}

// answered handles the answer to the open request.
func (a *Allocator) answered(c *waxwingseam.Context, m answer) {
	s := a.session(shardKey{Shards: m.Shards, Shard: m.Shard})
	if s == nil || s.open == nil || m.Life != a.life || m.Seq != s.open.seq || m.From != s.owner {
		return
	}
	now := clock(c)
	a.members.observeCount(now, m.Nodes)
	o := s.open
	s.open = nil
	s.answeredAt, s.confirmedAt = now, o.sentAt
	s.ownerLife, s.echo = m.OwnerLife, m.Clock
	s.voted = o.vote
	a.applyScarcity(s, m.Scarce)
	grants := m.grants()
	for i, u := range o.entries[:min(len(o.entries), len(grants))] {
		if v, ok := a.byID[u.ID]; ok {
			a.granted(c, s, v, grants[i], o.sentAt, u.Waiting)
		}
	}
	for _, v := range slices.Clone(s.dirty) {
		a.settle(c, s, v)
		s.again = s.again || len(v.waiting) > 0
	}
	if s.next.IsValid() && !o.vote {
		s.voteFrom = now
		a.setOwner(c, s, s.next)
		s.again = true
	}
	if s.again || s.mayVote(now) && !s.voted {
		a.flush(c, s)
	}
	a.wake(c, later(s.heartbeatAt, now))
}

// granted takes in what the owner says of an account.
func (a *Allocator) granted(c *waxwingseam.Context, s *session, v *account, g grant, sentAt time.Time, waiting uint32) {
	now := clock(c)
	v.admitted, v.knownAt = float64(g.Admitted)/10, now
	v.offered = v.admitted + float64(g.Over)/10
	if g.Granted > 0 {
		v.returned += v.credit
		v.credit, v.creditUntil = g.Granted, sentAt.Add(leaseTime)
		s.touch(v)
	}
	a.settle(c, s, v)
	if g.Granted < waiting {
		wait := max(time.Duration(g.Retry)*time.Millisecond, minRefusal)
		v.creditAt = now.Add(wait)
		if v.shortSince.IsZero() {
			v.shortSince = now
		}
		pause := min(now.Sub(v.shortSince)/4, time.Duration(a.nodes(c))*time.Second/askingNodes)
		v.refusedUntil = now.Add(min(max(wait, pause), maxRefusal))
		a.refuseWaiting(c, s, v)
	} else if waiting > 0 {
		v.shortSince = time.Time{}
	}
}

// noticed handles the news that accounts have become scarce.
func (a *Allocator) noticed(c *waxwingseam.Context, m notice) {
	s := a.session(shardKey{Shards: m.Shards, Shard: m.Shard})
	if s == nil {
		return
	}
	if m.From != s.owner {
		// Another node takes the owner for lost.
		a.flush(c, s)
		return
	}
	if m.OwnerLife != s.ownerLife || m.Scarce.Version <= s.version {
		return
	}
	a.applyScarcity(s, m.Scarce)
	for _, v := range s.dirty {
		if v.scarce && v.used > 0 {
			a.flush(c, s)
			return
		}
	}
}

// applyScarcity takes in a list of scarce accounts.
func (a *Allocator) applyScarcity(s *session, l scarcity) {
	if !l.Listed {
		return
	}
	s.version, s.allScarce = l.Version, l.All
	for _, v := range s.scarce {
		v.scarce = false
	}
	s.scarce = s.scarce[:0]
	for _, id := range l.IDs {
		if v, ok := a.byID[id]; ok {
			v.scarce = true
			s.scarce = append(s.scarce, v)
		}
	}
}
