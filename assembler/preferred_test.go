package assembler

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/loader"
)

// TestPreferredControl checks that nodes prefer the same control address if the
// operator orders the addresses, and different ones if they are seeds.
func TestPreferredControl(t *testing.T) {
	list := []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7"), netip.MustParseAddrPort("10.0.0.3:7"),
	}
	for _, seeded := range []bool{false, true} {
		p := &Process{settings: loader.Settings{Process: loader.Process{ControlAddresses: list, ControlAddressesAreSeeds: seeded}}}
		first := map[netip.AddrPort]bool{}
		for _, name := range []waxwingseam.ServerName{"a", "b", "c", "d", "e", "f", "g", "h"} {
			got := p.preferredControl(name)
			qt.Assert(t, got, qt.HasLen, len(list))
			first[got[0]] = true
		}
		qt.Assert(t, len(first) > 1, qt.Equals, seeded)
	}
}
