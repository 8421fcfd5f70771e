// Package pipeliner serves HTTP/1.1 callers that send requests before the answers to
// their earlier ones (RFC 9112, section 9.3.2). Requests that may run more than once are
// handled side by side; answers are written in the order of the requests. When the caller
// leaves, the contexts of all its requests end.
package pipeliner

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/charger"
	"waxwingseam.example/waxwingseam/worker"
)

const (
	defaultMaxConcurrent  = 8
	defaultHeaderTimeout  = 10 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	// maxAcceptDelay bounds the delay after a connection could not be accepted, for
	// example because too many files are open.
	maxAcceptDelay = time.Second
	minAcceptDelay = 5 * time.Millisecond
)

// Config configures a server.
type Config struct {
	Handler http.Handler
	// Repeatable reports whether a request may be handled before the earlier requests of
	// its connection are answered. If one of these answers closes the connection, the
	// caller sends the request again although it may have run. Requests with a body are
	// not passed to it, and never handled early. If it is nil, no request is.
	Repeatable func(*http.Request) bool
	// MaxConcurrent limits the requests of one connection that are handled at the same
	// time; 0 means 8.
	MaxConcurrent int
	// HeaderTimeout limits how long reading a request's header may take; 0 means 10 s.
	HeaderTimeout time.Duration
	// MaxHeaderBytes limits the length of a request's header; 0 means 64 KiB.
	MaxHeaderBytes int
	// Limits returns the limits that are in force; nil for the defaults. Its zero fields
	// select MaxHeaderBytes, HeaderTimeout, or the default.
	Limits func() Limits
	// HoldsBody reports whether the body of a request is read before the request is
	// handled, as far as it can be held. Otherwise the handler is called at once. If it is
	// nil, no body is held.
	HoldsBody func(*http.Request) bool
	// MaxConnections limits the open connections; 0 means 2,000. At the limit, a connection
	// without progress makes room for a new one.
	MaxConnections int
	// Budget bounds the memory that is held for callers; nil selects one of this server's
	// own with the default bound.
	Budget *charger.Budget
	// Refused is called with a reason for each connection that is refused or closed because
	// of a limit; it may be nil.
	Refused func(reason string)
	// Unserved is called for each request that was read but not handled, because its
	// connection was closed first; it may be nil.
	Unserved func(*http.Request)
	// HTTP2 serves the connections that begin with the HTTP/2 preface. They are accepted
	// by the listeners of this server, which replaces its handler by one that holds bodies as
	// HoldsBody tells. If HTTP2 is nil, such connections are refused.
	HTTP2  *http.Server
	Logger *slog.Logger
}

// Server serves HTTP/1.1 connections.
type Server struct {
	config   Config
	handlers worker.Pool
	http2    *handOver
	// streams has an element for each body that is handled before it is whole.
	streams chan struct{}
	permits permits
	refused refusals

	mu          sync.Mutex
	listeners   map[net.Listener]struct{}
	connections map[*connection]struct{}
	closing     bool
	// empty is closed once the server is closing and has no connection.
	empty chan struct{}
	// supervised is set once the connections are supervised.
	supervised bool
}

// New returns a server without listeners.
func New(config Config) *Server {
	if config.MaxConcurrent == 0 {
		config.MaxConcurrent = defaultMaxConcurrent
	}
	if config.HeaderTimeout == 0 {
		config.HeaderTimeout = defaultHeaderTimeout
	}
	if config.MaxHeaderBytes == 0 {
		config.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if config.Repeatable == nil {
		config.Repeatable = func(*http.Request) bool { return false }
	}
	if config.HoldsBody == nil {
		config.HoldsBody = func(*http.Request) bool { return false }
	}
	if config.MaxConnections == 0 {
		config.MaxConnections = defaultMaxConnections
	}
	if config.Budget == nil {
		config.Budget = charger.New(0)
	}
	if config.Unserved == nil {
		config.Unserved = func(*http.Request) {}
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{
		config:      config,
		handlers:    worker.NewPool(),
		listeners:   map[net.Listener]struct{}{},
		connections: map[*connection]struct{}{},
		empty:       make(chan struct{}),
		streams:     make(chan struct{}, maxStreamed),
	}
	s.permits.limit = firstBehind
	if config.HTTP2 != nil {
		config.HTTP2.Handler = s.holdHTTP2(config.HTTP2.Handler)
		s.http2 = newHandOver(config.HTTP2, config.Budget)
	}
	return s
}

// Serve accepts connections until the server is shut down or closed; it then returns
// http.ErrServerClosed. It closes the listener.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		_ = listener.Close()
		return http.ErrServerClosed
	}
	defer s.removeListener(listener)
	s.startSupervision()
	delay := time.Duration(0)
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			delay = 0
			s.serve(conn)
		case s.isClosing():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return trace.Wrap(err)
		default:
			delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
			s.config.Logger.Warn("accepting a connection failed", "error", err, "delay", delay)
			time.Sleep(delay)
		}
	}
}

func (s *Server) serve(conn net.Conn) {
	s.makeRoom()
	c := newConnection(s, conn)
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		c.account.Close(connectionCost)
		_ = conn.Close()
		return
	}
	s.connections[c] = struct{}{}
	s.mu.Unlock()
	go c.serve()
}

// Shutdown stops accepting connections, closes the idle ones and waits until the
// requests that were read are answered or the context is done, whose error it then
// returns.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopListening()
	for _, c := range s.open() {
		c.shutDown()
	}
	if s.http2 != nil {
		if err := s.http2.server.Shutdown(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	select {
	case <-s.empty:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Close stops accepting connections and closes all of them.
func (s *Server) Close() error {
	s.stopListening()
	for _, c := range s.open() {
		c.abort()
	}
	if s.http2 != nil {
		return trace.Wrap(s.http2.server.Close())
	}
	return nil
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

func (s *Server) removeListener(listener net.Listener) {
	s.mu.Lock()
	delete(s.listeners, listener)
	s.mu.Unlock()
	_ = listener.Close()
}

func (s *Server) stopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.listeners {
		_ = l.Close()
	}
	if !s.closing && len(s.connections) == 0 {
		close(s.empty)
	}
	s.closing = true
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *Server) open() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		out = append(out, c)
	}
	return out
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	s.permits.forget(c)
	if s.closing && len(s.connections) == 0 {
		close(s.empty)
	}
}
