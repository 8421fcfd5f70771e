package subscriber

import (
	"context"
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

// watch keeps one connection to a control replica until it fails or goes
// silent; away is set for another replica than the preferred one.
func (s *subscriber) watch(ctx context.Context, address netip.AddrPort, away bool) error {
	dialing, done := context.WithTimeout(ctx, dialTimeout)
	conn, err := s.config.Dialer.Dial(dialing, address)
	done()
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = conn.Close() }()
	silence := publisher.NewWatchdog(func() { _ = conn.Close() })
	defer silence.Stop()
	// The connection outlasts the context for a last report.
	streaming, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stream, err := conn.NewStream(streaming, publisher.WatchMethod, messenger.Encoding)
	if err != nil {
		return trace.Wrap(err)
	}
	s.begin(address)
	defer s.end()
	failed := make(chan error, 1)
	go func() { failed <- s.read(stream, silence) }()
	var homeward <-chan time.Time
	if away {
		timer := time.NewTimer(s.around(s.config.ReturnAfter))
		defer timer.Stop()
		homeward = timer.C
	}
	return s.write(ctx, stream, failed, homeward)
}

// begin marks all as untold to the replica. The announcement gets a new
// sequence, so that it replaces the one through another replica.
func (s *subscriber) begin(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = address
	s.announcement.Sequence++
	s.doubt.pushes = 0
	s.changed = changes{announcement: true, interest: true, held: true}
	s.wake()
}

func (s *subscriber) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = netip.AddrPort{}
}

// write sends reports, at least as often as heartbeats are due.
func (s *subscriber) write(ctx context.Context, stream drpc.Stream, failed <-chan error, homeward <-chan time.Time) error {
	heartbeat := time.NewTicker(publisher.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		report := s.report()
		if err := stream.MsgSend(&report, messenger.Encoding); err != nil {
			return trace.Wrap(err)
		}
		select {
		case <-ctx.Done():
			return s.farewell(stream, failed)
		case err := <-failed:
			return err
		case <-homeward:
			return errReturn
		case <-s.woken:
		case <-heartbeat.C:
		}
	}
}

// farewell sends what the replica has not been told yet, and waits until it
// has been read.
func (s *subscriber) farewell(stream drpc.Stream, failed <-chan error) error {
	report := s.report()
	if err := stream.MsgSend(&report, messenger.Encoding); err != nil {
		return trace.Wrap(err)
	}
	if err := stream.CloseSend(); err != nil {
		return trace.Wrap(err)
	}
	select {
	case err := <-failed:
		return err
	case <-time.After(farewellTimeout):
		return context.DeadlineExceeded
	}
}

// report takes what the replica has not been told yet.
func (s *subscriber) report() publisher.Report {
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
	s.changed = changes{}
	return r
}

// read takes in pushes until the stream ends.
func (s *subscriber) read(stream drpc.Stream, silence *publisher.Watchdog) error {
	for {
		var p publisher.Push
		if err := stream.MsgRecv(&p, messenger.Encoding); err != nil {
			return trace.Wrap(err)
		}
		silence.MessageReceived()
		if err := s.take(&p); err != nil {
			return err
		}
	}
}

// take takes in one push.
func (s *subscriber) take(p *publisher.Push) error {
	if len(p.Set) > 0 {
		set, err := publisher.Unpack(p.Set)
		if err != nil {
			return err
		}
		s.adopt(set, checker.Digest(set))
	}
	if len(p.Steps) > 0 {
		if err := s.advance(p.Steps); err != nil {
			return err
		}
	}
	if len(p.Replicas) > 0 {
		s.mu.Lock()
		s.replicas = p.Replicas
		s.mu.Unlock()
	}
	if p.LatestIncarnation > 0 {
		s.config.Logger.Warn("control knows a later incarnation of this node", "incarnation", p.LatestIncarnation)
		s.config.Step(func(stamp waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.IncarnationSuperseded{Stamp: stamp, Incarnation: p.LatestIncarnation}
		})
	}
	if len(p.Present)+len(p.Gone) > 0 || p.Complete {
		s.learn(p)
	}
	return s.weigh(p.Unconfirmed)
}

// weigh fails once the replica watched has not confirmed its state for too
// long, while there are others that may.
func (s *subscriber) weigh(unconfirmed bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !unconfirmed {
		s.doubt = doubt{}
		return nil
	}
	s.doubt.pushes++
	limit := doubtfulPushes
	if s.doubt.replicas >= len(s.config.Control) {
		limit = patientPushes
	}
	if len(s.config.Control) == 1 || s.doubt.pushes < limit {
		return nil
	}
	s.doubt.replicas++
	return errUnconfirmed
}

// advance applies steps to the set held.
func (s *subscriber) advance(steps []publisher.Step) error {
	set, digest := s.current()
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
			return trace.CompareFailed("revision %d has another digest than control says", step.Revision)
		}
		set = next
	}
	s.adopt(set, digest)
	return nil
}

// learn merges what a replica knows of the servers. What it does not list is
// kept unless the list is whole.
func (s *subscriber) learn(p *publisher.Push) {
	s.mu.Lock()
	var present []waxwingseam.Server
	var gone []waxwingseam.ServerName
	listed := map[waxwingseam.ServerName]bool{}
	for _, a := range p.Present {
		listed[a.Server.Name] = true
		if known, ok := s.servers[a.Server.Name]; ok && !a.Newer(known) {
			continue
		}
		s.servers[a.Server.Name] = a
		present = append(present, a.Server)
	}
	for _, a := range p.Gone {
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

// unlisted returns the known servers that a whole list lacks, in order.
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
