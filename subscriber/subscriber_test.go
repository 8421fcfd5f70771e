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

// waitLimit ends a test whose condition never comes true.
const waitLimit = 20 * time.Second

// script stands for a control replica that sends what it is told to.
type script struct {
	pushes  chan publisher.Push
	reports chan publisher.Report
}

// Watch sends the next pushes; one that is refused ends the stream.
func (s *script) Watch(stream drpc.Stream) error {
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

// start runs a subscriber against a script and returns the events it steps.
func start(t *testing.T) (*script, <-chan waxwingseam.Event) {
	s := &script{pushes: make(chan publisher.Push, 64), reports: make(chan publisher.Report, 64)}
	server, err := messenger.Listen(t.Context(), messenger.ServerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, server.Register(s, messenger.Description{{
		Name: publisher.WatchMethod,
		Receiver: func(service any, _ context.Context, in, _ any) (drpc.Message, error) {
			return nil, service.(*script).Watch(in.(drpc.Stream))
		},
		Expression: (*script).Watch,
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
	case <-time.After(waitLimit):
		t.Fatal("nothing came")
	}
	panic("unreachable")
}

// whole returns a push of a whole set.
func whole(t *testing.T, r waxwingseam.Revision) publisher.Push {
	packed, err := publisher.Pack(&waxwingseam.Set{Revision: r, Services: []waxwingseam.Service{{Name: "fees", Slots: int(r)}}})
	qt.Assert(t, err, qt.IsNil)
	return publisher.Push{Set: packed}
}

// step returns a push of a step to a revision; off spoils its digest.
func step(r waxwingseam.Revision, off uint64) publisher.Push {
	set := waxwingseam.Set{Services: []waxwingseam.Service{{Name: "fees", Slots: int(r)}}}
	return publisher.Push{Steps: []publisher.Step{{
		Revision: r,
		Digest:   checker.Digest(&set) + off,
		Change:   checker.Change{Put: set},
	}}}
}

// TestOnlyHigher offers a node revisions in a wrong order, with a gap, and
// with a wrong digest: only the higher and sound ones are put in force, and
// after the others the replica is told what is held.
func TestOnlyHigher(t *testing.T) {
	s, events := start(t)
	adopted := func() waxwingseam.Revision { return next(t, events).(waxwingseam.SetAdopted).Set.Revision }
	reported := func() waxwingseam.Revision { return next(t, s.reports).Held.Revision }
	qt.Assert(t, reported(), qt.Equals, waxwingseam.Revision(0))
	for _, p := range []publisher.Push{whole(t, 3), whole(t, 2), whole(t, 3), step(2, 0), step(4, 0)} {
		s.pushes <- p
	}
	qt.Assert(t, adopted(), qt.Equals, waxwingseam.Revision(3))
	qt.Assert(t, adopted(), qt.Equals, waxwingseam.Revision(4))
	qt.Assert(t, reported(), qt.Equals, waxwingseam.Revision(3))
	qt.Assert(t, reported(), qt.Equals, waxwingseam.Revision(4))
	s.pushes <- step(6, 0)
	qt.Assert(t, reported(), qt.Equals, waxwingseam.Revision(4))
	s.pushes <- step(5, 1)
	qt.Assert(t, reported(), qt.Equals, waxwingseam.Revision(4))
	s.pushes <- step(5, 0)
	qt.Assert(t, adopted(), qt.Equals, waxwingseam.Revision(5))
}

// TestOutlived checks that the node's reducer learns of a later incarnation.
func TestOutlived(t *testing.T) {
	s, events := start(t)
	s.pushes <- publisher.Push{LatestIncarnation: 9}
	qt.Assert(t, next(t, events), qt.DeepEquals, waxwingseam.Event(waxwingseam.IncarnationSuperseded{Incarnation: 9}))
}

func announcement(name waxwingseam.ServerName, sequence uint64) waxwingseam.Announcement {
	return waxwingseam.Announcement{Server: waxwingseam.Server{Name: name, Service: "fees"}, Sequence: sequence}
}

// TestServersMerge checks what a node makes of lists of servers: older news
// are dropped, and only a whole list makes it forget what is not in it.
func TestServersMerge(t *testing.T) {
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
	} {
		s.pushes <- v.push
		if len(v.present)+len(v.gone) == 0 {
			continue
		}
		learned := next(t, events).(waxwingseam.ServersUpdated)
		names := make([]waxwingseam.ServerName, 0, len(learned.Servers))
		for _, server := range learned.Servers {
			names = append(names, server.Name)
		}
		qt.Assert(t, names, qt.DeepEquals, v.present)
		qt.Assert(t, learned.Gone, qt.DeepEquals, v.gone)
	}
}
