package identifier_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/identifier"
)

// TestKeysOfTheSetInForce guards against keys that stay valid after a set without them
// was adopted, and against sets with digests in which accounts are not found.
func TestKeysOfTheSetInForce(t *testing.T) {
	i := identifier.New()
	digest := waxwingseam.DigestKey
	name := func(key string) waxwingseam.AccountName {
		a, ok := i.Authenticate(digest(key))
		qt.Assert(t, ok, qt.Equals, a.Name != "")
		return a.Name
	}
	qt.Assert(t, i.Required(), qt.IsFalse)
	qt.Assert(t, name("k1"), qt.Equals, waxwingseam.AccountName(""))
	archive := waxwingseam.ClientAccount{Name: "archive", Keys: []string{"k1", "k2"}}
	bureau := waxwingseam.ClientAccount{Name: "bureau", Keys: []string{"k3"}}
	i.Adopt(&waxwingseam.Set{ClientAccounts: []waxwingseam.ClientAccount{archive.WithoutKeys(), bureau}})
	qt.Assert(t, i.Required(), qt.IsTrue)
	qt.Assert(t, name("k1"), qt.Equals, archive.Name)
	qt.Assert(t, name("k2"), qt.Equals, archive.Name)
	qt.Assert(t, name("k3"), qt.Equals, bureau.Name)
	qt.Assert(t, name(""), qt.Equals, waxwingseam.AccountName(""))
	i.Adopt(&waxwingseam.Set{ClientAccounts: []waxwingseam.ClientAccount{bureau}})
	qt.Assert(t, name("k1"), qt.Equals, waxwingseam.AccountName(""))
	i.Adopt(&waxwingseam.Set{})
	qt.Assert(t, i.Required(), qt.IsFalse)
	qt.Assert(t, name("k3"), qt.Equals, waxwingseam.AccountName(""))
}
