package replicator

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// electionTicks is short, so that a history holds many elections.
const electionTicks = 4

// flaw breaks one rule on purpose, so that the checks can be seen to fail.
type flaw string

const (
	noFlaw        flaw = ""
	forgetsVotes  flaw = "forgets term and vote"
	acksUnsynced  flaw = "acknowledges before the sync"
	keepsIdentity flaw = "keeps the identity of an emptied disk"
	forgesRounds  flaw = "confirms reads without a quorum"
)

// site is one replica with the disk that survives its crashes.
type site struct {
	replica waxwingseam.Replicator
	member  waxwingseam.Member
	disk    waxwingseam.Recovery
	down    bool
	applied waxwingseam.LogIndex
}

// cluster is replicas with a wire between them that a test may disturb. Its
// checks record the first violation.
type cluster struct {
	draw func(n int) int
	// tolerated is the losses of disks that the sites bear.
	tolerated int
	flaw      flaw
	election  int
	sites     []*site
	wire      []waxwingseam.ReplicaMessage
	snapshots []waxwingseam.SnapshotArrived
	// lost tells which messages the wire loses; nil for none.
	lost func(m waxwingseam.ReplicaMessage) bool
	// side tells the two halves of a partition apart.
	side map[waxwingseam.StorageID]bool

	leaders   map[waxwingseam.Term]waxwingseam.StorageID
	committed []waxwingseam.LogEntry
	accepted  map[waxwingseam.RequestID]waxwingseam.LogIndex
	refused   map[waxwingseam.RequestID]waxwingseam.ReplicaReason
	reads     map[waxwingseam.RequestID]waxwingseam.LogIndex
	lastID    waxwingseam.RequestID
	formatted int
	violation error
}

// newCluster returns n sites of which the first founds the cluster and the
// others have joined.
func newCluster(n int, draw func(int) int, f flaw) *cluster {
	return foundCluster(n, draw, f, electionTicks)
}

// foundCluster is newCluster with another election timeout.
func foundCluster(n int, draw func(int) int, f flaw, election int) *cluster {
	c := &cluster{
		election: election,
		draw:     draw,
		flaw:     f,
		side:     map[waxwingseam.StorageID]bool{},
		leaders:  map[waxwingseam.Term]waxwingseam.StorageID{},
		accepted: map[waxwingseam.RequestID]waxwingseam.LogIndex{},
		refused:  map[waxwingseam.RequestID]waxwingseam.ReplicaReason{},
		reads:    map[waxwingseam.RequestID]waxwingseam.LogIndex{},
	}
	for i := range n {
		s := &site{member: c.format(waxwingseam.ReplicaID('a' + rune(i)))}
		c.sites = append(c.sites, s)
	}
	first := c.sites[0]
	voter := first.member
	voter.Voter = true
	founding := waxwingseam.Membership{}.With(voter)
	first.disk = waxwingseam.Recovery{
		State:   waxwingseam.ReplicaState{Term: 1},
		Entries: []waxwingseam.LogEntry{{Index: 1, Term: 1, Kind: waxwingseam.EntryMembership, Membership: &founding}},
	}
	for _, s := range c.sites {
		c.start(s)
	}
	c.run(4 * election)
	for _, s := range c.sites[1:] {
		c.change(c.leader(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: s.member})
		c.run(4 * election)
	}
	return c
}

// format returns a member with a new storage.
func (c *cluster) format(replica waxwingseam.ReplicaID) waxwingseam.Member {
	c.formatted++
	return waxwingseam.Member{
		Replica:   replica,
		Storage:   waxwingseam.StorageID(fmt.Sprintf("%s%d", replica, c.formatted)),
		Candidate: true,
	}
}

// start runs a site from what its disk holds.
func (c *cluster) start(s *site) {
	s.down = false
	s.applied = s.disk.Snapshot.Index
	recovery := s.disk
	recovery.Entries = slices.Clone(s.disk.Entries)
	s.replica = New(Config{
		Identity:        waxwingseam.ReplicaIdentity{Cluster: "k", Replica: s.member.Replica, Storage: s.member.Storage},
		Recovery:        recovery,
		HeartbeatTicks:  max(1, c.election/8),
		ElectionTicks:   c.election,
		SnapshotEntries: 12,
		KeepEntries:     4,
		MessageBytes:    64,
		Tolerated:       c.tolerated,
	})
}

func (c *cluster) crash(s *site) {
	s.down = true
	if c.flaw == forgetsVotes {
		s.disk.State = waxwingseam.ReplicaState{Term: s.replica.Status().Term - 1}
	}
}

// empty starts a site anew on an empty disk, which asks to join.
func (c *cluster) empty(s *site) {
	s.disk = waxwingseam.Recovery{}
	if c.flaw != keepsIdentity {
		s.member = c.format(s.member.Replica)
	}
	c.start(s)
}

func (c *cluster) stamp() waxwingseam.Stamp {
	return waxwingseam.Stamp{Random: uint64(c.draw(1 << 16))}
}

// reduce hands an event to a site and carries the effects out.
func (c *cluster) reduce(s *site, e waxwingseam.Event, fuse int) {
	c.reduceAll(s, []waxwingseam.Event{e}, fuse)
}

// reduceAll hands a batch of events to a site before it carries any effects
// out, as the proposer does. A positive fuse crashes the site after that many
// effects.
func (c *cluster) reduceAll(s *site, events []waxwingseam.Event, fuse int) {
	var effects []waxwingseam.Effect
	for _, e := range events {
		effects = append(effects, s.replica.Reduce(e)...)
	}
	effects = c.ordered(effects)
	persisted := false
	for _, effect := range effects {
		fuse--
		if fuse == 0 {
			c.crash(s)
			return
		}
		c.carryOut(s, effect)
		switch effect.(type) {
		case waxwingseam.PersistReplica, waxwingseam.PersistSnapshot:
			persisted = true
		}
	}
	c.checkLeader(s)
	if persisted && !s.down {
		c.reduce(s, waxwingseam.ReplicaPersisted{Stamp: c.stamp(), State: s.disk.State, Last: s.replica.Status().Last}, 0)
	}
}

// ordered puts early messages first and durability before the rest.
func (c *cluster) ordered(effects []waxwingseam.Effect) []waxwingseam.Effect {
	order := func(e waxwingseam.Effect) int {
		switch v := e.(type) {
		case waxwingseam.SendReplicaMessage:
			if v.BeforePersist || c.flaw == acksUnsynced {
				return 0
			}
			return 2
		case waxwingseam.PersistReplica, waxwingseam.PersistSnapshot:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(effects, func(a, b waxwingseam.Effect) int { return order(a) - order(b) })
	return effects
}

func (c *cluster) carryOut(s *site, effect waxwingseam.Effect) {
	switch v := effect.(type) {
	case waxwingseam.PersistReplica:
		s.disk.State = v.State
		if len(v.Entries) > 0 {
			kept := s.disk.Entries[:v.Entries[0].Index-s.disk.Base.Index-1]
			s.disk.Entries = append(slices.Clone(kept), v.Entries...)
		}
	case waxwingseam.PersistSnapshot:
		s.disk = waxwingseam.Recovery{State: v.State, Snapshot: v.Snapshot, Base: v.Base, Entries: slices.Clone(v.Entries)}
		if v.Restore {
			s.applied = v.Snapshot.Index
		}
	case waxwingseam.SendReplicaMessage:
		c.post(v.Message)
	case waxwingseam.SendSnapshot:
		c.snapshots = append(c.snapshots, waxwingseam.SnapshotArrived{From: s.member.Storage, Term: v.Term, Snapshot: s.disk.Snapshot})
		c.snapshots[len(c.snapshots)-1].Snapshot.Data = []byte(v.To)
	case waxwingseam.ApplyEntry:
		c.checkApplied(s, v)
	case waxwingseam.TakeSnapshot:
		c.reduce(s, waxwingseam.SnapshotTaken{Stamp: c.stamp(), Index: v.Index}, 0)
	case waxwingseam.AnswerRequest:
		c.checkRead(v)
	case waxwingseam.RefuseRequest:
		c.refused[v.ID] = v.Reason
	case waxwingseam.StopReplica:
		c.fail("%s stopped at entry %d: %s", s.member.Storage, v.Index, v.Text)
	}
}

func (c *cluster) post(m waxwingseam.ReplicaMessage) {
	if c.flaw == forgesRounds && m.AppendReply != nil {
		m.AppendReply.Round += 1 << 10
	}
	c.wire = append(c.wire, m)
}

func (c *cluster) fail(format string, arguments ...any) {
	if c.violation == nil {
		c.violation = trace.CompareFailed(format, arguments...)
	}
}

func (c *cluster) checkLeader(s *site) {
	status := s.replica.Status()
	if status.Role != waxwingseam.RoleLeader {
		return
	}
	other, ok := c.leaders[status.Term]
	if ok && other != s.member.Storage {
		c.fail("%s and %s lead in term %d", other, s.member.Storage, status.Term)
	}
	c.leaders[status.Term] = s.member.Storage
}

func (c *cluster) checkApplied(s *site, v waxwingseam.ApplyEntry) {
	e := v.Entry
	if e.Index != s.applied+1 {
		c.fail("%s applies entry %d after %d", s.member.Storage, e.Index, s.applied)
	}
	s.applied = e.Index
	if int(e.Index) > len(c.committed) {
		c.committed = append(c.committed, e)
	}
	if was := c.committed[e.Index-1]; was.Term != e.Term || string(was.Command) != string(e.Command) {
		c.fail("entry %d was %q of term %d, is %q of term %d", e.Index, was.Command, was.Term, e.Command, e.Term)
	}
	if v.Request != 0 {
		c.accepted[v.Request] = e.Index
	}
}

// checkRead checks that a read covers all that was accepted when it was asked.
func (c *cluster) checkRead(v waxwingseam.AnswerRequest) {
	want, ok := c.reads[v.ID]
	if ok && v.Index < want {
		c.fail("a read is answered as of entry %d when %d was accepted before", v.Index, want)
	}
	c.accepted[v.ID] = v.Index
}

func (c *cluster) site(id waxwingseam.StorageID) *site {
	for _, s := range c.sites {
		if s.member.Storage == id && !s.down {
			return s
		}
	}
	return nil
}

// deliver takes one message off the wire and hands it over, unless a
// partition is in its way. A positive fuse is that of reduce.
func (c *cluster) deliver(i, fuse int) {
	m := c.wire[i]
	c.wire = slices.Delete(c.wire, i, i+1)
	to := c.site(m.To)
	if to != nil && c.passes(m) {
		c.reduce(to, waxwingseam.ReplicaMessageArrived{Stamp: c.stamp(), Message: m}, fuse)
	}
}

// passes reports whether no partition or loss is in a message's way.
func (c *cluster) passes(m waxwingseam.ReplicaMessage) bool {
	return c.side[m.From] == c.side[m.To] && (c.lost == nil || !c.lost(m))
}

// batch takes up to n messages for a site off the wire, behind a command.
func (c *cluster) batch(s *site, n int) []waxwingseam.Event {
	c.lastID++
	events := []waxwingseam.Event{waxwingseam.CommandProposed{Stamp: c.stamp(), ID: c.lastID, Command: fmt.Appendf(nil, "command-%d", c.lastID)}}
	c.wire = slices.DeleteFunc(c.wire, func(m waxwingseam.ReplicaMessage) bool {
		taken := m.To == s.member.Storage && len(events) <= n
		if taken && c.passes(m) {
			events = append(events, waxwingseam.ReplicaMessageArrived{Stamp: c.stamp(), Message: m})
		}
		return taken
	})
	return events
}

// deliverSnapshot hands the oldest snapshot over.
func (c *cluster) deliverSnapshot() {
	e := c.snapshots[0]
	c.snapshots = c.snapshots[1:]
	id := waxwingseam.StorageID(e.Snapshot.Data)
	e.Stamp = c.stamp()
	e.Snapshot.Data = nil
	if to := c.site(id); to != nil && c.side[e.From] == c.side[id] {
		c.reduce(to, e, 0)
	}
}

// settle delivers all messages in order and counts them.
func (c *cluster) settle() int {
	n := 0
	for ; n < 10_000 && len(c.wire)+len(c.snapshots) > 0; n++ {
		if len(c.wire) > 0 {
			c.deliver(0, 0)
			continue
		}
		c.deliverSnapshot()
	}
	return n
}

// tick lets one tick pass at all sites.
func (c *cluster) tick() {
	for _, s := range c.sites {
		if !s.down {
			c.reduce(s, waxwingseam.ReplicaTicked{Stamp: c.stamp()}, 0)
		}
	}
}

// run lets ticks pass on a wire without faults.
func (c *cluster) run(ticks int) {
	for range ticks {
		c.tick()
		c.settle()
	}
}

// leader returns the site that leads in the latest term; nil without one.
func (c *cluster) leader() *site {
	var found *site
	var term waxwingseam.Term
	for _, s := range c.sites {
		status := s.replica.Status()
		if !s.down && status.Role == waxwingseam.RoleLeader && status.Term >= term {
			found, term = s, status.Term
		}
	}
	return found
}

// propose asks a site to append the next command.
func (c *cluster) propose(s *site) waxwingseam.RequestID {
	c.lastID++
	c.reduce(s, waxwingseam.CommandProposed{Stamp: c.stamp(), ID: c.lastID, Command: fmt.Appendf(nil, "command-%d", c.lastID)}, 0)
	return c.lastID
}

// read asks a site for a confirmed read.
func (c *cluster) read(s *site) waxwingseam.RequestID {
	c.lastID++
	c.reads[c.lastID] = waxwingseam.LogIndex(len(c.committed))
	c.reduce(s, waxwingseam.ReadAsked{Stamp: c.stamp(), ID: c.lastID}, 0)
	return c.lastID
}

func (c *cluster) change(s *site, v waxwingseam.MembershipChange) waxwingseam.RequestID {
	c.lastID++
	c.reduce(s, waxwingseam.MembershipProposed{Stamp: c.stamp(), ID: c.lastID, Change: v}, 0)
	return c.lastID
}

// cut puts sites on the far side of a partition.
func (c *cluster) cut(sites ...*site) {
	for _, s := range sites {
		c.side[s.member.Storage] = true
	}
}

func (c *cluster) heal() {
	clear(c.side)
}
