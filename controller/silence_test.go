package controller

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// relay passes connections on to an address until it falls silent; then they
// stay open and pass nothing.
type relay struct {
	listener net.Listener
	silent   atomic.Bool
	// bytes counts what was passed on, both ways.
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
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		var dialer net.Dialer
		far, err := dialer.DialContext(t.Context(), "tcp", to.String())
		if err != nil {
			return
		}
		t.Cleanup(func() { _, _ = near.Close(), far.Close() })
		go r.pass(near, far)
		go r.pass(far, near)
	}
}

// pass copies from one connection to another; what comes in once the relay is
// silent is swallowed.
func (r *relay) pass(from, to net.Conn) {
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

// TestSilentConnection cuts a node off from its replica in silence: it leaves
// the connection for another one, and the change reaches it there.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	control := cluster(t, 1)[0]
	ways := []*relay{newRelay(t, control.address), newRelay(t, control.address)}
	n := join(t, "fees-1", ways[0].address(), ways[1].address())
	_, _ = submit(t, slots(t, 20), control)
	n.news.await(t, "revision 1 in force", func() bool { return n.revision() == 1 })
	used := n.subscriber.Status().Control
	if used == ways[1].address() {
		ways[0], ways[1] = ways[1], ways[0]
	}
	ways[0].silent.Store(true)
	s := slots(t, 30)
	s.BaseRevision = 1
	_, _ = submit(t, s, control)
	n.news.await(t, "revision 2 in force", func() bool { return n.revision() == 2 })
	qt.Assert(t, n.subscriber.Status().Control, qt.Equals, ways[1].address())
	status, err := control.client.Status(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.Servers, qt.HasLen, 1)
	qt.Assert(t, status.Servers[0].Name, qt.Equals, waxwingseam.ServerName("fees-1"))
}
