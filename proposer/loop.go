package proposer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/journaler"
)

// batchSize is the maximum number of queued events that are reduced before their
// effects are executed, with one sync for all of them.
const batchSize = 256

// eventFunc creates an event with a stamp.
type eventFunc func(waxwingseam.Stamp) waxwingseam.Event

// stamper creates the stamps of events.
type stamper struct {
	random *rand.PCG
}

func newStamper() stamper {
	return stamper{random: rand.NewPCG(rand.Uint64(), rand.Uint64())}
}

func (s stamper) stamp() waxwingseam.Stamp {
	return waxwingseam.Stamp{Now: time.Now(), Random: s.random.Uint64()}
}

// run processes events until the context ends, an effect fails, or announce
// returns an error.
func (p *proposer) run(ctx context.Context, announceErrors <-chan error) error {
	ticker := time.NewTicker(p.config.Tick)
	defer ticker.Stop()
	for {
		var batch []eventFunc
		inbox := p.inbox
		if p.held.tooLarge() {
			// Senders and callers time out until the disk has room.
			inbox = nil
		}
		select {
		case <-ctx.Done():
			return p.leave()
		case err := <-announceErrors:
			if err != nil {
				return err
			}
			announceErrors = nil
			continue
		case <-ticker.C:
			batch = append(batch, tickEvent)
		case newEvent := <-inbox:
			batch = append(batch, newEvent)
		}
		if inbox != nil {
			batch = p.fillBatch(batch)
		}
		if err := p.process(batch); err != nil {
			p.config.Logger.Error("replica stopped", "error", err)
			return err
		}
		p.publish()
	}
}

// leave hands over the leadership before the replica stops, and then retires its vote if the
// cluster has more voters than it needs.
func (p *proposer) leave() error {
	if p.Status().Role == waxwingseam.RoleLeader && p.Status().Voters() > 1 {
		ctx, cancel := context.WithTimeout(context.Background(), p.config.handoverTimeout())
		defer cancel()
		handedOver := func() bool { return p.Status().Role != waxwingseam.RoleLeader }
		if err := p.processUntil(ctx, []eventFunc{handoverEvent}, handedOver); err != nil || !handedOver() {
			return err
		}
	}
	if !p.hasSurplusVote() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.config.LeaderTimeout)
	defer cancel()
	go func() {
		defer cancel()
		p.retire(ctx)
	}()
	return p.processUntil(ctx, nil, func() bool { return false })
}

// processUntil processes a batch of events and those that arrive, until a condition holds or
// the context ends. It passes no ticks, so that the replica starts no election.
func (p *proposer) processUntil(ctx context.Context, batch []eventFunc, done func() bool) error {
	for {
		if err := p.process(p.fillBatch(batch)); err != nil {
			return err
		}
		p.publish()
		if done() {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case newEvent := <-p.inbox:
			batch = []eventFunc{newEvent}
		}
	}
}

// hasSurplusVote reports whether the replica votes, and the cluster has more voters than the
// tolerated losses require.
func (p *proposer) hasSurplusVote() bool {
	status := p.Status()
	losses := p.config.Replicator.ToleratedLosses
	return losses > 0 && status.Self.Voter && status.Voters() > 2*losses+1
}

// retireInterval is the time between two requests of a stopping replica to be removed.
const retireInterval = 50 * time.Millisecond

// retire asks the leader to remove this replica, until the leader has done so, other voters
// have become too few, or the context ends. Otherwise the vote of a replica that has stopped
// for good would count until its silence was noticed, and further losses could meanwhile end
// the quorum for good.
func (p *proposer) retire(ctx context.Context) {
	change := waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRetire, Member: p.Status().Self}
	for p.hasSurplusVote() {
		err := p.ChangeMembership(ctx, change)
		if err == nil {
			p.config.Logger.Info("retired before stopping", "storage", change.Member.Storage)
			return
		}
		if !sleep(ctx, retireInterval) {
			p.config.Logger.Warn("not retired before stopping", "storage", change.Member.Storage, "cause", err)
			return
		}
	}
}

func handoverEvent(s waxwingseam.Stamp) waxwingseam.Event {
	return waxwingseam.HandoverAsked{Stamp: s}
}

func tickEvent(s waxwingseam.Stamp) waxwingseam.Event {
	return waxwingseam.ReplicaTicked{Stamp: s}
}

// reportMismatch tells the reducer that the process at a member's address has another
// storage.
func (p *proposer) reportMismatch(id waxwingseam.StorageID, replica waxwingseam.ReplicaID) {
	p.enqueue(p.links.ctx, func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.StorageMismatched{Stamp: s, Storage: id, Replica: replica}
	})
}

// reportSnapshotFailure tells the reducer that a snapshot did not reach a member.
func (p *proposer) reportSnapshotFailure(to waxwingseam.StorageID) {
	p.enqueue(p.links.ctx, func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.SnapshotFailed{Stamp: s, To: to}
	})
}

// fillBatch adds queued events to a batch, up to batchSize.
func (p *proposer) fillBatch(batch []eventFunc) []eventFunc {
	for len(batch) < batchSize {
		select {
		case newEvent := <-p.inbox:
			batch = append(batch, newEvent)
		default:
			return batch
		}
	}
	return batch
}

// enqueue queues an event. It returns false if the replica has stopped or the
// context ends first.
func (p *proposer) enqueue(ctx context.Context, newEvent eventFunc) bool {
	select {
	case <-p.done:
		return false
	default:
	}
	select {
	case p.inbox <- newEvent:
		return true
	case <-ctx.Done():
	case <-p.done:
	}
	return false
}

// process reduces a batch of events and executes the effects: first those that need not wait
// for the journal, then the writes to the journal, then all others. The events that result
// from the effects form the next batch. While the disk is full, what waits for the journal is
// held, in order.
func (p *proposer) process(batch []eventFunc) error {
	for len(batch) > 0 {
		for _, f := range batch {
			p.hold(p.reducer.Reduce(f(p.stamper.stamp())))
		}
		if p.stalled() && time.Since(p.lastWrite) < fullDiskRetryInterval {
			return nil
		}
		p.lastWrite = time.Now()
		confirmation, err := p.writeHeld()
		if journaler.IsFull(err) {
			batch = p.stall(err)
			continue
		}
		if err != nil {
			return err
		}
		p.endStall()
		effects := p.held.take()
		batch, err = p.executeEffects(effects)
		if err != nil {
			return err
		}
		if confirmation != nil {
			batch = append(batch, confirmation)
		}
	}
	return nil
}

// hold adds effects to those that wait for the journal, and executes what need not wait.
func (p *proposer) hold(effects []waxwingseam.Effect) {
	for _, e := range effects {
		if v, ok := e.(waxwingseam.SendReplicaMessage); ok && v.BeforePersist {
			p.links.send(v.Message)
			continue
		}
		p.held.add(e)
	}
	if p.stalled() {
		p.answerHeld(effects)
	}
}

// writeHeld writes the held states, entries and snapshots to the journal that it does not have
// yet. It returns the event that confirms the last write; nil if there was nothing to write.
func (p *proposer) writeHeld() (eventFunc, error) {
	var pending *waxwingseam.PersistReplica
	for i := p.held.written; i < len(p.held.effects); i++ {
		switch v := p.held.effects[i].(type) {
		case waxwingseam.PersistReplica:
			pending = merge(pending, v)
		case waxwingseam.PersistSnapshot:
			if err := p.flush(pending); err != nil {
				return nil, err
			}
			pending, p.held.written = nil, i
			if err := p.journal.Compact(v); err != nil {
				return nil, err
			}
			p.held.confirm(i+1, v.State)
		}
	}
	if err := p.flush(pending); err != nil {
		return nil, err
	}
	if pending != nil {
		p.held.confirm(len(p.held.effects), pending.State)
	}
	if p.held.state == nil {
		return nil, nil
	}
	return persistedEvent(*p.held.state, p.reducer.Status().Last), nil
}

// persistedEvent returns the event that confirms that the entries up to last
// are durable. last can be read from the reducer, because it reduces no event
// between a batch and the writes of that batch.
func persistedEvent(state waxwingseam.ReplicaState, last waxwingseam.LogIndex) eventFunc {
	return func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.ReplicaPersisted{Stamp: s, State: state, Last: last}
	}
}

func (p *proposer) flush(pending *waxwingseam.PersistReplica) error {
	if pending == nil {
		return nil
	}
	return trace.Wrap(p.journal.Persist(*pending))
}

// merge combines two writes. Entries of the first write at or after the first
// entry of the second are replaced.
func merge(pending *waxwingseam.PersistReplica, v waxwingseam.PersistReplica) *waxwingseam.PersistReplica {
	if pending == nil {
		return &v
	}
	out := waxwingseam.PersistReplica{State: v.State}
	out.Entries = append(out.Entries, pending.Entries...)
	if len(v.Entries) > 0 {
		out.Entries = entriesBefore(out.Entries, v.Entries[0].Index)
		out.Entries = append(out.Entries, v.Entries...)
	}
	return &out
}

// entriesBefore returns the entries before an index.
func entriesBefore(entries []waxwingseam.LogEntry, index waxwingseam.LogIndex) []waxwingseam.LogEntry {
	for i, e := range entries {
		if e.Index >= index {
			return entries[:i]
		}
	}
	return entries
}

// executeEffects executes the effects that must wait for the journal, and
// returns the events that result from them.
func (p *proposer) executeEffects(effects []waxwingseam.Effect) ([]eventFunc, error) {
	var next []eventFunc
	for _, e := range effects {
		switch v := e.(type) {
		case waxwingseam.SendReplicaMessage:
			if !v.BeforePersist {
				p.links.send(v.Message)
			}
		case waxwingseam.SendSnapshot:
			p.links.sendSnapshot(v, p.journal.Snapshot())
		case waxwingseam.ApplyEntry:
			p.apply(v)
		case waxwingseam.PersistSnapshot:
			if err := p.restore(v); err != nil {
				return nil, err
			}
		case waxwingseam.TakeSnapshot:
			newEvent, err := p.takeSnapshot(v.Index)
			if err != nil {
				return nil, err
			}
			next = append(next, newEvent)
		case waxwingseam.AnswerRequest:
			p.answer(v.ID, answer{index: v.Index})
		case waxwingseam.RefuseRequest:
			p.answer(v.ID, answer{reason: v.Reason})
		case waxwingseam.AdoptMembership:
			p.adopt(v.Membership)
		case waxwingseam.StopReplica:
			return nil, trace.BadParameter("entry %d: %s", v.Index, v.Text)
		}
	}
	return next, nil
}

func (p *proposer) apply(v waxwingseam.ApplyEntry) {
	a := answer{index: v.Entry.Index}
	if v.Entry.Kind == waxwingseam.EntryCommand {
		a.data = p.config.Applier.Apply(v.Entry.Index, v.Entry.Command)
	}
	if v.Request != 0 {
		p.answer(v.Request, a)
	}
}

func (p *proposer) restore(v waxwingseam.PersistSnapshot) error {
	if !v.Restore {
		return nil
	}
	p.config.Logger.Info("snapshot installed", "index", v.Snapshot.Index)
	return trace.Wrap(p.config.Applier.Restore(v.Snapshot.Data), "restoring a leader's snapshot")
}

func (p *proposer) takeSnapshot(index waxwingseam.LogIndex) (eventFunc, error) {
	data, err := p.config.Applier.Snapshot()
	if err != nil {
		return nil, trace.Wrap(err, "taking a snapshot")
	}
	return func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.SnapshotTaken{Stamp: s, Index: index, Data: data}
	}, nil
}

func (p *proposer) adopt(m waxwingseam.Membership) {
	p.config.Logger.Info("members changed", "members", len(m.Members), "voters", m.Voters())
	for _, v := range m.Members {
		p.links.updatePeer(v)
	}
}
