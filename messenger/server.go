package messenger

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server serves the drpc services of one process on one listener.
type Server struct {
	mux       *drpcmux.Mux
	listener  net.Listener
	authorize func(ctx context.Context, method string) error
	logger    *slog.Logger
}

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	Address netip.AddrPort
	// TLS is nil for unencrypted connections.
	TLS *tls.Config
	// Authorize returns an error if a method may not be called; nil allows all.
	Authorize func(ctx context.Context, method string) error
	// Logger is told of calls that panicked; nil for none.
	Logger *slog.Logger
}

// Listen returns a server that listens but does not serve yet.
func Listen(ctx context.Context, config ServerConfig) (*Server, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", config.Address.String())
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if config.TLS != nil {
		listener = tls.NewListener(listener, config.TLS)
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Server{
		logger:    config.Logger,
		mux:       drpcmux.New(),
		listener:  listener,
		authorize: config.Authorize,
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Register adds a service. It must be called before Serve.
func (s *Server) Register(implementation any, d Description) error {
	return trace.Wrap(s.mux.Register(implementation, d))
}

// Serve serves until the context is done.
func (s *Server) Serve(ctx context.Context) error {
	return trace.Wrap(drpcserver.New(s).Serve(ctx, s.listener))
}

// HandleRPC implements drpc.Handler. A call that panics fails alone, like a request to an
// HTTP server.
func (s *Server) HandleRPC(stream drpc.Stream, method string) (err error) {
	defer func() {
		if v := recover(); v != nil {
			s.logger.Error("a call of another process panicked", "method", method, "cause", v, "stack", string(debug.Stack()))
			err = trace.Errorf("%s panicked", method)
		}
	}()
	if s.authorize != nil {
		if err := s.authorize(stream.Context(), method); err != nil {
			return trace.Wrap(err)
		}
	}
	return s.mux.HandleRPC(stream, method)
}

// Dialer opens connections to other processes.
type Dialer struct {
	// TLS is nil for unencrypted connections.
	TLS *tls.Config
}

// Dial opens one connection, which carries one call at a time.
func (d Dialer) Dial(ctx context.Context, address netip.AddrPort) (*drpcconn.Conn, error) {
	conn, err := d.dial(ctx, address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return drpcconn.New(conn), nil
}

func (d Dialer) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if d.TLS == nil {
		var nd net.Dialer
		return nd.DialContext(ctx, "tcp", address.String())
	}
	td := tls.Dialer{Config: d.TLS}
	return td.DialContext(ctx, "tcp", address.String())
}
