// Package authenticator authenticates the peers of connections: processes of the
// system by mutual TLS, operators by tokens or certificates.
package authenticator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"strings"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcctx"
)

// Role is the role of a certificate's holder.
type Role string

// The roles of certificates.
const (
	RoleNode     Role = "node"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

// Identity identifies the holder of a certificate. The certificate contains it as
// a URI, waxwingseam://ROLE/NAME.
type Identity struct {
	Role Role
	Name string
}

// scheme is the URI scheme of an identity.
const scheme = "waxwingseam"

// identityOf returns the identity in a certificate.
func identityOf(c *x509.Certificate) (Identity, error) {
	for _, u := range c.URIs {
		if u.Scheme == scheme {
			return Identity{Role: Role(u.Host), Name: strings.TrimPrefix(u.Path, "/")}, nil
		}
	}
	return Identity{}, trace.AccessDenied("certificate has no waxwingseam URI")
}

// replicaMethodPrefix is the prefix of the methods that only control replicas may
// call.
const replicaMethodPrefix = "/waxwingseam.Replica/"

// Authorize checks that the role of the peer's certificate allows a drpc call.
// Without TLS, all calls are allowed.
func Authorize(ctx context.Context, method string) error {
	id, plaintext, err := PeerIdentity(ctx)
	if plaintext || err != nil {
		return err
	}
	if id.Role == RoleControl || id.Role == RoleNode && !strings.HasPrefix(method, replicaMethodPrefix) {
		return nil
	}
	return trace.AccessDenied("%s %s may not call %s", id.Role, id.Name, method)
}

// PeerIdentity returns the identity of the peer of a drpc call. Plaintext is set
// if the connection does not use TLS, so that the peer has no identity.
func PeerIdentity(ctx context.Context) (id Identity, plaintext bool, err error) {
	transport, ok := drpcctx.Transport(ctx)
	if !ok {
		return Identity{}, true, nil
	}
	conn, ok := transport.(*tls.Conn)
	if !ok {
		return Identity{}, true, nil
	}
	certificates := conn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return Identity{}, false, trace.AccessDenied("peer has no certificate")
	}
	id, err = identityOf(certificates[0])
	return id, false, err
}
