//go:build !linux

package pipeliner

import "net"

// newDeparture returns nil: the end of a connection can't be determined without reading.
func newDeparture(net.Conn) func() bool {
	return nil
}

// newAcknowledged returns nil: what the caller has acknowledged can't be determined.
func newAcknowledged(net.Conn) func() int64 {
	return nil
}
