//go:build !linux

package forwarder

import (
	"net"
	"time"
)

// unacknowledged returns 0: the kernel reports this time on Linux only.
func unacknowledged(net.Conn) time.Duration {
	return 0
}

// newPeek returns nil: what there is to read can't be determined without waiting.
func newPeek(net.Conn) func() bool {
	return nil
}

// closedByPeer returns false: the kernel reports the state of a connection on Linux only.
func closedByPeer(net.Conn) bool {
	return false
}

// followsClose returns false: what the errors of writes tell of the end differs by system.
func followsClose(net.Conn, error) bool {
	return false
}
