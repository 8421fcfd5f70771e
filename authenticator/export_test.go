package authenticator

import (
	"testing"
	"time"
)

// Authority signs certificates for the tests of the package from outside.
type Authority struct {
	authority *authority
}

// NewAuthority returns a new authority.
func NewAuthority(t *testing.T) Authority {
	return Authority{authority: newAuthority(t)}
}

// Open returns the certificates of a new holder.
func (a Authority) Open(t *testing.T, id Identity) Certificates {
	return open(t, a.authority.issue(t, t.TempDir(), id, time.Now().Add(time.Hour), a.authority))
}
