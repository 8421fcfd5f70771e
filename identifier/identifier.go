// Package identifier finds the client account that holds a key.
package identifier

import "waxwingseam.example/waxwingseam"

type identifier struct {
	accounts []waxwingseam.ClientAccount
	// byDigest maps the digest of each key to the index of its account.
	byDigest map[waxwingseam.KeyDigest]int32
}

// New returns an Authenticator without accounts.
func New() waxwingseam.Authenticator {
	return &identifier{}
}

// Adopt implements waxwingseam.Authenticator.
func (i *identifier) Adopt(s *waxwingseam.Set) {
	i.accounts = s.ClientAccounts
	i.byDigest = make(map[waxwingseam.KeyDigest]int32, len(s.ClientAccounts))
	for n := range i.accounts {
		for _, d := range i.accounts[n].Digests() {
			i.byDigest[d] = int32(n)
		}
	}
}

// Required implements waxwingseam.Authenticator.
func (i *identifier) Required() bool {
	return len(i.accounts) > 0
}

// Authenticate implements waxwingseam.Authenticator.
func (i *identifier) Authenticate(key waxwingseam.KeyDigest) (waxwingseam.ClientAccount, bool) {
	n, ok := i.byDigest[key]
	if !ok {
		return waxwingseam.ClientAccount{}, false
	}
	return i.accounts[n], true
}
