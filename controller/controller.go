// Package controller assembles the control role of a process: the replica of
// the log with the state behind it, the registrar, the publisher and the
// operator API.
package controller

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
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
	"waxwingseam.example/waxwingseam/replicator"
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
	// Operate puts another interface for operators in front of the API; nil for
	// none.
	Operate func(api http.Handler, configurer waxwingseam.Configurer) http.Handler
	// Founder is set at the first start of the whole system, whose control
	// addresses are the replicas of a new cluster.
	Founder bool
	// Tolerated is how many replicas may lose their disks at once; 0 where
	// operators replace replicas by hand.
	Tolerated int
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
	handler   http.Handler

	mu        sync.Mutex
	exchanges map[netip.AddrPort]*exchange
}

// New assembles the role and registers its services with the server.
func New(config Config) (Controller, error) {
	c := &controller{config: config, exchanges: map[netip.AddrPort]*exchange{}}
	c.historian = historian.New(historian.Config{OnUpdate: c.published})
	if err := c.openLog(); err != nil {
		return nil, err
	}
	c.runner = runner.New(runner.Config{
		Reducer: reducer.New(reducer.Config{
			Workers: []waxwingseam.PrioritizedWorker{{Worker: registrar.New()}},
		}),
		Seed: config.Seed,
	})
	c.publisher = publisher.New(publisher.Config{
		Replica:   config.Replica,
		Historian: c.historian,
		Confirmer: c.log,
		Step:      c.runner.Step,
		Peers:     func() int { return len(c.peers()) },
		Replicas:  c.replicas,
		Logger:    config.Logger("publisher"),
	})
	c.runner.Attach(c.publisher)
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
	var founders []netip.AddrPort
	if c.config.Founder {
		founders = c.config.Control
	}
	log, err := proposer.New(proposer.Config{
		Founders:   founders,
		Rejoin:     c.config.Tolerated > 0,
		Replicator: replicator.Config{Tolerated: c.config.Tolerated},
		DataFolder: c.config.DataFolder,
		Disk:       c.config.Disk,
		Self:       c.config.Replica,
		Address:    c.config.Address,
		Join:       without(c.config.Control, c.config.Address),
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

// replicas lists the addresses of all control replicas: the members of the
// cluster once they are known.
func (c *controller) replicas() []netip.AddrPort {
	members := c.log.Status().Members
	if len(members) == 0 {
		return c.config.Control
	}
	out := make([]netip.AddrPort, 0, len(members))
	for _, m := range members {
		out = append(out, m.Address)
	}
	return out
}

// peers lists the other control replicas.
func (c *controller) peers() []netip.AddrPort {
	return without(c.replicas(), c.config.Address)
}

func without(list []netip.AddrPort, address netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(list), func(a netip.AddrPort) bool { return a == address })
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
	if c.config.Operate != nil {
		c.handler = c.config.Operate(c.handler, administrator.NewConfigurer(administrator.ConfigurerConfig{
			Historian: c.historian,
			Log:       c.log,
			Logger:    c.config.Logger("operators"),
		}))
	}
	return nil
}

// Serve implements Controller.
func (c *controller) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.log.Serve(ctx) })
	group.Go(func() error { return c.publisher.Serve(ctx) })
	group.Go(func() error { return c.serveOperators(ctx) })
	group.Go(func() error { return c.followPeers(ctx) })
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
func (c *controller) Holdings() []publisher.RevisionSummary {
	holdings := []publisher.RevisionSummary{c.publisher.Summary()}
	c.mu.Lock()
	exchanges := slices.Collect(maps.Values(c.exchanges))
	c.mu.Unlock()
	for _, x := range exchanges {
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
