package launcher

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAddressesAreGivenOnce checks that no address is handed out to two processes,
// neither of which listens yet.
func TestAddressesAreGivenOnce(t *testing.T) {
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
