// Package controller assembles the control role of a process: the replica of
// the log and its state machine, the registrar, the publisher and the operator
// API.
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
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/founder"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/journaler"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/proposer"
	"waxwingseam.example/waxwingseam/publisher"
	"waxwingseam.example/waxwingseam/reducer"
	"waxwingseam.example/waxwingseam/registrar"
	"waxwingseam.example/waxwingseam/replicator"
	"waxwingseam.example/waxwingseam/runner"
)

const (
	// maxOperatorConnections bounds the connections to the operator API. Beyond it, those that
	// have been idle longest are closed.
	maxOperatorConnections = 64
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 5 * time.Second
	// readTimeout bounds the time to read a whole request.
	readTimeout = 30 * time.Second
	// idleTimeout bounds the time that a connection stays open between requests.
	idleTimeout = time.Minute
	// shutdownTimeout bounds the graceful shutdown of the operator API.
	shutdownTimeout = 2 * time.Second
)

// Config holds the dependencies and settings of a controller.
type Config struct {
	Replica waxwingseam.ReplicaID
	// Address is the process's own peer address.
	Address netip.AddrPort
	// Control lists the peer addresses of all control replicas, with or
	// without the process's own.
	Control []netip.AddrPort
	Dialer  messenger.Dialer
	// Messenger serves the drpc services of the process.
	Messenger *messenger.Server
	// DataFolder holds the replica's durable state.
	DataFolder string
	// Disk replaces the data folder if it is set.
	Disk waxwingseam.Disk
	// Voter makes the replica a voter once it has all committed entries.
	Voter bool
	// Operators is the listener of the operator API.
	Operators net.Listener
	// OperatorsTLS is nil for plain text.
	OperatorsTLS *tls.Config
	// OperatorsFile names the file that lists the operators; without one, all
	// requests are allowed.
	OperatorsFile string
	// WrapAPI wraps the API in a handler that adds another interface for
	// operators; nil for none.
	WrapAPI func(api http.Handler, configurer waxwingseam.Configurer) http.Handler
	// Founder is set at the first start of the whole system. The replicas at
	// the control addresses then form a new cluster.
	Founder bool
	// ToleratedLosses is the number of replicas that may lose their disks at once;
	// 0 if operators replace such replicas by hand.
	ToleratedLosses int
	// Logger returns the logger of the component with the given name.
	Logger func(part string) *slog.Logger
	// Seed seeds the random words that are added to the registrar's events.
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
	// endings is the journal of the endings of backend servers; nil without a data folder.
	endings waxwingseam.EndingJournal

	mu        sync.Mutex
	exchanges map[netip.AddrPort]*exchange
}

// New assembles the role and registers its services with the server.
func New(config Config) (Controller, error) {
	c := &controller{config: config, exchanges: map[netip.AddrPort]*exchange{}}
	firstStart, err := c.isFirstStart()
	if err != nil {
		return nil, err
	}
	c.historian = historian.New(historian.Config{OnUpdate: c.publish})
	if err := c.openLog(); err != nil {
		return nil, err
	}
	c.runner = runner.New(runner.Config{
		Reducer: reducer.New(reducer.Config{
			Workers: []waxwingseam.PrioritizedWorker{{Worker: registrar.New()}},
		}),
		Seed: config.Seed,
	})
	recovered, err := c.openEndings()
	if err != nil {
		return nil, err
	}
	c.publisher = publisher.New(publisher.Config{
		Replica:   config.Replica,
		Historian: c.historian,
		Confirmer: c.log,
		Step:      c.runner.Step,
		Peers:     func() int { return len(c.peers()) },
		Replicas:  c.replicas,
		Endings:   c.endings,
		Recovered: recovered,
		Logger:    config.Logger("publisher"),

		FirstStart: firstStart,
	})
	c.runner.Attach(c.publisher)
	if err := c.createAPI(); err != nil {
		return nil, err
	}
	if err := config.Messenger.Register(c.publisher, publisher.Description); err != nil {
		return nil, trace.Wrap(err)
	}
	founderService := founder.New(founder.Config{Log: c.log, Logger: config.Logger("founder")})
	return c, trace.Wrap(config.Messenger.Register(founderService, founder.Description))
}

// isFirstStart reports whether the whole system is starting for the first time: the settings
// say so, and the data folder is empty.
func (c *controller) isFirstStart() (bool, error) {
	if !c.config.Founder || c.config.Disk == nil && c.config.DataFolder == "" {
		return false, nil
	}
	disk := c.config.Disk
	if disk == nil {
		folder, err := journaler.OpenFolder(c.config.DataFolder)
		if err != nil {
			return false, err
		}
		defer func() { _ = folder.Close() }()
		disk = folder
	}
	formatted, err := journaler.Formatted(disk)
	return !formatted, err
}

// openLog opens the replica of the log.
func (c *controller) openLog() error {
	var founders []netip.AddrPort
	if c.config.Founder {
		founders = c.config.Control
	}
	log, err := proposer.New(proposer.Config{
		Founders:   founders,
		Rejoin:     c.config.ToleratedLosses > 0,
		Replicator: replicator.Config{ToleratedLosses: c.config.ToleratedLosses},
		DataFolder: c.config.DataFolder,
		Disk:       c.config.Disk,
		Self:       c.config.Replica,
		Address:    c.config.Address,
		Join:       without(c.config.Control, c.config.Address),
		Voter:      c.config.Voter,
		Messenger:  c.config.Messenger,
		Dialer:     c.config.Dialer,
		Logger:     c.config.Logger("replica"),
		Applier:    c.historian,
	})
	c.log = log
	return trace.Wrap(err)
}

// endingsFolder is the folder in the data folder with the endings of backend servers. It
// stays when a replica that was removed from the cluster empties the data folder.
const endingsFolder = "endings"

// openEndings opens the journal of the endings of backend servers, and returns what it holds.
func (c *controller) openEndings() ([]waxwingseam.EndingsMessage, error) {
	if c.config.DataFolder == "" {
		return nil, nil
	}
	disk, err := journaler.OpenFolder(filepath.Join(c.config.DataFolder, endingsFolder))
	if err != nil {
		return nil, err
	}
	store, recovered, err := journaler.OpenEndings(disk)
	if err != nil {
		return nil, trace.NewAggregate(err, disk.Close())
	}
	if recovered.Damage != nil {
		c.config.Logger("publisher").Error("a part of the stored endings of backend servers can't be read", "cause", recovered.Damage)
	}
	c.endings = store
	return recovered.Messages, nil
}

// publish passes an update to the publisher. Updates before the publisher's
// creation are ignored, since a new publisher reads the newest set from the
// historian.
func (c *controller) publish(u historian.Update) {
	if c.publisher != nil {
		c.publisher.Publish(u)
	}
}

// replicas returns the addresses of all control replicas: the members of the
// cluster, or the configured addresses until the members are known.
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

// peers returns the addresses of the other control replicas.
func (c *controller) peers() []netip.AddrPort {
	return without(c.replicas(), c.config.Address)
}

func without(list []netip.AddrPort, address netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(list), func(a netip.AddrPort) bool { return a == address })
}

func (c *controller) createAPI() error {
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
	if c.config.WrapAPI != nil {
		c.handler = c.config.WrapAPI(c.handler, administrator.NewConfigurer(administrator.ConfigurerConfig{
			Historian: c.historian,
			Log:       c.log,
			Logger:    c.config.Logger("operators"),
		}))
	}
	return nil
}

// Serve implements Controller.
func (c *controller) Serve(ctx context.Context) error {
	if c.endings != nil {
		defer func() {
			if err := c.endings.Close(); err != nil {
				c.config.Logger("publisher").Warn("closing the journal of endings failed", "cause", err)
			}
		}()
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.log.Serve(ctx) })
	group.Go(func() error { return c.publisher.Serve(ctx) })
	group.Go(func() error { return c.serveOperators(ctx) })
	group.Go(func() error { return c.maintainExchanges(ctx) })
	return trace.Wrap(group.Wait())
}

// serveOperators serves the operator API until the context ends.
func (c *controller) serveOperators(ctx context.Context) error {
	logger := c.config.Logger("operators")
	var listener net.Listener = newBoundedListener(c.config.Operators, maxOperatorConnections)
	if c.config.OperatorsTLS != nil {
		listener = tls.NewListener(listener, c.config.OperatorsTLS)
	} else {
		logger.Warn("operator API is served in plain text", "address", c.config.Operators.Addr())
	}
	server := &http.Server{
		Handler:           markRequests(c.handler),
		ConnContext:       withConnection,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelInfo),
	}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// RevisionSummaries implements administrator.Cluster.
func (c *controller) RevisionSummaries() []publisher.RevisionSummary {
	summaries := []publisher.RevisionSummary{c.publisher.Summary()}
	c.mu.Lock()
	exchanges := slices.Collect(maps.Values(c.exchanges))
	c.mu.Unlock()
	for _, x := range exchanges {
		if summary, ok := x.latestSummary(); ok {
			summaries = append(summaries, summary)
		}
	}
	return summaries
}

// AccountUsages implements administrator.Cluster.
func (c *controller) AccountUsages() []publisher.UsageSummary {
	usages := []publisher.UsageSummary{c.publisher.AccountUsage()}
	c.mu.Lock()
	exchanges := slices.Collect(maps.Values(c.exchanges))
	c.mu.Unlock()
	for _, x := range exchanges {
		if usage, ok := x.latestUsage(); ok {
			usages = append(usages, usage)
		}
	}
	return usages
}

// Registrations implements administrator.Cluster.
func (c *controller) Registrations() []waxwingseam.Registration {
	return c.publisher.Registrations()
}

// Quarantined implements administrator.Cluster.
func (c *controller) Quarantined() []waxwingseam.QuarantinedRequest {
	return c.publisher.Quarantined()
}

// OrderQuarantine implements administrator.Cluster.
func (c *controller) OrderQuarantine(o waxwingseam.QuarantineOrder) (nodes int) {
	return c.publisher.OrderQuarantine(o)
}

// ReplicaStatus implements administrator.Cluster.
func (c *controller) ReplicaStatus() waxwingseam.ReplicaStatus {
	return c.log.Status()
}
