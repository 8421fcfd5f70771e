package launcher

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/gravitational/trace"
)

const (
	// firstPort and endPort bound the ports that are tried; endPort is excluded.
	// The range is below the system's ephemeral ports for outgoing connections.
	firstPort = 12000
	endPort   = 32000
	// maxPortTries bounds the attempts to find one free port.
	maxPortTries = 100
)

// reservedPorts holds the ports that were tried or returned. A returned port is
// not in use until its process starts, so listening alone cannot detect it.
var reservedPorts = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: map[uint16]bool{}}

// reserve reserves a port and reports whether it was not reserved before.
func reserve(port uint16) bool {
	reservedPorts.Lock()
	defer reservedPorts.Unlock()
	if reservedPorts.ports[port] {
		return false
	}
	reservedPorts.ports[port] = true
	return true
}

// freeAddresses returns loopback addresses on which nothing listens. It returns
// no address twice in the lifetime of the program.
func freeAddresses(ctx context.Context, count int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, count)
	for range count {
		listener, err := listenOnFreePort(ctx)
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, netip.MustParseAddrPort(listener.Addr().String()))
	}
	return addresses, nil
}

func listenOnFreePort(ctx context.Context) (net.Listener, error) {
	var lc net.ListenConfig
	err := error(trace.LimitExceeded("found no unreserved port"))
	for range maxPortTries {
		port := uint16(firstPort + rand.IntN(endPort-firstPort))
		if !reserve(port) {
			continue
		}
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		var listener net.Listener
		if listener, err = lc.Listen(ctx, "tcp", address.String()); err == nil {
			return listener, nil
		}
	}
	return nil, trace.ConvertSystemError(err)
}
