// Package authenticator says who is at the other end of a connection: mutual
// TLS between the system's processes, tokens or certificates for operators.
package authenticator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"strings"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcctx"
)

// Role is what a certificate's holder may be.
type Role string

// The roles of certificates.
const (
	RoleNode     Role = "node"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

// Identity is the holder of a certificate. It stands in the certificate as a
// URI, waxwingseam://ROLE/NAME.
type Identity struct {
	Role Role
	Name string
}

// scheme is the scheme of an identity's URI.
const scheme = "waxwingseam"

// identityOf reads the identity of a certificate.
func identityOf(c *x509.Certificate) (Identity, error) {
	for _, u := range c.URIs {
		if u.Scheme == scheme {
			return Identity{Role: Role(u.Host), Name: strings.TrimPrefix(u.Path, "/")}, nil
		}
	}
	return Identity{}, trace.AccessDenied("certificate has no waxwingseam URI")
}

// replicaMethods begin the names of the methods that only control replicas
// may call.
const replicaMethods = "/waxwingseam.Replica/"

// Authorize lets a drpc call through by the role of its peer's certificate;
// over plain text it lets all through.
func Authorize(ctx context.Context, method string) error {
	id, plain, err := PeerIdentity(ctx)
	if plain || err != nil {
		return err
	}
	if id.Role == RoleControl || id.Role == RoleNode && !strings.HasPrefix(method, replicaMethods) {
		return nil
	}
	return trace.AccessDenied("%s %s may not call %s", id.Role, id.Name, method)
}

// PeerIdentity returns the identity of the peer of a drpc call. Plain is set
// where the connection is not protected and says nothing of the peer.
func PeerIdentity(ctx context.Context) (id Identity, plain bool, err error) {
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
