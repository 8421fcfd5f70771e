package authenticator

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// reloadEvery is the least time between two looks at the files.
const reloadEvery = time.Second

// CertificateConfig names the files of a process's certificate.
type CertificateConfig struct {
	// CertificateFile and KeyFile are empty for a client without a certificate.
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the certificates that peers are checked against.
	AuthorityFile string
	Logger        *slog.Logger
}

// Certificates makes TLS settings whose certificate and authorities follow
// the files without a restart. Connections that stand are not touched.
type Certificates interface {
	// Server returns the settings of a listener that demands a certificate of
	// one of the roles.
	Server(roles ...Role) *tls.Config
	// OptionalServer returns the settings of a listener that checks a
	// certificate where the client shows one.
	OptionalServer() *tls.Config
	// Client returns the settings for connections to a server of one of the
	// roles.
	Client(roles ...Role) *tls.Config
}

type certificates struct {
	config CertificateConfig

	mu       sync.Mutex
	loaded   material
	checked  time.Time
	modified [3]time.Time
}

// material is what the files hold.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// NewCertificates loads the files once and fails when they are of no use.
func NewCertificates(config CertificateConfig) (Certificates, error) {
	c := &certificates{config: config}
	loaded, err := c.load()
	if err != nil {
		return nil, err
	}
	c.loaded, c.modified, c.checked = loaded, c.stat(), time.Now()
	return c, nil
}

func (c *certificates) load() (material, error) {
	certificate, err := c.loadPair()
	if err != nil {
		return material{}, trace.Wrap(err, "certificate %s", c.config.CertificateFile)
	}
	data, err := os.ReadFile(c.config.AuthorityFile)
	if err != nil {
		return material{}, trace.ConvertSystemError(err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return material{}, trace.BadParameter("no certificate in %s", c.config.AuthorityFile)
	}
	return material{certificate: certificate, authorities: authorities}, nil
}

// loadPair loads the certificate; an empty one where there is none.
func (c *certificates) loadPair() (tls.Certificate, error) {
	if c.config.CertificateFile == "" {
		return tls.Certificate{}, nil
	}
	return tls.LoadX509KeyPair(c.config.CertificateFile, c.config.KeyFile)
}

// stat returns when each file was modified.
func (c *certificates) stat() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{c.config.CertificateFile, c.config.KeyFile, c.config.AuthorityFile} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// current returns what the files hold now. Files that cannot be used leave
// what was loaded before in force.
func (c *certificates) current() material {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) < reloadEvery {
		return c.loaded
	}
	c.checked = time.Now()
	modified := c.stat()
	if modified == c.modified {
		return c.loaded
	}
	loaded, err := c.load()
	if err != nil {
		c.config.Logger.Error("new certificate is not usable", "cause", err)
		return c.loaded
	}
	c.loaded, c.modified = loaded, modified
	c.config.Logger.Info("certificate reloaded", "file", c.config.CertificateFile)
	return c.loaded
}

// Server implements Certificates.
func (c *certificates) Server(roles ...Role) *tls.Config {
	return c.server(tls.RequireAndVerifyClientCert, func(state tls.ConnectionState) error {
		return checkRole(state, roles)
	})
}

// OptionalServer implements Certificates.
func (c *certificates) OptionalServer() *tls.Config {
	return c.server(tls.VerifyClientCertIfGiven, nil)
}

func (c *certificates) server(auth tls.ClientAuthType, verify func(tls.ConnectionState) error) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := c.current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{now.certificate},
				ClientAuth:       auth,
				ClientCAs:        now.authorities,
				VerifyConnection: verify,
				NextProtos:       []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// Client implements Certificates. Processes are reached by IP number, so the
// name check is replaced by one of the role; the chain is verified against
// the authorities in force.
func (c *certificates) Client(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate := c.current().certificate
			return &certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := verifyServer(state, c.current().authorities); err != nil {
				return err
			}
			return checkRole(state, roles)
		},
	}
}

// verifyServer checks the chain of a server's certificate.
func verifyServer(state tls.ConnectionState, authorities *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, v := range state.PeerCertificates[1:] {
		intermediates.AddCert(v)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return trace.Wrap(err)
}

// checkRole checks that the peer's certificate is one of the roles.
func checkRole(state tls.ConnectionState, roles []Role) error {
	id, err := identityOf(state.PeerCertificates[0])
	if err != nil {
		return err
	}
	if !slices.Contains(roles, id.Role) {
		return trace.AccessDenied("peer %s is a %s, want %v", id.Name, id.Role, roles)
	}
	return nil
}
