package founder_test

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/founder"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/messenger"
)

// log applies what is proposed at once, or fails.
type log struct {
	historian historian.Historian
	err       error
}

func (l *log) Propose(_ context.Context, command []byte) ([]byte, error) {
	return l.historian.Apply(0, command), l.err
}

// TestFoundingIsGrantedOnce asks over loopback: the first life is granted the
// founding, also when it asks again and after a restart of control from a
// snapshot; another life never is.
func TestFoundingIsGrantedOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &log{historian: historian.New(historian.Config{})}
	client := serve(ctx, t, l)
	ask := func(service waxwingseam.ServiceName, name waxwingseam.ServerName, life waxwingseam.Incarnation) bool {
		return client.Ask(ctx, waxwingseam.AskFounding{Service: service, Incarnation: waxwingseam.ServerIncarnation{Name: name, Incarnation: life}})
	}
	qt.Assert(t, ask("fees", "fees-1", 1), qt.IsTrue)
	qt.Assert(t, ask("fees", "fees-1", 1), qt.IsTrue)
	qt.Assert(t, ask("fees", "fees-2", 1), qt.IsFalse)
	qt.Assert(t, ask("fees", "fees-1", 2), qt.IsFalse)
	qt.Assert(t, ask("lots", "lots-1", 1), qt.IsTrue)

	snapshot, err := l.historian.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	l.historian = historian.New(historian.Config{})
	qt.Assert(t, l.historian.Restore(snapshot), qt.IsNil)
	qt.Assert(t, ask("fees", "fees-2", 1), qt.IsFalse)
	qt.Assert(t, ask("fees", "fees-1", 1), qt.IsTrue)

	l.err = context.DeadlineExceeded
	qt.Assert(t, ask("rosters", "rosters-1", 1), qt.IsFalse)
}

// serve serves a founder, and returns a client that tries a dead address first.
func serve(ctx context.Context, t *testing.T, l *log) founder.Client {
	server, err := messenger.Listen(ctx, messenger.ServerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	qt.Assert(t, err, qt.IsNil)
	f := founder.New(founder.Config{Log: l, Logger: slog.New(slog.DiscardHandler)})
	qt.Assert(t, server.Register(f, founder.Description), qt.IsNil)
	go func() { _ = server.Serve(ctx) }()
	return founder.Client{Control: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), server.Address()}}
}
