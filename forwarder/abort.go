package forwarder

import (
	"io"
	"net"
)

// abort closes a connection. Unlike Close, it makes the kernel drop what the other end
// has not acknowledged, which it would deliver once a silent path works again.
func abort(c io.Closer) {
	if secured, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secured.NetConn()
	}
	if t, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
