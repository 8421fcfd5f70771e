package authenticator_test

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/publisher"
)

// method is the path of a method that only control replicas may call.
const method = "/waxwingseam.Replica/Lead"

type message struct{}

type replica struct{}

// Lead answers with an empty message.
func (replica) Lead(context.Context, *message) (*message, error) {
	return &message{}, nil
}

// serve runs a control replica's services with mutual TLS.
func serve(t *testing.T, authority authenticator.Authority) netip.AddrPort {
	certificates := authority.Open(t, authenticator.Identity{Role: authenticator.RoleControl, Name: "r1"})
	server, err := messenger.Listen(t.Context(), messenger.ServerConfig{
		Address:   netip.MustParseAddrPort("127.0.0.1:0"),
		TLS:       certificates.Server(authenticator.RoleNode, authenticator.RoleControl),
		Authorize: authenticator.Authorize,
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, server.Register(replica{}, messenger.Description{{
		Name: method,
		Receiver: func(service any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return service.(replica).Lead(ctx, in.(*message))
		},
		Expression: replica.Lead,
	}}), qt.IsNil)
	p := publisher.New(publisher.Config{
		Historian: historian.New(historian.Config{}),
		Step:      func(func(waxwingseam.Stamp) waxwingseam.Event) {},
		Logger:    slog.New(slog.DiscardHandler),
	})
	qt.Assert(t, server.Register(p, publisher.Description), qt.IsNil)
	go func() { _ = server.Serve(t.Context()) }()
	return server.Address()
}

// TestPeerAuthorization checks which methods nodes and control replicas may call
// and which reports they may send.
func TestPeerAuthorization(t *testing.T) {
	authority := authenticator.NewAuthority(t)
	address := serve(t, authority)
	node := authenticator.Identity{Role: authenticator.RoleNode, Name: "fees-1"}
	control := authenticator.Identity{Role: authenticator.RoleControl, Name: "r2"}
	announce := func(name waxwingseam.ServerName) publisher.Report {
		return publisher.Report{Announcement: &waxwingseam.Announcement{Server: waxwingseam.Server{Name: name}}}
	}
	for _, v := range []struct {
		name   string
		id     authenticator.Identity
		report *publisher.Report
		want   string
	}{
		{"replica leads", control, nil, ""},
		{"node leads", node, nil, ".*may not call.*"},
		{"node announces itself", node, new(announce("fees-1")), ""},
		{"node announces another", node, new(announce("fees-2")), ".*fees-1 announces fees-2.*"},
		{"node claims to be a replica", node, &publisher.Report{Peer: true}, ".*not another control replica.*"},
		{"replica opens an exchange", control, &publisher.Report{Peer: true}, ""},
	} {
		t.Run(v.name, func(t *testing.T) {
			dialer := messenger.Dialer{TLS: authority.Open(t, v.id).Client(authenticator.RoleControl)}
			err := call(t, dialer, address, v.report)
			if v.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, v.want)
		})
	}
}

// call sends one message to method or, if there is a report, sends the report and
// waits for a push.
func call(t *testing.T, dialer messenger.Dialer, address netip.AddrPort, report *publisher.Report) error {
	conn, err := dialer.Dial(t.Context(), address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	if report == nil {
		return conn.Invoke(t.Context(), method, messenger.Encoding, &message{}, &message{})
	}
	stream, err := conn.NewStream(t.Context(), publisher.WatchMethod, messenger.Encoding)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stream.MsgSend(report, messenger.Encoding), qt.IsNil)
	var push publisher.Push
	return stream.MsgRecv(&push, messenger.Encoding)
}
