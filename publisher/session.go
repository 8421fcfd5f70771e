package publisher

import (
	"errors"
	"io"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/messenger"
)

// session serves one watcher. The fields after the channels are guarded by the
// publisher's lock.
type session struct {
	publisher *publisher
	woken     chan struct{}
	ended     chan error

	peer         bool
	server       waxwingseam.ServerName
	announcement *waxwingseam.Announcement
	interest     Interest
	// reported identifies the set that the watcher last reported. sent is the
	// newest revision that was reported by the watcher or sent to it.
	reported HeldRevision
	sent     waxwingseam.Revision
	// confirmed is set once the state was confirmed for a watcher without a set;
	// confirming is set while that confirmation is pending.
	confirmed  bool
	confirming bool
	// dirty contains the servers that changed since the last push.
	dirty map[waxwingseam.ServerName]waxwingseam.Announcement
	// replicas are the control replicas that were sent to the watcher last.
	replicas []netip.AddrPort
	// latestIncarnation is a later incarnation of the watcher that has not been
	// sent to it yet; 0 if there is none.
	latestIncarnation waxwingseam.Incarnation
	// quarantined are the requests that the watcher refuses, and orders the operators'
	// decisions that were not sent to it yet.
	quarantined []waxwingseam.QuarantinedRequest
	orders      []waxwingseam.QuarantineOrder
	// reportSent is Sent of the watcher's latest report.
	reportSent uint64
	// tally is the watcher's latest one, received at talliedAt.
	tally     waxwingseam.AccountTally
	talliedAt time.Time
	// usageSentAt is when the use of client accounts was sent to the watcher last, and
	// usageSent is set if there was any.
	usageSentAt time.Time
	usageSent   bool
	// dirtyEndings names the servers whose endings are to be sent; sentEndings is set once
	// all of them were, and beganEndings once a node was told of those known so far.
	dirtyEndings map[waxwingseam.ServerName]struct{}
	sentEndings  bool
	beganEndings bool
	// dirtyRetryUses names the nodes whose statements are to be sent to another replica.
	// sentRetryUses is set once all of them were, or once a node was sent its history, which
	// was then complete from retryHistorySince on.
	dirtyRetryUses    map[waxwingseam.ServerName]struct{}
	sentRetryUses     bool
	retryHistorySince time.Time
	// sentComplete is set once a complete list of servers was sent.
	sentComplete bool
}

// wake makes the session's writer check for changes to send.
func (s *session) wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// covers reports whether a registration is sent to the watcher.
func (s *session) covers(v waxwingseam.Registration) bool {
	if s.peer {
		return v.Peer == ""
	}
	return s.interest.All || slices.Contains(s.interest.Services, v.Announcement.Server.Service)
}

// Watch implements Publisher.
func (p *publisher) Watch(stream drpc.Stream) error {
	s := &session{
		publisher: p,
		woken:     make(chan struct{}, 1),
		ended:     make(chan error, 1),
		dirty:     map[waxwingseam.ServerName]waxwingseam.Announcement{},

		dirtyEndings: map[waxwingseam.ServerName]struct{}{},

		dirtyRetryUses: map[waxwingseam.ServerName]struct{}{},
	}
	var first Report
	watchdog := NewWatchdog(func() { closeTransport(stream) })
	defer watchdog.Stop()
	if err := stream.MsgRecv(&first, messenger.Encoding); err != nil {
		return trace.Wrap(err)
	}
	if err := verifyIdentity(stream, first); err != nil {
		return err
	}
	p.addSession(s, first)
	defer p.removeSession(s)
	go s.read(stream, watchdog)
	return s.write(stream)
}

// verifyIdentity checks a first report against the watcher's certificate: a node
// may announce only the backend server that its certificate names.
func verifyIdentity(stream drpc.Stream, first Report) error {
	id, plain, err := authenticator.PeerIdentity(stream.Context())
	if plain || err != nil || id.Role == authenticator.RoleControl {
		return err
	}
	if first.Peer {
		return trace.AccessDenied("%s is a %s, not another control replica", id.Name, id.Role)
	}
	if first.Announcement != nil && string(first.Announcement.Server.Name) != id.Name {
		return trace.AccessDenied("%s announces %s", id.Name, first.Announcement.Server.Name)
	}
	return nil
}

// closeTransport closes a stream's connection, which ends pending sends.
func closeTransport(stream drpc.Stream) {
	if transport, ok := drpcctx.Transport(stream.Context()); ok {
		_ = transport.Close()
	}
}

// addSession adds a session and applies its first report.
func (p *publisher) addSession(s *session, first Report) {
	s.peer = first.Peer
	p.mu.Lock()
	p.sessions[s] = struct{}{}
	p.mu.Unlock()
	p.receive(s, first)
	s.wake()
}

func (p *publisher) removeSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s)
}

// read applies the watcher's reports until the stream ends.
func (s *session) read(stream drpc.Stream, watchdog *Watchdog) {
	for {
		var r Report
		if err := stream.MsgRecv(&r, messenger.Encoding); err != nil {
			s.ended <- err
			return
		}
		watchdog.MessageReceived()
		s.publisher.receive(s, r)
	}
}

// receive applies one report.
func (p *publisher) receive(s *session, r Report) {
	p.mu.Lock()
	if r.Held != nil {
		s.reported = *r.Held
		s.sent = max(s.sent, r.Held.Revision)
		if p.mismatch(s) {
			p.config.Logger.Error("a node holds a different set under the newest revision", "server", s.server)
		}
	}
	s.reportSent = r.Sent
	if r.Tally != nil {
		s.tally, s.talliedAt = *r.Tally, time.Now()
	}
	if r.Quarantine != nil {
		s.quarantined = r.Quarantine.Requests
	}
	if r.Interest != nil {
		p.setInterest(s, *r.Interest)
	}
	p.receiveOfServer(s, r)
	announcement := s.announcement
	p.mu.Unlock()
	if announcement == nil {
		return
	}
	p.config.Step(func(stamp waxwingseam.Stamp) waxwingseam.Event {
		if r.Announcement != nil {
			return waxwingseam.ServerAnnounced{Stamp: stamp, Announcement: *announcement}
		}
		return waxwingseam.LeaseRenewed{
			Stamp:       stamp,
			Server:      announcement.Server.Name,
			Incarnation: announcement.Server.Incarnation,
		}
	})
}

// receiveOfServer applies what a report says of the watcher's server and its node.
func (p *publisher) receiveOfServer(s *session, r Report) {
	if r.Announcement != nil && (s.server == "" || r.Announcement.Server.Name == s.server) {
		s.announcement = r.Announcement
		s.server = r.Announcement.Server.Name
	}
	if s.announcement == nil || s.peer {
		return
	}
	if len(r.Endings) > 0 {
		p.addEndings(s.server, r.Endings, true)
	}
	if r.RetryUse != nil {
		p.addRetryUse(s.announcement.Server, *r.RetryUse)
	}
}

// mismatch reports whether the watcher holds a different set than the replica
// under the same revision.
func (p *publisher) mismatch(s *session) bool {
	return s.reported.Revision == p.head.Set.Revision && s.reported.Digest != p.head.Digest
}

// setInterest sets a watcher's interest and marks the servers of added services
// as changed.
func (p *publisher) setInterest(s *session, next Interest) {
	before := s.interest
	s.interest = next
	s.sentComplete = false
	if next.All {
		for name, v := range p.table {
			if s.covers(v) {
				s.dirty[name] = v.Announcement
			}
		}
		s.wake()
		return
	}
	for _, service := range next.Services {
		if slices.Contains(before.Services, service) {
			continue
		}
		for name := range p.services[service] {
			s.dirty[name] = p.table[name].Announcement
		}
	}
	s.wake()
}

// write sends pushes until the stream ends.
func (s *session) write(stream drpc.Stream) error {
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		heartbeatDue := false
		select {
		case err := <-s.ended:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return trace.Wrap(err)
		case <-s.woken:
		case <-heartbeat.C:
			heartbeatDue = true
		}
		push, empty, err := s.publisher.nextPush(s, heartbeatDue)
		if err != nil {
			return err
		}
		if empty && !heartbeatDue {
			continue
		}
		if err := stream.MsgSend(&push, messenger.Encoding); err != nil {
			return trace.Wrap(err)
		}
	}
}
