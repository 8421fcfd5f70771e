package controller

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// relay forwards connections to an address. Once it is silent, it keeps them
// open but forwards nothing.
type relay struct {
	listener net.Listener
	silent   atomic.Bool
	// bytes counts the bytes forwarded in both directions.
	bytes atomic.Int64
}

func newRelay(t testing.TB, to netip.AddrPort) *relay {
	var lc net.ListenConfig
	listener, err := lc.Listen(t.Context(), "tcp", loopback.String())
	qt.Assert(t, err, qt.IsNil)
	r := &relay{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go r.serve(t, to)
	return r
}

func (r *relay) address() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

func (r *relay) serve(t testing.TB, to netip.AddrPort) {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		var dialer net.Dialer
		server, err := dialer.DialContext(t.Context(), "tcp", to.String())
		if err != nil {
			return
		}
		t.Cleanup(func() { _, _ = client.Close(), server.Close() })
		go r.forward(client, server)
		go r.forward(server, client)
	}
}

// forward copies from one connection to another. It discards all data that it
// reads while the relay is silent.
func (r *relay) forward(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		silent := r.silent.Load()
		if err != nil && !silent {
			_ = to.Close()
		}
		if err != nil {
			return
		}
		if silent {
			continue
		}
		r.bytes.Add(int64(n))
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// TestSilentConnection silences a node's connection to its replica without
// closing it. The node must switch to its other control address and receive the
// next change there.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	control := startCluster(t, 1)[0]
	relays := []*relay{newRelay(t, control.address), newRelay(t, control.address)}
	n := startNode(t, "fees-1", relays[0].address(), relays[1].address())
	_, _ = submit(t, submissionWithSlots(t, 20), control)
	n.updates.await(t, "revision 1 in force", func() bool { return n.revision() == 1 })
	used := n.subscriber.Status().Control
	if used == relays[1].address() {
		relays[0], relays[1] = relays[1], relays[0]
	}
	relays[0].silent.Store(true)
	s := submissionWithSlots(t, 30)
	s.BaseRevision = 1
	_, _ = submit(t, s, control)
	n.updates.await(t, "revision 2 in force", func() bool { return n.revision() == 2 })
	qt.Assert(t, n.subscriber.Status().Control, qt.Equals, relays[1].address())
	status, err := control.client.Status(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.Servers, qt.HasLen, 1)
	qt.Assert(t, status.Servers[0].Name, qt.Equals, waxwingseam.ServerName("fees-1"))
}
