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

// reloadInterval is the minimum time between checks of the files for changes.
const reloadInterval = time.Second

// CertificateConfig names the certificate files of a process.
type CertificateConfig struct {
	// CertificateFile and KeyFile are empty for a client without a certificate.
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the CA certificates that peers are verified against.
	AuthorityFile string
	Logger        *slog.Logger
}

// Certificates returns TLS settings whose certificate and authorities are
// reloaded when the files change. Open connections are not affected.
type Certificates interface {
	// Server returns the settings of a listener that requires a client
	// certificate with one of the roles.
	Server(roles ...Role) *tls.Config
	// OptionalServer returns the settings of a listener that verifies the
	// client's certificate if there is one.
	OptionalServer() *tls.Config
	// Client returns the settings for connections to a server with one of the
	// roles.
	Client(roles ...Role) *tls.Config
}

type certificates struct {
	config CertificateConfig

	mu        sync.Mutex
	loaded    credentials
	checkedAt time.Time
	modified  [3]time.Time
}

// credentials holds the parsed contents of the files.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// NewCertificates loads the files and returns an error if they are invalid.
func NewCertificates(config CertificateConfig) (Certificates, error) {
	c := &certificates{config: config}
	loaded, err := c.load()
	if err != nil {
		return nil, err
	}
	c.loaded, c.modified, c.checkedAt = loaded, c.stat(), time.Now()
	return c, nil
}

func (c *certificates) load() (credentials, error) {
	certificate, err := c.loadPair()
	if err != nil {
		return credentials{}, trace.Wrap(err, "could not load certificate %s", c.config.CertificateFile)
	}
	data, err := os.ReadFile(c.config.AuthorityFile)
	if err != nil {
		return credentials{}, trace.ConvertSystemError(err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return credentials{}, trace.BadParameter("no certificate in %s", c.config.AuthorityFile)
	}
	return credentials{certificate: certificate, authorities: authorities}, nil
}

// loadPair loads the certificate and its key, or returns an empty certificate if
// none is configured.
func (c *certificates) loadPair() (tls.Certificate, error) {
	if c.config.CertificateFile == "" {
		return tls.Certificate{}, nil
	}
	return tls.LoadX509KeyPair(c.config.CertificateFile, c.config.KeyFile)
}

// stat returns the modification time of each file.
func (c *certificates) stat() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{c.config.CertificateFile, c.config.KeyFile, c.config.AuthorityFile} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// current returns the credentials and reloads them if the files have changed.
// Invalid files leave the previous credentials in use.
func (c *certificates) current() credentials {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checkedAt) < reloadInterval {
		return c.loaded
	}
	c.checkedAt = time.Now()
	modified := c.stat()
	if modified == c.modified {
		return c.loaded
	}
	loaded, err := c.load()
	if err != nil {
		c.config.Logger.Error("could not reload the certificate", "cause", err)
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
			loaded := c.current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{loaded.certificate},
				ClientAuth:       auth,
				ClientCAs:        loaded.authorities,
				VerifyConnection: verify,
				NextProtos:       []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// Client implements Certificates. Processes are addressed by IP address, so
// the check of the server name is replaced by one of the role; the chain is
// verified against the current authorities.
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

// verifyServer verifies the chain of a server's certificate.
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

// checkRole checks that the peer's certificate has one of the roles.
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
