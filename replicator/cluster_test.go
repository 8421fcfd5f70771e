package replicator

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// shortElectionTicks keeps elections frequent in a random history.
const shortElectionTicks = 4

// flaw is a rule that a simulated replica breaks on purpose, so that a test can
// show that the checks detect it.
type flaw string

const (
	noFlaw           flaw = ""
	losesVotes       flaw = "loses term and vote"
	acksUnsynced     flaw = "acknowledges entries before they are durable"
	keepsIdentity    flaw = "keeps the identity of an emptied disk"
	forgesReadRounds flaw = "confirms reads without a quorum"
)

// simReplica is one simulated replica with the disk that survives its crashes.
type simReplica struct {
	reducer waxwingseam.Replicator
	member  waxwingseam.Member
	disk    waxwingseam.Recovery
	stopped bool
	applied waxwingseam.LogIndex
}

// cluster simulates replicas and the network between them, in which a test can
// inject faults. Its checks record the first violation.
type cluster struct {
	randomInt func(n int) int
	// toleratedLosses is the number of simultaneous disk losses that the replicas
	// are configured for.
	toleratedLosses int
	flaw            flaw
	electionTicks   int
	replicas        []*simReplica
	inFlight        []waxwingseam.ReplicaMessage
	snapshots       []waxwingseam.SnapshotArrived
	// dropped reports whether the network loses a message; nil if it loses
	// none.
	dropped func(m waxwingseam.ReplicaMessage) bool
	// isolated holds the replicas that a partition separates from the others.
	isolated map[waxwingseam.StorageID]bool
	// frozen holds the replicas that do not run for a while.
	frozen map[*simReplica]bool
	// lost maps the storages of lost disks to the replicas that had them.
	lost map[waxwingseam.StorageID]*simReplica

	leaders      map[waxwingseam.Term]waxwingseam.StorageID
	committed    []waxwingseam.LogEntry
	accepted     map[waxwingseam.RequestID]waxwingseam.LogIndex
	refused      map[waxwingseam.RequestID]waxwingseam.ReplicaReason
	reads        map[waxwingseam.RequestID]waxwingseam.LogIndex
	lastID       waxwingseam.RequestID
	storageCount int
	violation    error
}

// newCluster returns n replicas. The first one founds the cluster and the
// others join it.
func newCluster(n int, randomInt func(int) int, injected flaw) *cluster {
	return newClusterWithTimeout(n, randomInt, injected, shortElectionTicks)
}

// newClusterWithTimeout is newCluster with a given election timeout.
func newClusterWithTimeout(n int, randomInt func(int) int, injected flaw, electionTicks int) *cluster {
	c := &cluster{
		electionTicks: electionTicks,
		randomInt:     randomInt,
		flaw:          injected,
		isolated:      map[waxwingseam.StorageID]bool{},
		lost:          map[waxwingseam.StorageID]*simReplica{},
		frozen:        map[*simReplica]bool{},
		leaders:       map[waxwingseam.Term]waxwingseam.StorageID{},
		accepted:      map[waxwingseam.RequestID]waxwingseam.LogIndex{},
		refused:       map[waxwingseam.RequestID]waxwingseam.ReplicaReason{},
		reads:         map[waxwingseam.RequestID]waxwingseam.LogIndex{},
	}
	for i := range n {
		s := &simReplica{member: c.newMember(waxwingseam.ReplicaID('a' + rune(i)))}
		c.replicas = append(c.replicas, s)
	}
	first := c.replicas[0]
	voter := first.member
	voter.Voter = true
	founding := waxwingseam.Membership{}.With(voter)
	first.disk = waxwingseam.Recovery{
		State:   waxwingseam.ReplicaState{Term: 1},
		Entries: []waxwingseam.LogEntry{{Index: 1, Term: 1, Kind: waxwingseam.EntryMembership, Membership: &founding}},
	}
	for _, s := range c.replicas {
		c.start(s)
	}
	c.run(4 * electionTicks)
	for _, s := range c.replicas[1:] {
		c.proposeChange(c.leader(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: s.member})
		c.run(4 * electionTicks)
	}
	return c
}

// newMember returns a member with a new storage.
func (c *cluster) newMember(replica waxwingseam.ReplicaID) waxwingseam.Member {
	c.storageCount++
	return waxwingseam.Member{
		Replica:   replica,
		Storage:   waxwingseam.StorageID(fmt.Sprintf("%s%d", replica, c.storageCount)),
		Candidate: true,
	}
}

// start starts a replica from the contents of its disk.
func (c *cluster) start(s *simReplica) {
	s.stopped = false
	s.applied = s.disk.Snapshot.Index
	recovery := s.disk
	recovery.Entries = slices.Clone(s.disk.Entries)
	s.reducer = New(Config{
		Identity:        waxwingseam.ReplicaIdentity{Cluster: "k", Replica: s.member.Replica, Storage: s.member.Storage},
		Recovery:        recovery,
		HeartbeatTicks:  max(1, c.electionTicks/8),
		ElectionTicks:   c.electionTicks,
		SnapshotEntries: 12,
		KeepEntries:     4,
		MessageBytes:    64,
		ToleratedLosses: c.toleratedLosses,
	})
}

func (c *cluster) crash(s *simReplica) {
	s.stopped = true
	if c.flaw == losesVotes {
		s.disk.State = waxwingseam.ReplicaState{Term: s.reducer.Status().Term - 1}
	}
}

// replaceDisk restarts a replica on an empty disk. The disk gets a new storage
// identifier, unless the flaw keeps the old one.
func (c *cluster) replaceDisk(s *simReplica) {
	s.disk = waxwingseam.Recovery{}
	if c.flaw != keepsIdentity {
		c.lost[s.member.Storage] = s
		s.member = c.newMember(s.member.Replica)
	}
	c.start(s)
}

func (c *cluster) stamp() waxwingseam.Stamp {
	return waxwingseam.Stamp{Random: uint64(c.randomInt(1 << 16))}
}

// reduce passes an event to a replica and executes the effects. It passes
// crashAt to reduceAll.
func (c *cluster) reduce(s *simReplica, e waxwingseam.Event, crashAt int) {
	c.reduceAll(s, []waxwingseam.Event{e}, crashAt)
}

// reduceAll passes a batch of events to a replica before it executes any of the
// effects, as the proposer does. A positive crashAt crashes the replica instead
// of executing the effect of that number, counted from 1.
func (c *cluster) reduceAll(s *simReplica, events []waxwingseam.Event, crashAt int) {
	var effects []waxwingseam.Effect
	for _, e := range events {
		effects = append(effects, s.reducer.Reduce(e)...)
	}
	effects = c.orderEffects(effects)
	persisted := false
	for _, effect := range effects {
		crashAt--
		if crashAt == 0 {
			c.crash(s)
			return
		}
		c.execute(s, effect)
		switch effect.(type) {
		case waxwingseam.PersistReplica, waxwingseam.PersistSnapshot:
			persisted = true
		}
	}
	c.checkLeader(s)
	if persisted && !s.stopped {
		c.reduce(s, waxwingseam.ReplicaPersisted{Stamp: c.stamp(), State: s.disk.State, Last: s.reducer.Status().Last}, 0)
	}
}

// orderEffects puts the messages that need not wait for persistence first, and
// persistence before all other effects.
func (c *cluster) orderEffects(effects []waxwingseam.Effect) []waxwingseam.Effect {
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

func (c *cluster) execute(s *simReplica, effect waxwingseam.Effect) {
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
		c.sendMessage(v.Message)
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
		c.recordViolation("%s stopped at entry %d: %s", s.member.Storage, v.Index, v.Text)
	}
}

func (c *cluster) sendMessage(m waxwingseam.ReplicaMessage) {
	if c.flaw == forgesReadRounds && m.AppendReply != nil {
		m.AppendReply.Round += 1 << 10
	}
	c.inFlight = append(c.inFlight, m)
}

func (c *cluster) recordViolation(format string, arguments ...any) {
	if c.violation == nil {
		c.violation = trace.CompareFailed(format, arguments...)
	}
}

func (c *cluster) checkLeader(s *simReplica) {
	status := s.reducer.Status()
	if status.Role != waxwingseam.RoleLeader {
		return
	}
	other, ok := c.leaders[status.Term]
	if ok && other != s.member.Storage {
		c.recordViolation("%s and %s lead in term %d", other, s.member.Storage, status.Term)
	}
	c.leaders[status.Term] = s.member.Storage
	c.checkNames(s)
}

// checkNames checks that no two members of a leader's membership are of one replica.
func (c *cluster) checkNames(leader *simReplica) {
	known := map[waxwingseam.ReplicaID]waxwingseam.StorageID{}
	for _, m := range leader.membership().Members {
		if other, ok := known[m.Replica]; ok {
			c.recordViolation("%s and %s are members of one name", other, m.Storage)
		}
		known[m.Replica] = m.Storage
	}
}

func (c *cluster) checkApplied(s *simReplica, v waxwingseam.ApplyEntry) {
	e := v.Entry
	if e.Index != s.applied+1 {
		c.recordViolation("%s applies entry %d after %d", s.member.Storage, e.Index, s.applied)
	}
	s.applied = e.Index
	if int(e.Index) > len(c.committed) {
		c.committed = append(c.committed, e)
	}
	if known := c.committed[e.Index-1]; known.Term != e.Term || string(known.Command) != string(e.Command) {
		c.recordViolation("entry %d was %q of term %d, is %q of term %d", e.Index, known.Command, known.Term, e.Command, e.Term)
	}
	if v.Request != 0 {
		c.accepted[v.Request] = e.Index
	}
}

// checkRead checks that a read covers everything that was accepted when it was
// requested.
func (c *cluster) checkRead(v waxwingseam.AnswerRequest) {
	want, ok := c.reads[v.ID]
	if ok && v.Index < want {
		c.recordViolation("a read was answered at index %d although entry %d was accepted before the read", v.Index, want)
	}
	c.accepted[v.ID] = v.Index
}

func (c *cluster) runningReplica(id waxwingseam.StorageID) *simReplica {
	for _, s := range c.replicas {
		if s.member.Storage == id && c.runs(s) {
			return s
		}
	}
	return nil
}

// deliver removes one message from the network and passes it to its receiver,
// unless a fault prevents that. It passes crashAt to reduceAll.
func (c *cluster) deliver(i, crashAt int) {
	m := c.inFlight[i]
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
	to := c.runningReplica(m.To)
	if to != nil && c.deliverable(m) {
		c.reduce(to, waxwingseam.ReplicaMessageArrived{Stamp: c.stamp(), Message: m}, crashAt)
	}
	if successor := c.lost[m.To]; successor != nil && c.runs(successor) {
		c.refuseMessage(m, successor)
	}
}

// refuseMessage tells the sender of a message to a lost storage that the process at its
// address has another storage.
func (c *cluster) refuseMessage(m waxwingseam.ReplicaMessage, successor *simReplica) {
	from, to := c.runningReplica(m.From), m.To
	m.To = successor.member.Storage
	if from != nil && c.deliverable(m) {
		c.reduce(from, waxwingseam.StorageMismatched{Stamp: c.stamp(), Storage: to, Replica: successor.member.Replica}, 0)
	}
}

// deliverable reports whether no partition or loss prevents the delivery of a
// message.
func (c *cluster) deliverable(m waxwingseam.ReplicaMessage) bool {
	return c.isolated[m.From] == c.isolated[m.To] && (c.dropped == nil || !c.dropped(m))
}

// takeBatch returns a command followed by up to n messages to a replica, which
// it removes from the network.
func (c *cluster) takeBatch(s *simReplica, n int) []waxwingseam.Event {
	c.lastID++
	events := []waxwingseam.Event{waxwingseam.CommandProposed{Stamp: c.stamp(), ID: c.lastID, Command: fmt.Appendf(nil, "command-%d", c.lastID)}}
	c.inFlight = slices.DeleteFunc(c.inFlight, func(m waxwingseam.ReplicaMessage) bool {
		taken := m.To == s.member.Storage && len(events) <= n
		if taken && c.deliverable(m) {
			events = append(events, waxwingseam.ReplicaMessageArrived{Stamp: c.stamp(), Message: m})
		}
		return taken
	})
	return events
}

// deliverSnapshot delivers the oldest snapshot, unless a partition prevents
// that.
func (c *cluster) deliverSnapshot() {
	e := c.snapshots[0]
	c.snapshots = c.snapshots[1:]
	id := waxwingseam.StorageID(e.Snapshot.Data)
	e.Stamp = c.stamp()
	e.Snapshot.Data = nil
	if to := c.runningReplica(id); to != nil && c.isolated[e.From] == c.isolated[id] {
		c.reduce(to, e, 0)
	}
}

// deliverAll delivers all messages and snapshots in order and returns their
// number.
func (c *cluster) deliverAll() int {
	n := 0
	for ; n < 10_000 && len(c.inFlight)+len(c.snapshots) > 0; n++ {
		if len(c.inFlight) > 0 {
			c.deliver(0, 0)
			continue
		}
		c.deliverSnapshot()
	}
	return n
}

// tick passes one tick to each running replica.
func (c *cluster) tick() {
	for _, s := range c.replicas {
		if c.runs(s) {
			c.reduce(s, waxwingseam.ReplicaTicked{Stamp: c.stamp()}, 0)
		}
	}
}

// runs reports whether a replica's process runs and is not frozen.
func (c *cluster) runs(s *simReplica) bool {
	return !s.stopped && !c.frozen[s]
}

// run runs the cluster for a number of ticks and delivers all messages after
// each of them.
func (c *cluster) run(ticks int) {
	for range ticks {
		c.tick()
		c.deliverAll()
	}
}

// leader returns the running replica that leads in the latest term, or nil if
// there is none.
func (c *cluster) leader() *simReplica {
	var found *simReplica
	var term waxwingseam.Term
	for _, s := range c.replicas {
		status := s.reducer.Status()
		if c.runs(s) && status.Role == waxwingseam.RoleLeader && status.Term >= term {
			found, term = s, status.Term
		}
	}
	return found
}

// propose proposes the next command to a replica.
func (c *cluster) propose(s *simReplica) waxwingseam.RequestID {
	c.lastID++
	c.reduce(s, waxwingseam.CommandProposed{Stamp: c.stamp(), ID: c.lastID, Command: fmt.Appendf(nil, "command-%d", c.lastID)}, 0)
	return c.lastID
}

// read requests a confirmed read from a replica.
func (c *cluster) read(s *simReplica) waxwingseam.RequestID {
	c.lastID++
	c.reads[c.lastID] = waxwingseam.LogIndex(len(c.committed))
	c.reduce(s, waxwingseam.ReadAsked{Stamp: c.stamp(), ID: c.lastID}, 0)
	return c.lastID
}

func (c *cluster) proposeChange(s *simReplica, v waxwingseam.MembershipChange) waxwingseam.RequestID {
	c.lastID++
	c.reduce(s, waxwingseam.MembershipProposed{Stamp: c.stamp(), ID: c.lastID, Change: v}, 0)
	return c.lastID
}

// isolate puts replicas on the far side of a partition.
func (c *cluster) isolate(replicas ...*simReplica) {
	for _, s := range replicas {
		c.isolated[s.member.Storage] = true
	}
}

func (c *cluster) heal() {
	clear(c.isolated)
}
