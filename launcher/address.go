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
	// firstPort and lastPort bound the ports that are tried. They lie below
	// those that the system gives to outgoing connections.
	firstPort = 12000
	lastPort  = 32000
	// maxPortTries bounds the search for one free port.
	maxPortTries = 100
)

// given are the ports that were handed out: nothing listens on them until the
// process starts that they are for.
var given = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: map[uint16]bool{}}

// reserve hands a port out; false if it was before.
func reserve(port uint16) bool {
	given.Lock()
	defer given.Unlock()
	if given.ports[port] {
		return false
	}
	given.ports[port] = true
	return true
}

// freeAddresses returns loopback addresses that nothing listens on now, each of
// them once.
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
	err := error(trace.LimitExceeded("no port was drawn that is not in use"))
	for range maxPortTries {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
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
