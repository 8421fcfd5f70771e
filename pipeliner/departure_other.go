//go:build !linux

package pipeliner

import "net"

// newDeparture returns nil: the end of a connection can't be determined without reading.
func newDeparture(net.Conn) func() bool {
	return nil
}
