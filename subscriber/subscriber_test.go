package subscriber

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/publisher"
)

// waitTimeout is how long a test waits for a value before it fails.
const waitTimeout = 20 * time.Second

// controlReplica simulates a control replica that sends given pushes.
type controlReplica struct {
	pushes  chan publisher.Push
	reports chan publisher.Report
}

// Watch answers each report with the next push, which is empty if none is given.
func (s *controlReplica) Watch(stream drpc.Stream) error {
	for {
		var r publisher.Report
		if err := stream.MsgRecv(&r, messenger.Encoding); err != nil {
			return err
		}
		if r.Held != nil {
			s.reports <- r
		}
		p := publisher.Push{}
		select {
		case p = <-s.pushes:
		default:
		}
		if err := stream.MsgSend(&p, messenger.Encoding); err != nil {
			return err
		}
	}
}

// start runs a subscriber against a simulated control replica, and returns the
// events that the subscriber passes to its reducer.
func start(t *testing.T) (*controlReplica, <-chan waxwingseam.Event) {
	s := &controlReplica{pushes: make(chan publisher.Push, 64), reports: make(chan publisher.Report, 64)}
	server, err := messenger.Listen(t.Context(), messenger.ServerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, server.Register(s, messenger.Description{{
		Name: publisher.WatchMethod,
		Receiver: func(service any, _ context.Context, in, _ any) (drpc.Message, error) {
			return nil, service.(*controlReplica).Watch(in.(drpc.Stream))
		},
		Expression: (*controlReplica).Watch,
	}}), qt.IsNil)
	events := make(chan waxwingseam.Event, 64)
	n := New(Config{
		Control: []netip.AddrPort{server.Address()},
		Self:    waxwingseam.Server{Name: "a", Service: "fees"},
		Step:    func(build func(waxwingseam.Stamp) waxwingseam.Event) { events <- build(waxwingseam.Stamp{}) },
		Logger:  slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(ctx) })
	group.Go(func() { _ = n.Run(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
	return s, events
}

func next[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for a value")
	}
	panic("unreachable")
}

// pushOfSet returns a push of a whole set.
func pushOfSet(t *testing.T, r waxwingseam.Revision) publisher.Push {
	packed, err := publisher.Pack(&waxwingseam.Set{Revision: r, Services: []waxwingseam.Service{{Name: "fees", Slots: int(r)}}})
	qt.Assert(t, err, qt.IsNil)
	return publisher.Push{Set: packed}
}

// pushOfStep returns a push of one step, with digestError added to its digest.
func pushOfStep(r waxwingseam.Revision, digestError uint64) publisher.Push {
	set := waxwingseam.Set{Services: []waxwingseam.Service{{Name: "fees", Slots: int(r)}}}
	return publisher.Push{Steps: []publisher.Step{{
		Revision: r,
		Digest:   checker.Digest(&set) + digestError,
		Change:   checker.Change{Put: set},
	}}}
}

// TestOnlyHigherRevisionsAreAdopted checks that a node which receives revisions
// out of order, with a gap and with a wrong digest adopts only the higher and
// valid revisions, and that it reports its revision again after an invalid step.
func TestOnlyHigherRevisionsAreAdopted(t *testing.T) {
	s, events := start(t)
	adopted := func() waxwingseam.Revision { return next(t, events).(waxwingseam.SetAdopted).Set.Revision }
	reported := func() waxwingseam.Revision { return next(t, s.reports).Held.Revision }
	qt.Assert(t, reported(), qt.Equals, waxwingseam.Revision(0))
	for _, p := range []publisher.Push{pushOfSet(t, 3), pushOfSet(t, 2), pushOfSet(t, 3), pushOfStep(2, 0), pushOfStep(4, 0)} {
		s.pushes <- p
	}
	qt.Assert(t, adopted(), qt.Equals, waxwingseam.Revision(3))
	qt.Assert(t, adopted(), qt.Equals, waxwingseam.Revision(4))
	qt.Assert(t, reported(), qt.Equals, waxwingseam.Revision(3))
	qt.Assert(t, reported(), qt.Equals, waxwingseam.Revision(4))
	s.pushes <- pushOfStep(6, 0)
	qt.Assert(t, reported(), qt.Equals, waxwingseam.Revision(4))
	s.pushes <- pushOfStep(5, 1)
	qt.Assert(t, reported(), qt.Equals, waxwingseam.Revision(4))
	s.pushes <- pushOfStep(5, 0)
	qt.Assert(t, adopted(), qt.Equals, waxwingseam.Revision(5))
}

// TestLaterIncarnationIsReported checks that the node's reducer receives an event
// for a later incarnation.
func TestLaterIncarnationIsReported(t *testing.T) {
	s, events := start(t)
	s.pushes <- publisher.Push{LatestIncarnation: 9}
	qt.Assert(t, next(t, events), qt.DeepEquals, waxwingseam.Event(waxwingseam.IncarnationSuperseded{Incarnation: 9}))
}

func announcement(name waxwingseam.ServerName, sequence uint64) waxwingseam.Announcement {
	return waxwingseam.Announcement{Server: waxwingseam.Server{Name: name, Service: "fees"}, Sequence: sequence}
}

// TestServerListsAreMerged checks that a node ignores older announcements, also of
// servers that are gone, and that only a complete list removes the servers that are not in it.
func TestServerListsAreMerged(t *testing.T) {
	s, events := start(t)
	list := func(sequence uint64, names ...waxwingseam.ServerName) []waxwingseam.Announcement {
		l := make([]waxwingseam.Announcement, 0, len(names))
		for _, name := range names {
			l = append(l, announcement(name, sequence))
		}
		return l
	}
	for _, v := range []struct {
		push          publisher.Push
		present, gone []waxwingseam.ServerName
	}{
		{publisher.Push{Present: list(2, "a", "b")}, []waxwingseam.ServerName{"a", "b"}, nil},
		{publisher.Push{Present: list(2, "b", "c")}, []waxwingseam.ServerName{"c"}, nil},
		{publisher.Push{Present: list(1, "a"), Gone: list(1, "b")}, nil, nil},
		{publisher.Push{Gone: list(2, "a")}, []waxwingseam.ServerName{}, []waxwingseam.ServerName{"a"}},
		{publisher.Push{Present: list(3, "b"), Complete: true}, []waxwingseam.ServerName{"b"}, []waxwingseam.ServerName{"c"}},
		// A replica that was cut off lists a server that is gone.
		{publisher.Push{Present: list(2, "a", "d")}, []waxwingseam.ServerName{"d"}, nil},
		// A complete list of a replica that has just started may lack a server.
		{publisher.Push{Present: list(2, "c")}, []waxwingseam.ServerName{"c"}, nil},
		{publisher.Push{Present: list(3, "a")}, []waxwingseam.ServerName{"a"}, nil},
	} {
		s.pushes <- v.push
		if len(v.present)+len(v.gone) == 0 {
			continue
		}
		updated := next(t, events).(waxwingseam.ServersUpdated)
		names := make([]waxwingseam.ServerName, 0, len(updated.Servers))
		for _, server := range updated.Servers {
			names = append(names, server.Name)
		}
		qt.Assert(t, names, qt.DeepEquals, v.present)
		qt.Assert(t, updated.Gone, qt.DeepEquals, v.gone)
	}
}

// TestControlIsHeard guards against unknown keys that are refused for good by a node that
// has not heard from control: a push counts only if it is confirmed and answers a recent
// report. A node that was stopped reads pushes from before.
func TestControlIsHeard(t *testing.T) {
	s, events := start(t)
	next(t, s.reports)
	set := waxwingseam.Set{Revision: 1, ClientAccounts: []waxwingseam.ClientAccount{{Name: "archive"}}}
	packed, err := publisher.Pack(&set)
	qt.Assert(t, err, qt.IsNil)
	s.pushes <- publisher.Push{Set: packed}
	next(t, events)
	sent := next(t, s.reports).Sent
	qt.Assert(t, sent > 0, qt.IsTrue)
	s.pushes <- publisher.Push{Echo: sent, Unconfirmed: true}
	s.pushes <- publisher.Push{}
	s.pushes <- publisher.Push{Echo: sent + uint64(time.Hour.Milliseconds())}
	s.pushes <- publisher.Push{LatestIncarnation: 5}
	qt.Assert(t, next(t, events).Kind(), qt.Equals, waxwingseam.KindIncarnationSuperseded)
	for now, want := range map[uint64]bool{sent: true, sent + 1000: true, sent + 1001: false, sent - 1: false} {
		qt.Assert(t, isRecent(sent, now), qt.Equals, want, qt.Commentf("%d", now))
	}
}
