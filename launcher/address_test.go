package launcher

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFreeAddressesAreUnique checks that no address is returned twice, although
// nothing listens on the addresses returned before.
func TestFreeAddressesAreUnique(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for range 500 {
		addresses, err := freeAddresses(t.Context(), 3)
		qt.Assert(t, err, qt.IsNil)
		for _, a := range addresses {
			qt.Assert(t, seen[a], qt.IsFalse, qt.Commentf("%v", a))
			seen[a] = true
		}
	}
}
