package launcher

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/gravitational/trace"
)

const (
	// firstPort and lastPort bound the ports that are tried. They lie below
	// those that the system gives to outgoing connections.
	firstPort = 12000
	lastPort  = 32000
	// maxPortTries bounds the search for one free port.
	maxPortTries = 100
)

// freeAddresses returns loopback addresses that nothing listens on now.
func freeAddresses(ctx context.Context, count int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, count)
	for range count {
		listener, err := listenFree(ctx)
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, netip.MustParseAddrPort(listener.Addr().String()))
	}
	return addresses, nil
}

func listenFree(ctx context.Context) (net.Listener, error) {
	var lc net.ListenConfig
	var err error
	for range maxPortTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
		var listener net.Listener
		if listener, err = lc.Listen(ctx, "tcp", address.String()); err == nil {
			return listener, nil
		}
	}
	return nil, trace.ConvertSystemError(err)
}
