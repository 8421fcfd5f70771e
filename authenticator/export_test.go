package authenticator

import (
	"testing"
	"time"
)

// Authority is a certificate authority for the external tests of the package.
type Authority struct {
	authority *authority
}

// NewAuthority returns a new authority.
func NewAuthority(t *testing.T) Authority {
	return Authority{authority: newAuthority(t)}
}

// Open issues a certificate to a new holder and loads its files.
func (a Authority) Open(t *testing.T, id Identity) Certificates {
	return open(t, a.authority.issue(t, t.TempDir(), id, time.Now().Add(time.Hour), a.authority))
}
