// Package allocator keeps the requests of client accounts within their limits, over all
// nodes together. Each account belongs to a shard, and each shard to one node, its owner,
// which holds a token bucket for each account. While an account is far below its limit,
// nodes admit its roots at once and report them; when it comes near, the owner has them
// ask for credit first.
package allocator

import (
	"net/netip"
	"time"

	"waxwingseam.example/waxwingseam"
)

// Priority orders the allocator before the dispatcher, so that the decisions of an answer
// are made when the dispatcher collects them in the same event.
const Priority = 180

// Timer fires when the allocator has something to do.
const Timer waxwingseam.TimerPurpose = "allocator"

// Allocator decides which roots of client accounts are within their limits, and owns the
// accounts of some shards for all nodes. It is a worker, too.
type Allocator struct {
	set *waxwingseam.Set
	// accounts and byID hold the accounts that have a limit.
	accounts map[waxwingseam.AccountName]*account
	byID     map[uint32]*account
	// shards holds, for each shard, what this node has with its owner.
	shards []*session
	// owned holds the shards that other nodes or this one take to be owned here.
	owned   []*ledgers
	members members
	// life identifies this process in messages; 0 until the first one.
	life    uint32
	born    time.Time
	waiting map[waxwingseam.CallID]*waiter
	decided []waxwingseam.AccountDecision
	// failedAt is when the last silence of an owner began. What was known before is
	// confirmed before it is used again, as this node may be cut off.
	failedAt  time.Time
	suspended time.Duration
	// local are the messages of this node to itself.
	local [][]byte
	// armed is when Timer fires; zero if it is not armed.
	armed time.Time
}

// New returns an allocator without accounts.
func New() *Allocator {
	return &Allocator{
		members: newMembers(),
		waiting: map[waxwingseam.CallID]*waiter{},
	}
}

// Kinds implements waxwingseam.Worker.
func (a *Allocator) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{
		waxwingseam.KindAccountMessageReceived,
		waxwingseam.KindAccountMessageRefused,
		waxwingseam.KindServersUpdated,
		waxwingseam.KindSetAdopted,
		waxwingseam.KindTimerFired,
	}
}

// Reduce implements waxwingseam.Worker.
func (a *Allocator) Reduce(c *waxwingseam.Context, e waxwingseam.Event) {
	switch v := e.(type) {
	case waxwingseam.AccountMessageReceived:
		a.receive(c, v.Message)
	case waxwingseam.AccountMessageRefused:
		a.ownerEnded(c, v.To)
	case waxwingseam.ServersUpdated:
		a.members.update(clock(c), v)
		a.wakeSoon(c)
	case waxwingseam.SetAdopted:
		a.Adopt(c, c.Set)
	case waxwingseam.TimerFired:
		if v.Timer.Purpose == Timer {
			a.fire(c)
		}
	}
	a.deliver(c)
}

// clock returns the time of the event, which goes on while the process is suspended.
func clock(c *waxwingseam.Context) time.Time {
	return c.Now.Add(c.Suspended)
}

// receive handles a message of another node. One that can't be decoded is of a later
// version of the program and ignored; its sender counts this node as silent.
func (a *Allocator) receive(c *waxwingseam.Context, data []byte) {
	if len(data) == 0 || len(a.shards) == 0 {
		return
	}
	a.begin(c)
	switch data[0] {
	case kindRequest:
		var m request
		if decode(data, &m) == nil {
			a.requested(c, m)
		}
	case kindAnswer:
		var m answer
		if decode(data, &m) == nil {
			a.answered(c, m)
		}
	case kindNotice:
		var m notice
		if decode(data, &m) == nil {
			a.noticed(c, m)
		}
	case kindProbe, kindProbeAnswer:
		var m probe
		if decode(data, &m) == nil {
			a.probed(c, m, data[0] == kindProbe)
		}
	}
}

// begin notes what the event says of the process itself.
func (a *Allocator) begin(c *waxwingseam.Context) {
	if a.life == 0 {
		a.life = c.Random().Uint32() | 1
		a.born = clock(c)
	}
	if c.Suspended != a.suspended {
		a.suspended = c.Suspended
		a.failedAt = clock(c)
	}
}

// send sends a message to a node. One to this node itself is handled by deliver.
func (a *Allocator) send(c *waxwingseam.Context, to netip.AddrPort, message []byte) {
	if to == c.Self.Node {
		a.local = append(a.local, message)
		return
	}
	c.Emit(waxwingseam.SendAccountMessage{To: []netip.AddrPort{to}, Message: message})
}

// deliver handles the messages of this node to itself.
func (a *Allocator) deliver(c *waxwingseam.Context) {
	for len(a.local) > 0 {
		message := a.local[0]
		a.local = a.local[1:]
		a.receive(c, message)
	}
	a.local = nil
}

// listed returns how many nodes this node knows. What it has heard from others is not passed
// on, as it would never be forgotten then.
func (a *Allocator) listed(c *waxwingseam.Context) uint32 {
	return uint32(len(a.members.list(clock(c), c.Self.Node)))
}

// nodes returns how many nodes there are.
func (a *Allocator) nodes(c *waxwingseam.Context) int {
	return max(a.members.count(clock(c), c.Self.Node), 1)
}

// wake arms the timer if it would fire later than at t.
func (a *Allocator) wake(c *waxwingseam.Context, t time.Time) {
	if !a.armed.IsZero() && !t.Before(a.armed) {
		return
	}
	a.armed = t
	c.Emit(waxwingseam.ArmTimer{
		Timer: waxwingseam.TimerID{Purpose: Timer},
		At:    c.Now.Add(max(t.Sub(clock(c)), 0)),
	})
}

// wakeSoon has the timer fire at once if there are accounts with limits.
func (a *Allocator) wakeSoon(c *waxwingseam.Context) {
	if len(a.shards) > 0 {
		a.wake(c, clock(c))
	}
}

// fire does what is due and arms the timer for what is due next.
func (a *Allocator) fire(c *waxwingseam.Context) {
	a.armed = time.Time{}
	if len(a.shards) == 0 {
		return
	}
	a.begin(c)
	a.expireWaiting(c)
	next := clock(c).Add(maxHeartbeat)
	for _, s := range a.shards {
		next = earlier(next, a.advance(c, s))
	}
	for _, l := range a.owned {
		next = earlier(next, a.sendNotice(c, l))
	}
	for _, w := range a.waiting {
		next = earlier(next, w.until)
	}
	a.wake(c, next)
}

// earlier returns the earlier of two times; a zero time is none.
func earlier(t, u time.Time) time.Time {
	if u.IsZero() || !t.IsZero() && t.Before(u) {
		return t
	}
	return u
}
