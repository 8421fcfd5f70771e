// Package controller assembles the control role of a process: the replica of
// the log with the state behind it, the registrar, the publisher and the
// operator API.
package controller

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/founder"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/proposer"
	"waxwingseam.example/waxwingseam/publisher"
	"waxwingseam.example/waxwingseam/reducer"
	"waxwingseam.example/waxwingseam/registrar"
	"waxwingseam.example/waxwingseam/runner"
)

const (
	// maxOperatorConnections bounds the connections to the operator API.
	maxOperatorConnections = 64
	// headerTimeout bounds the time for the header of a request.
	headerTimeout = 5 * time.Second
	// readTimeout bounds the time for a whole request.
	readTimeout = 30 * time.Second
	// idleTimeout ends connections of operators that ask nothing.
	idleTimeout = time.Minute
	// shutdownTimeout bounds the end of the operator API.
	shutdownTimeout = 2 * time.Second
)

// Config holds the parts of a controller.
type Config struct {
	Replica waxwingseam.ReplicaID
	// Address is the process's own peer address.
	Address netip.AddrPort
	// Control lists the peer addresses of all control replicas; the process's
	// own may be among them.
	Control []netip.AddrPort
	Dialer  messenger.Dialer
	// Server serves the drpc services of the process.
	Server *messenger.Server
	// DataFolder holds the replica's durable state.
	DataFolder string
	// Disk takes the place of the data folder where it is set.
	Disk waxwingseam.Disk
	// Voter is set for a replica that votes once it holds all that is committed.
	Voter bool
	// Operators is the listener of the operator API.
	Operators net.Listener
	// OperatorsTLS is nil for plain text.
	OperatorsTLS *tls.Config
	// OperatorsFile lists the operators; empty to let all in.
	OperatorsFile string
	// Logger returns the logger of a part.
	Logger func(part string) *slog.Logger
	// Seed starts the random words that go with the registrar's events.
	Seed uint64
}

// Controller runs the control role. It collects its own metrics.
type Controller interface {
	prometheus.Collector
	// Serve runs the role until the context ends.
	Serve(ctx context.Context) error
}

type controller struct {
	config    Config
	historian historian.Historian
	log       waxwingseam.Proposer
	publisher publisher.Publisher
	runner    *runner.Runner
	exchanges []*exchange
	handler   http.Handler
}

// New assembles the role and registers its services with the server.
func New(config Config) (Controller, error) {
	c := &controller{config: config}
	c.historian = historian.New(historian.Config{Published: c.published})
	if err := c.openLog(); err != nil {
		return nil, err
	}
	c.runner = runner.New(runner.Config{
		Reducer: reducer.New(reducer.Config{
			Workers: []waxwingseam.Prioritized{{Worker: registrar.New()}},
		}),
		Seed: config.Seed,
	})
	peers := c.peers()
	c.publisher = publisher.New(publisher.Config{
		Replica:   config.Replica,
		Historian: c.historian,
		Confirmer: c.log,
		Step:      c.runner.Step,
		Peers:     len(peers),
		Logger:    config.Logger("publisher"),
	})
	c.runner.Attach(c.publisher)
	for _, address := range peers {
		c.exchanges = append(c.exchanges, newExchange(c, address))
	}
	if err := c.openAPI(); err != nil {
		return nil, err
	}
	if err := config.Server.Register(c.publisher, publisher.Description); err != nil {
		return nil, trace.Wrap(err)
	}
	grants := founder.New(founder.Config{Log: c.log, Logger: config.Logger("founder")})
	return c, trace.Wrap(config.Server.Register(grants, founder.Description))
}

// openLog opens the replica on its data folder.
func (c *controller) openLog() error {
	log, err := proposer.New(proposer.Config{
		DataFolder: c.config.DataFolder,
		Disk:       c.config.Disk,
		Self:       c.config.Replica,
		Address:    c.config.Address,
		Join:       c.peers(),
		Voter:      c.config.Voter,
		Messenger:  c.config.Server,
		Dialer:     c.config.Dialer,
		Logger:     c.config.Logger("replica"),
		Applier:    c.historian,
	})
	c.log = log
	return trace.Wrap(err)
}

// published passes revisions on. Those that are applied before the publisher
// exists are read by it when it is made.
func (c *controller) published(u historian.Update) {
	if c.publisher != nil {
		c.publisher.Publish(u)
	}
}

// peers lists the other control replicas.
func (c *controller) peers() []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(c.config.Control), func(a netip.AddrPort) bool {
		return a == c.config.Address
	})
}

func (c *controller) openAPI() error {
	guard, err := authenticator.NewGuard(authenticator.GuardConfig{
		OperatorsFile: c.config.OperatorsFile,
		Refuse:        administrator.Refuse,
		Logger:        c.config.Logger("operators"),
	})
	if err != nil {
		return err
	}
	c.handler = administrator.New(administrator.Config{
		Replica:   c.config.Replica,
		Historian: c.historian,
		Log:       c.log,
		Cluster:   c,
		Guard:     guard,
		Logger:    c.config.Logger("operators"),
	})
	return nil
}

// Serve implements Controller.
func (c *controller) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.log.Serve(ctx) })
	group.Go(func() error { return c.publisher.Serve(ctx) })
	group.Go(func() error { return c.serveOperators(ctx) })
	for _, x := range c.exchanges {
		group.Go(func() error { return x.run(ctx) })
	}
	return trace.Wrap(group.Wait())
}

// serveOperators serves the operator API.
func (c *controller) serveOperators(ctx context.Context) error {
	logger := c.config.Logger("operators")
	listener := netutil.LimitListener(c.config.Operators, maxOperatorConnections)
	if c.config.OperatorsTLS != nil {
		listener = tls.NewListener(listener, c.config.OperatorsTLS)
	} else {
		logger.Warn("operator API is in plain text", "address", c.config.Operators.Addr())
	}
	server := &http.Server{
		Handler:           c.handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelInfo),
	}
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(bounded)
	})
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// Holdings implements administrator.Cluster.
func (c *controller) Holdings() []publisher.Holding {
	holdings := []publisher.Holding{c.publisher.Holding()}
	for _, x := range c.exchanges {
		if h, ok := x.latest(); ok {
			holdings = append(holdings, h)
		}
	}
	return holdings
}

// Registrations implements administrator.Cluster.
func (c *controller) Registrations() []waxwingseam.Registration {
	return c.publisher.Registrations()
}

// Replica implements administrator.Cluster.
func (c *controller) Replica() waxwingseam.ReplicaStatus {
	return c.log.Status()
}
