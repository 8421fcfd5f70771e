package allocator

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// slots is the number of parts in which a ledger counts its window.
	slots = 20
	// scarceLevel is the part of its bucket below which an account becomes scarce, and
	// plentyLevel the part above which it no longer is.
	scarceLevel = 0.25
	plentyLevel = 0.6
	// scarceWindow and plentyWindow are the same for the count of the window.
	scarceWindow = 0.92
	plentyWindow = 0.85
	// knownAfter is the time with the whole rate after which an owner knows its accounts:
	// what came before may be reported by then, and its buckets are partly filled.
	knownAfter = time.Second
	// startRate and startBurst are what an account has at a new owner at once: the use in a
	// part of a second, and some requests. The slack of the rule covers two changes of the
	// owner in one window.
	startRate  = 0.05
	startBurst = 2.5
	// retryFraction is the least fraction by which the time until there is credit is
	// estimated: a new owner has few parts at first, and nearly all soon.
	retryFraction = 0.5
	// demandMemory and sampleMemory are the time constants of the rates over all nodes and
	// of the sampled use.
	demandMemory = 2 * time.Second
	sampleMemory = 500 * time.Millisecond
	// fractionInterval is the time between two summations of the parts of the nodes.
	fractionInterval = 50 * time.Millisecond
	// noticeInterval is the least time between two notices. A node that a notice does not
	// reach learns of scarce accounts with the answer to its next request.
	noticeInterval = 20 * time.Millisecond
	// wholePart is the unit of the parts that nodes bring.
	wholePart = 1_000_000_000
	// idleSession is how long a node that sends nothing is remembered.
	idleSession = 5 * time.Minute
)

// ledgers is what the owner of a shard keeps.
type ledgers struct {
	key shardKey
	// usedAt is when the last request came.
	usedAt   time.Time
	accounts map[uint32]*ledger
	clients  map[netip.AddrPort]*client
	// fraction is the part of the rates that the nodes bring, as of fractionAt, and granted
	// its integral over time.
	fraction   float64
	fractionAt time.Time
	granted    time.Duration
	// version counts the changes of the list of scarce accounts.
	version uint32
	known   bool
	// noticeAt is when the next notice is due, zero if none is; noticedAt is when the last
	// one was sent.
	noticeAt, noticedAt time.Time
}

// client is a node that has sent requests.
type client struct {
	life uint32
	// seq and answer are those of the last request.
	seq    uint32
	answer []byte
	seenAt time.Time
	// part is what the node brings until voteUntil.
	part      int64
	early     bool
	voteUntil time.Time
}

// ledger is what the owner keeps of one account.
type ledger struct {
	rate  float64
	level float64
	// filledAt is the value of granted up to which the bucket was filled.
	filledAt time.Duration
	// started is the largest fraction so far.
	started float64
	counts  [slots]float64
	slot    int64
	// sampled is the use that is known by samples only.
	sampled decayed
	// admitted and over count the roots over all nodes within the limit and beyond it.
	admitted, over decayed
	// scarce is set while nodes have to ask for credit, and urgent if all nodes have been
	// told so.
	scarce, urgent bool
}

// requested handles a request to this node as the owner of a shard.
func (a *Allocator) requested(c *waxwingseam.Context, m request) {
	now := clock(c)
	l := a.ledgers(now, shardKey{Shards: m.Shards, Shard: m.Shard})
	v := l.clients[m.From]
	if v == nil || v.life != m.Life {
		v = &client{life: m.Life}
		l.clients[m.From] = v
	}
	if m.Seq <= v.seq {
		if m.Seq == v.seq {
			a.send(c, m.From, v.answer)
		}
		return
	}
	v.seq, v.seenAt = m.Seq, now
	a.members.observeCount(now, m.Nodes)
	a.countVote(c, v, m)
	l.advance(now, a.members.settled(now), a.nodes(c))
	reply := answer{
		From: c.Self.Node, Nodes: a.listed(c), Shards: m.Shards, Shard: m.Shard,
		Life: m.Life, Seq: m.Seq, OwnerLife: a.life, Clock: a.milliseconds(now),
	}
	for _, u := range m.uses() {
		// An account that only the sender's set has is granted nothing yet.
		var g grant
		if o, ok := a.byID[u.ID]; ok {
			g = l.settle(now, o, u, m.Sampled == u.ID)
		}
		if u.plain() {
			reply.Plain = append(reply.Plain, g.Admitted, g.Over)
		} else {
			reply.Entries = append(reply.Entries, g)
		}
	}
	reply.Scarce = l.scarcity(m.OwnerLife != a.life || m.Version != l.version)
	v.answer = encode(kindAnswer, reply)
	a.send(c, m.From, v.answer)
	if next := a.sendNotice(c, l); !next.IsZero() {
		a.wake(c, next)
	}
	l.forget(now, a.nodes(c))
}

// ledgers returns the ledgers of a shard, which this node owns from the first request on. The
// shards of a sender with another set than this node's differ, and are kept, too.
func (a *Allocator) ledgers(now time.Time, k shardKey) *ledgers {
	a.owned = slices.DeleteFunc(a.owned, func(l *ledgers) bool { return now.Sub(l.usedAt) > idleSession })
	i := slices.IndexFunc(a.owned, func(l *ledgers) bool { return l.key == k })
	if i < 0 {
		i = len(a.owned)
		a.owned = append(a.owned, &ledgers{
			key: k, accounts: map[uint32]*ledger{}, clients: map[netip.AddrPort]*client{}, version: 1,
			// Nodes with another owner check whether it still answers.
			noticeAt: now,
		})
	}
	a.owned[i].usedAt = now
	return a.owned[i]
}

// milliseconds returns the time of this process in messages.
func (a *Allocator) milliseconds(now time.Time) uint32 {
	return uint32(now.Sub(a.born).Milliseconds())
}

// countVote notes the part of the rates that a node brings. It counts from the time of the
// answer that the node has confirmed, so that a request that was held up on its way does
// not count for longer.
func (a *Allocator) countVote(c *waxwingseam.Context, v *client, m request) {
	if m.Vote == voteNone || m.OwnerLife != a.life {
		v.part = 0
		return
	}
	now := clock(c)
	n := max(a.nodes(c), int(m.Nodes))
	age := time.Duration(a.milliseconds(now)-m.Echo) * time.Millisecond
	v.part, v.early = int64(wholePart/n), m.Vote == voteEarly
	v.voteUntil = now.Add(voteTime(n) - age)
}

// advance sums the parts of the nodes and credits the time that has passed.
func (l *ledgers) advance(now time.Time, settled bool, nodes int) {
	passed := now.Sub(l.fractionAt)
	if l.fractionAt.IsZero() {
		passed = 0
	} else if passed < fractionInterval {
		return
	}
	var sum, early int64
	for _, v := range l.clients {
		switch {
		case !now.Before(v.voteUntil):
		case v.early:
			early += v.part
		default:
			sum += v.part
		}
	}
	// Only the node that has ended may be missing.
	if float64(sum+early) >= wholePart*(1-1.5/float64(nodes)) {
		sum += early
	}
	before := l.fraction
	l.fraction = 0
	if settled {
		l.fraction = min(float64(sum)/wholePart, 1)
	}
	// A part may have ended at any time since the last summation.
	l.granted += time.Duration(min(before, l.fraction) * float64(passed))
	l.fractionAt = now
	if known := l.granted >= knownAfter; known != l.known {
		l.known = known
		l.version++
	}
}

// forget removes the nodes that send nothing if there are more than known nodes.
func (l *ledgers) forget(now time.Time, nodes int) {
	if len(l.clients) <= nodes+maxFailures {
		return
	}
	for address, v := range l.clients {
		if now.Sub(v.seenAt) > idleSession {
			delete(l.clients, address)
		}
	}
}

// settle counts what a node has used of an account, and grants credit.
func (l *ledgers) settle(now time.Time, o *account, u use, sampled bool) grant {
	v := l.accounts[o.id]
	if v == nil {
		v = &ledger{rate: o.rate}
		l.accounts[o.id] = v
	}
	v.adapt(o)
	v.fill(o, l)
	v.rotate(now)
	v.count(now, o, u, sampled)
	credit := v.grant(o, u)
	v.level -= float64(credit)
	v.counts[v.slot%slots] += float64(credit)
	used := float64(u.Used) + float64(credit) - float64(u.Returned) - float64(u.Refunded)
	v.admitted.add(now, demandMemory, used)
	v.over.add(now, demandMemory, float64(u.Refused))
	g := grant{
		Granted:  credit,
		Admitted: tenths(v.admitted.rate(now, demandMemory)),
		Over:     tenths(v.over.rate(now, demandMemory)),
	}
	if credit < u.Waiting {
		g.Retry = v.retry(o, l.fraction)
	}
	if scarce := v.isScarce(now, o, l.fraction); scarce != v.scarce {
		v.scarce = scarce
		v.urgent = false
		l.version++
	}
	// The bucket of a small account falls below a quarter by chance, at 1,000 accounts
	// several times a second; nodes learn of it with the answers to their requests.
	if v.scarce && !v.urgent && v.known(now) < -o.slack() {
		v.urgent = true
		l.noticeAt = now
	}
	return g
}

func tenths(rate float64) uint32 {
	return uint32(max(rate, 0)*10 + 0.5)
}

// adapt takes in a changed limit. A lower one does not count what was used under the
// former.
func (v *ledger) adapt(o *account) {
	if o.rate < v.rate {
		for i := range v.counts {
			v.counts[i] *= o.rate / v.rate
		}
	}
	v.rate = o.rate
}

// fill fills the bucket for the time that has passed.
func (v *ledger) fill(o *account, l *ledgers) {
	v.level += o.rate * (l.granted - v.filledAt).Seconds()
	v.filledAt = l.granted
	if l.fraction > v.started {
		v.level += (l.fraction - v.started) * (startRate*o.rate + startBurst)
		v.started = l.fraction
	}
	v.level = min(v.level, o.depth()*l.fraction)
}

// rotate empties the slots that have left the window.
func (v *ledger) rotate(now time.Time) {
	slot := now.UnixNano() / int64(window/(slots-1))
	for n := min(slot-v.slot, slots); n > 0; n-- {
		v.counts[(slot-n+1)%slots] = 0
	}
	v.slot = max(slot, v.slot)
}

// sum returns the count of the window.
func (v *ledger) sum() float64 {
	sum := 0.0
	for _, n := range v.counts {
		sum += n
	}
	return sum
}

// count counts what a node has used. Credit that was not used is taken from the newest
// slots, as it was granted shortly before. A refund is taken from the oldest ones, as it is
// not known when the root was admitted, so that the window never counts less than was used.
func (v *ledger) count(now time.Time, o *account, u use, sampled bool) {
	v.level += float64(u.Returned) + float64(u.Refunded) - float64(u.Used)
	v.counts[v.slot%slots] += float64(u.Used)
	returned, refunded := float64(u.Returned), float64(u.Refunded)
	for n := range int64(slots) {
		returned -= v.takeBack(v.slot-n, returned)
		refunded -= v.takeBack(v.slot+1+n, refunded)
	}
	change := -float64(u.Used)
	if sampled {
		change += 1 / o.sampling()
	}
	v.sampled.add(now, sampleMemory, change)
	v.sampled.sum = max(v.sampled.sum, 0)
}

// takeBack takes up to n from a slot and returns how much.
func (v *ledger) takeBack(slot int64, n float64) float64 {
	i := slot % slots
	n = min(n, v.counts[i])
	v.counts[i] -= n
	return n
}

// grant returns the credit for a node: what it needs for waiting roots, and up to half of
// the rest in advance.
func (v *ledger) grant(o *account, u use) uint32 {
	free := math.Floor(min(v.level, o.windowLimit()-v.sum()))
	if free < 1 {
		return 0
	}
	now := min(float64(u.Waiting), free)
	ahead := min(float64(u.Ahead), math.Floor((free-now)/2))
	return uint32(now + ahead)
}

// retry returns the milliseconds until there is credit.
func (v *ledger) retry(o *account, fraction float64) uint32 {
	rate := o.rate * max(fraction, retryFraction)
	wait := (1 - min(v.level, 0)) / rate
	if over := v.sum() + 1 - o.windowLimit(); over > 0 {
		wait = max(wait, over/rate)
	}
	return uint32(min(wait, window.Seconds()) * 1000)
}

// known returns the level less what is known of unreported use.
func (v *ledger) known(now time.Time) float64 {
	return v.level - v.sampled.at0(now, sampleMemory)
}

// isScarce reports whether nodes have to ask for credit before they admit roots.
func (v *ledger) isScarce(now time.Time, o *account, fraction float64) bool {
	level := v.known(now)
	depth, limit, sum := o.depth()*fraction, o.windowLimit(), v.sum()
	if v.scarce {
		return level < plentyLevel*depth || sum > plentyWindow*limit
	}
	return level < scarceLevel*depth || sum > scarceWindow*limit
}

// scarcity returns the list of scarce accounts, or only its version.
func (l *ledgers) scarcity(listed bool) scarcity {
	s := scarcity{Version: l.version, All: !l.known, Listed: listed}
	if !listed {
		return s
	}
	for id, v := range l.accounts {
		if v.scarce {
			s.IDs = append(s.IDs, id)
		}
	}
	slices.Sort(s.IDs)
	return s
}

// sendNotice sends a notice if one is due, and returns when the next one is.
func (a *Allocator) sendNotice(c *waxwingseam.Context, l *ledgers) time.Time {
	now := clock(c)
	if l.noticeAt.IsZero() {
		return time.Time{}
	}
	l.noticeAt = later(l.noticeAt, l.noticedAt.Add(noticeInterval))
	if now.Before(l.noticeAt) {
		return l.noticeAt
	}
	l.noticeAt, l.noticedAt = time.Time{}, now
	m := notice{From: c.Self.Node, Shards: l.key.Shards, Shard: l.key.Shard, OwnerLife: a.life, Scarce: l.scarcity(true)}
	to := slices.DeleteFunc(slices.Clone(a.members.list(now, c.Self.Node)), func(n netip.AddrPort) bool { return n == c.Self.Node })
	if len(to) > 0 {
		c.Emit(waxwingseam.SendAccountMessage{To: to, Message: encode(kindNotice, m)})
	}
	a.noticed(c, m)
	return time.Time{}
}
