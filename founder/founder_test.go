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

// log applies each command as soon as it is proposed, and then returns err.
type log struct {
	historian historian.Historian
	err       error
}

func (l *log) Propose(_ context.Context, command []byte) ([]byte, error) {
	return l.historian.Apply(0, command), l.err
}

// TestFoundingIsGrantedOnce requests foundings over loopback. The first
// incarnation is granted the founding of its service, also when it asks again
// and after a restart of control from a snapshot. Every other incarnation is
// refused. Nothing is granted while the log reports an error.
func TestFoundingIsGrantedOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	controlLog := &log{historian: historian.New(historian.Config{})}
	client := serve(ctx, t, controlLog)
	ask := func(service waxwingseam.ServiceName, name waxwingseam.ServerName, incarnation waxwingseam.Incarnation) bool {
		return client.Ask(ctx, waxwingseam.AskFounding{Service: service, Incarnation: waxwingseam.ServerIncarnation{Name: name, Incarnation: incarnation}})
	}
	qt.Assert(t, ask("fees", "fees-1", 1), qt.IsTrue)
	qt.Assert(t, ask("fees", "fees-1", 1), qt.IsTrue)
	qt.Assert(t, ask("fees", "fees-2", 1), qt.IsFalse)
	qt.Assert(t, ask("fees", "fees-1", 2), qt.IsFalse)
	qt.Assert(t, ask("lots", "lots-1", 1), qt.IsTrue)

	snapshot, err := controlLog.historian.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	controlLog.historian = historian.New(historian.Config{})
	qt.Assert(t, controlLog.historian.Restore(snapshot), qt.IsNil)
	qt.Assert(t, ask("fees", "fees-2", 1), qt.IsFalse)
	qt.Assert(t, ask("fees", "fees-1", 1), qt.IsTrue)

	controlLog.err = context.DeadlineExceeded
	qt.Assert(t, ask("rosters", "rosters-1", 1), qt.IsFalse)
}

// serve starts a founder and returns a client whose first control address is
// unreachable.
func serve(ctx context.Context, t *testing.T, controlLog *log) founder.Client {
	server, err := messenger.Listen(ctx, messenger.ServerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	qt.Assert(t, err, qt.IsNil)
	grants := founder.New(founder.Config{Log: controlLog, Logger: slog.New(slog.DiscardHandler)})
	qt.Assert(t, server.Register(grants, founder.Description), qt.IsNil)
	go func() { _ = server.Serve(ctx) }()
	return founder.Client{Control: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), server.Address()}}
}
