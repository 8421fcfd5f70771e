package forwarder

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// link is a connection to another node with an open stream that carries one
// attempt after another.
type link struct {
	conn   *drpcconn.Conn
	stream drpc.Stream
	// received is room for the frames that the link's attempts receive.
	received frame
}

// newLink opens the stream for attempts on a connection.
func newLink(conn *drpcconn.Conn) (*link, error) {
	stream, err := conn.NewStream(context.Background(), methodCall, frameEncoding)
	if err != nil {
		go func() { _ = conn.Close() }()
		return nil, trace.Wrap(err)
	}
	return &link{conn: conn, stream: stream}, nil
}

// usable reports whether neither end has closed the stream or the connection.
func (l *link) usable() bool {
	select {
	case <-l.conn.Closed():
		return false
	default:
	}
	s, ok := l.stream.(interface{ IsTerminated() bool })
	return !ok || !s.IsTerminated()
}

// closeTransport closes the connection at once, also while a write blocks. What the other
// node has not received is dropped: it must not run an attempt that was given up.
func (l *link) closeTransport() {
	abort(l.conn.Transport())
}

// close closes the stream and the connection without waiting for them. The other
// node forgets the last attempt when the stream ends.
func (l *link) close() {
	go func() {
		_ = l.stream.Close()
		_ = l.conn.Close()
	}()
}

// takeLink returns an idle link to another node, or opens one.
func (f *Forwarder) takeLink(ctx context.Context, address netip.AddrPort) (*link, error) {
	for {
		l, ok := f.links.take(address, time.Now())
		if !ok {
			return f.dialLink(ctx, address)
		}
		if l.usable() {
			return l, nil
		}
		l.close()
	}
}

// dialLink opens a link to another node.
func (f *Forwarder) dialLink(ctx context.Context, address netip.AddrPort) (*link, error) {
	conn, err := f.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newLink(conn)
}
