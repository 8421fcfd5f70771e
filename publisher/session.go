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

// session is one watcher. All but the channels is guarded by the publisher's
// lock.
type session struct {
	publisher *publisher
	woken     chan struct{}
	ended     chan error

	peer         bool
	server       waxwingseam.ServerName
	announcement *waxwingseam.Announcement
	interest     Interest
	// reported is what the watcher said that it holds, sent the newest
	// revision on its way to it.
	reported HeldRevision
	sent     waxwingseam.Revision
	// cleared is set once the state was confirmed, for a watcher that came
	// without a set; asking while that goes on.
	cleared bool
	asking  bool
	dirty   map[waxwingseam.ServerName]waxwingseam.Announcement
	// replicas are the control replicas that the watcher was told of.
	replicas []netip.AddrPort
	// outlived is a later incarnation of the watcher's that it was not told of
	// yet; 0 for none.
	outlived waxwingseam.Incarnation
	// whole is set once the watcher was told all servers.
	whole bool
}

// wake makes the session's writer look for something to send.
func (s *session) wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// wants reports whether the watcher is to know of a registration.
func (s *session) wants(v waxwingseam.Registration) bool {
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
	}
	var first Report
	silence := NewWatchdog(func() { hangUp(stream) })
	defer silence.Stop()
	if err := stream.MsgRecv(&first, messenger.Encoding); err != nil {
		return trace.Wrap(err)
	}
	if err := vouch(stream, first); err != nil {
		return err
	}
	p.join(s, first)
	defer p.leave(s)
	go s.read(stream, silence)
	return s.write(stream)
}

// vouch checks a first report against the certificate of the watcher: a node
// may announce only the backend server that its certificate names.
func vouch(stream drpc.Stream, first Report) error {
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

// hangUp closes the connection below a stream, which ends pending sends.
func hangUp(stream drpc.Stream) {
	if transport, ok := drpcctx.Transport(stream.Context()); ok {
		_ = transport.Close()
	}
}

// join adds a session.
func (p *publisher) join(s *session, first Report) {
	s.peer = first.Peer
	p.mu.Lock()
	p.sessions[s] = struct{}{}
	p.mu.Unlock()
	p.receive(s, first)
	s.wake()
}

func (p *publisher) leave(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s)
}

// read takes in the watcher's reports until the stream ends.
func (s *session) read(stream drpc.Stream, silence *Watchdog) {
	for {
		var r Report
		if err := stream.MsgRecv(&r, messenger.Encoding); err != nil {
			s.ended <- err
			return
		}
		silence.MessageReceived()
		s.publisher.receive(s, r)
	}
}

// receive takes in one report.
func (p *publisher) receive(s *session, r Report) {
	p.mu.Lock()
	if r.Held != nil {
		s.reported = *r.Held
		s.sent = max(s.sent, r.Held.Revision)
		if p.mismatch(s) {
			p.config.Logger.Error("a node holds another set under the newest revision", "server", s.server)
		}
	}
	if r.Interest != nil {
		p.widen(s, *r.Interest)
	}
	if r.Announcement != nil && (s.server == "" || r.Announcement.Server.Name == s.server) {
		s.announcement = r.Announcement
		s.server = r.Announcement.Server.Name
	}
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

// mismatch reports whether the watcher holds another set than the replica
// under the same revision.
func (p *publisher) mismatch(s *session) bool {
	return s.reported.Revision == p.head.Set.Revision && s.reported.Digest != p.head.Digest
}

// widen takes in a watcher's interest and marks the servers of new services.
func (p *publisher) widen(s *session, next Interest) {
	before := s.interest
	s.interest = next
	s.whole = false
	if next.All {
		for name, v := range p.table {
			if s.wants(v) {
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
		beat := false
		select {
		case err := <-s.ended:
			if errors.Is(err, io.EOF) {
				return nil
			}
			return trace.Wrap(err)
		case <-s.woken:
		case <-heartbeat.C:
			beat = true
		}
		push, empty, err := s.publisher.next(s, beat)
		if err != nil {
			return err
		}
		if empty && !beat {
			continue
		}
		if err := stream.MsgSend(&push, messenger.Encoding); err != nil {
			return trace.Wrap(err)
		}
	}
}
