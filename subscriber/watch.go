package subscriber

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/publisher"
)

// watch connects to a control replica and serves the connection until it fails or
// the context ends. With fallback, which is set for replicas other than the
// preferred one, the connection also ends after a random time around ReturnAfter.
func (s *subscriber) watch(ctx context.Context, address netip.AddrPort, fallback bool) error {
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	conn, err := s.config.Dialer.Dial(dialCtx, address)
	cancelDial()
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = conn.Close() }()
	watchdog := publisher.NewWatchdog(func() { _ = conn.Close() })
	defer watchdog.Stop()
	// The stream stays open after the context has ended, for the final report.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stream, err := conn.NewStream(streamCtx, publisher.WatchMethod, messenger.Encoding)
	if err != nil {
		return trace.Wrap(err)
	}
	s.setConnected(address)
	defer s.setDisconnected()
	failed := make(chan error, 1)
	go func() { failed <- s.read(stream, watchdog) }()
	var returnDue <-chan time.Time
	if fallback {
		timer := time.NewTimer(s.jitter(s.config.ReturnAfter))
		defer timer.Stop()
		returnDue = timer.C
	}
	return s.write(ctx, stream, failed, returnDue)
}

// setConnected marks everything as not reported to the replica. The announcement
// receives a new sequence number, so that it replaces those made at other replicas.
func (s *subscriber) setConnected(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = address
	s.announcement.Sequence++
	s.unconfirmed.pushes = 0
	s.changed = changes{
		announcement: true, interest: true, held: true, quarantine: len(s.quarantined) > 0,
		endings: len(s.endings.list) > 0, retryUse: s.retryRepeats > 0,
	}
	s.endings.confirmed = nil
	s.wake()
}

func (s *subscriber) setDisconnected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = netip.AddrPort{}
}

// write sends reports of changes, and a report at each heartbeat.
func (s *subscriber) write(ctx context.Context, stream drpc.Stream, failed <-chan error, returnDue <-chan time.Time) error {
	heartbeat := time.NewTicker(publisher.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		report := s.nextReport()
		if err := stream.MsgSend(&report, messenger.Encoding); err != nil {
			return trace.Wrap(err)
		}
		select {
		case <-ctx.Done():
			return s.sendFinalReport(stream, failed)
		case err := <-failed:
			return err
		case <-returnDue:
			return errReturn
		case <-s.woken:
		case <-heartbeat.C:
		}
	}
}

// sendFinalReport sends what has not been reported yet, and waits for the replica
// to end the stream.
func (s *subscriber) sendFinalReport(stream drpc.Stream, failed <-chan error) error {
	report := s.nextReport()
	if err := stream.MsgSend(&report, messenger.Encoding); err != nil {
		return trace.Wrap(err)
	}
	if err := stream.CloseSend(); err != nil {
		return trace.Wrap(err)
	}
	select {
	case err := <-failed:
		return err
	case <-time.After(finalReportTimeout):
		return context.DeadlineExceeded
	}
}

// nextReport returns what has not been reported yet and marks it as reported.
func (s *subscriber) nextReport() publisher.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var r publisher.Report
	if s.changed.announcement && s.announcement.Server.Name != "" {
		announcement := s.announcement
		r.Announcement = &announcement
	}
	if s.changed.interest {
		interest := s.interest
		r.Interest = &interest
	}
	if s.changed.held {
		r.Held = &publisher.HeldRevision{Revision: s.held.Revision, Digest: s.digest}
	}
	if s.changed.quarantine {
		r.Quarantine = &publisher.QuarantineReport{Requests: slices.Collect(maps.Values(s.quarantined))}
	}
	if len(s.held.ClientAccounts) > 0 {
		r.Sent = s.clock()
	}
	if s.config.Tally != nil {
		if tally, ok := s.config.Tally(); ok {
			r.Tally = &tally
		}
	}
	if s.changed.endings {
		r.Endings = slices.Clone(s.endings.list)
	}
	if s.changed.retryUse {
		r.RetryUse = &waxwingseam.RetryUse{Repeats: s.retryRepeats, Age: time.Since(s.retryUsedAt)}
	}
	s.changed = changes{}
	return r
}

// read applies pushes until the stream ends or receive fails.
func (s *subscriber) read(stream drpc.Stream, watchdog *publisher.Watchdog) error {
	for {
		var p publisher.Push
		if err := stream.MsgRecv(&p, messenger.Encoding); err != nil {
			return trace.Wrap(err)
		}
		watchdog.MessageReceived()
		if err := s.receive(&p); err != nil {
			return err
		}
	}
}

// receive applies one push.
func (s *subscriber) receive(p *publisher.Push) error {
	if len(p.Set) > 0 {
		set, err := publisher.Unpack(p.Set)
		if err != nil {
			return err
		}
		s.adopt(set, checker.Digest(set))
	}
	if len(p.Steps) > 0 {
		if err := s.applySteps(p.Steps); err != nil {
			return err
		}
	}
	if len(p.Replicas) > 0 {
		s.mu.Lock()
		s.replicas = p.Replicas
		s.mu.Unlock()
	}
	if p.LatestIncarnation > 0 {
		s.config.Logger.Warn("control has recorded a later incarnation of this node", "incarnation", p.LatestIncarnation)
		s.config.Step(func(stamp waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.IncarnationSuperseded{Stamp: stamp, Incarnation: p.LatestIncarnation}
		})
	}
	for _, o := range p.Orders {
		s.config.Step(func(stamp waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.QuarantineOrdered{Stamp: stamp, Order: o}
		})
	}
	if len(p.Endings)+len(p.UnstoredEndings) > 0 || p.EndingsComplete {
		s.receiveEndings(p)
	}
	if len(p.Present)+len(p.Gone) > 0 || p.Complete {
		s.updateServers(p)
	}
	if h := p.RetryHistory; h != nil {
		s.config.Step(func(stamp waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.RetryHistoryLearned{Stamp: stamp, History: *h}
		})
	}
	if now := s.clock(); !p.Unconfirmed && isRecent(p.Echo, now) {
		s.config.Step(func(stamp waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.ControlHeard{Stamp: stamp, Age: time.Duration(now-p.Echo) * time.Millisecond}
		})
	}
	return s.checkUnconfirmed(p.Unconfirmed)
}

// clock returns the milliseconds since shortly before the subscriber's start; never 0.
func (s *subscriber) clock() uint64 {
	return uint64(1 + time.Since(s.started).Milliseconds())
}

// isRecent reports whether a push answers a report that was sent within maxEchoAge.
func isRecent(echo, now uint64) bool {
	return echo > 0 && echo <= now && now-echo <= uint64(maxEchoAge.Milliseconds())
}

// checkUnconfirmed returns errUnconfirmed after too many unconfirmed pushes in a
// row, if the settings list other replicas.
func (s *subscriber) checkUnconfirmed(unconfirmed bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !unconfirmed {
		s.unconfirmed = unconfirmedCounts{}
		return nil
	}
	s.unconfirmed.pushes++
	limit := unconfirmedLimit
	if s.unconfirmed.replicas >= len(s.config.Control) {
		limit = allUnconfirmedLimit
	}
	if len(s.config.Control) == 1 || s.unconfirmed.pushes < limit {
		return nil
	}
	s.unconfirmed.replicas++
	return errUnconfirmed
}

// applySteps applies steps to the set in force and adopts the result. It returns an
// error if a step is missing or a digest differs.
func (s *subscriber) applySteps(steps []publisher.Step) error {
	set, digest := s.currentSet()
	for _, step := range steps {
		if step.Revision <= set.Revision {
			continue
		}
		if step.Revision != set.Revision+1 {
			return trace.CompareFailed("step to revision %d does not follow revision %d", step.Revision, set.Revision)
		}
		next := step.Change.Apply(set)
		next.Revision = step.Revision
		digest = step.Change.Digest(set, digest)
		if digest != step.Digest {
			return trace.CompareFailed("the digest of revision %d differs from the one that control sent", step.Revision)
		}
		set = next
	}
	s.adopt(set, digest)
	return nil
}

// updateServers merges a push into the known servers. Servers that the push does
// not list are kept unless its list is complete.
func (s *subscriber) updateServers(p *publisher.Push) {
	s.mu.Lock()
	var present []waxwingseam.Server
	var gone []waxwingseam.ServerName
	listed := map[waxwingseam.ServerName]bool{}
	for _, a := range p.Present {
		listed[a.Server.Name] = true
		if known, ok := s.servers[a.Server.Name]; ok && !a.Newer(known) {
			continue
		}
		if s.gone.includes(a) {
			continue
		}
		s.servers[a.Server.Name] = a
		present = append(present, a.Server)
	}
	for _, a := range p.Gone {
		s.gone.add(time.Now(), a)
		if known, ok := s.servers[a.Server.Name]; ok && !known.Newer(a) {
			gone = append(gone, a.Server.Name)
		}
	}
	if p.Complete {
		gone = append(gone, s.unlisted(listed)...)
	}
	for _, name := range gone {
		delete(s.servers, name)
	}
	s.mu.Unlock()
	if len(present)+len(gone) == 0 {
		return
	}
	s.config.Step(func(stamp waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.ServersUpdated{Stamp: stamp, Servers: present, Gone: gone}
	})
}

// unlisted returns the known servers that a complete list lacks, ordered by name.
func (s *subscriber) unlisted(listed map[waxwingseam.ServerName]bool) []waxwingseam.ServerName {
	var names []waxwingseam.ServerName
	for name := range s.servers {
		if !listed[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
