package assembler

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/controller"
	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/founder"
	"waxwingseam.example/waxwingseam/loader"
	"waxwingseam.example/waxwingseam/logger"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/meter"
	"waxwingseam.example/waxwingseam/runner"
	"waxwingseam.example/waxwingseam/subscriber"
	"waxwingseam.example/waxwingseam/tracer"
)

// closeTimeout bounds the export of the last spans.
const closeTimeout = 2 * time.Second

// ProcessConfig holds what a process is assembled from.
type ProcessConfig struct {
	Settings loader.Settings
	Logger   *logger.Logger
	// Observers see the events and effects of the node's reducer, beside the
	// process's own metrics and traces.
	Observers []runner.Observer
}

// Process is one process of the system with the roles of its settings.
type Process struct {
	settings   loader.Settings
	logger     *logger.Logger
	extra      []runner.Observer
	protection protection
	messenger  *messenger.Server
	dialer     messenger.Dialer
	meter      *meter.Meter
	tracer     *tracer.Tracer
	node       *Node
	subscriber subscriber.Subscriber
	interests  *interests
	noticer    *noticer
	entries    *entryPoints
	controller controller.Controller
}

// protection holds the TLS settings of a process; all are nil in plain text.
type protection struct {
	peer      *tls.Config
	client    *tls.Config
	operators *tls.Config
}

// NewProcess assembles a process and opens its listener for other processes.
func NewProcess(ctx context.Context, config ProcessConfig) (*Process, error) {
	p := &Process{
		settings: config.Settings,
		logger:   config.Logger,
		extra:    config.Observers,
		meter:    meter.New(),
	}
	steps := []func(context.Context) error{
		p.openProtection,
		p.openMessenger,
		p.openTracer,
		p.openControl,
		p.openNode,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return p, nil
}

func (p *Process) openProtection(context.Context) error {
	files := p.settings.TLS
	if files == nil {
		p.logger.Part("process").Warn("connections between processes are in plain text")
		return nil
	}
	certificates, err := authenticator.NewCertificates(authenticator.CertificateConfig{
		CertificateFile: files.CertificateFile,
		KeyFile:         files.KeyFile,
		AuthorityFile:   files.AuthorityFile,
		Logger:          p.logger.Part("tls"),
	})
	if err != nil {
		return err
	}
	p.protection = protection{
		peer:      certificates.Server(authenticator.RoleNode, authenticator.RoleControl),
		client:    certificates.Client(authenticator.RoleNode, authenticator.RoleControl),
		operators: certificates.OptionalServer(),
	}
	return nil
}

func (p *Process) openMessenger(ctx context.Context) error {
	server, err := messenger.Listen(ctx, messenger.ServerConfig{
		Address: p.settings.Process.PeerAddress,
		TLS:     p.protection.peer,
		// A certificate's role bounds the methods that its holder may call.
		Authorize: authenticator.Authorize,
	})
	p.messenger = server
	p.dialer = messenger.Dialer{TLS: p.protection.client}
	return err
}

func (p *Process) openTracer(ctx context.Context) error {
	if p.settings.Process.TraceEndpoint == nil {
		return nil
	}
	config := tracer.Config{Endpoint: p.settings.Process.TraceEndpoint}
	if p.settings.Node != nil {
		config.Server = p.settings.Node.ServerName
	}
	t, err := tracer.New(ctx, config)
	p.tracer = t
	return err
}

func (p *Process) openControl(ctx context.Context) error {
	settings := p.settings.Control
	if settings == nil {
		return nil
	}
	listener, err := listen(ctx, settings.OperatorAddress)
	if err != nil {
		return err
	}
	c, err := controller.New(controller.Config{
		Replica:       settings.Replica,
		Address:       p.settings.Process.PeerAddress,
		Control:       p.settings.Process.ControlAddresses,
		Dialer:        p.dialer,
		Server:        p.messenger,
		DataFolder:    settings.DataFolder,
		Voter:         settings.Voter,
		Operators:     listener,
		OperatorsTLS:  p.protection.operators,
		OperatorsFile: settings.TokensFile,
		Logger:        p.logger.Part,
		Seed:          newSeed(),
	})
	if err != nil {
		return err
	}
	p.controller = c
	return p.meter.Registry().Register(c)
}

func (p *Process) openNode(context.Context) error {
	settings := p.settings.Node
	if settings == nil {
		return nil
	}
	self := waxwingseam.Server{
		Name:        settings.ServerName,
		Service:     settings.Service,
		Node:        p.settings.Process.PeerAddress,
		EntryPoint:  settings.EntryAddress,
		DataCentre:  p.settings.Process.DataCentre,
		Incarnation: waxwingseam.Incarnation(time.Now().UnixNano()),
		Since:       time.Now(),
	}
	p.interests = newInterests()
	p.noticer = newNoticer()
	p.entries = newEntryPoints()
	node, err := NewNode(NodeConfig{
		Self:      self,
		Backend:   settings.BackendAddress,
		Messenger: p.messenger,
		Dialer:    p.dialer,
		Logger:    p.logger,
		NewTrace:  p.newTrace,
		Founding: founder.Client{
			Control: p.settings.Process.ControlAddresses,
			Dialer:  p.dialer,
		}.Ask,
		Observers: p.observers(),
		Seed:      newSeed(),
	})
	if err != nil {
		return err
	}
	p.node = node
	p.subscriber = subscriber.New(subscriber.Config{
		Control: p.settings.Process.ControlAddresses,
		Dialer:  p.dialer,
		Self:    self,
		// The arbiter needs to know the other servers of its own service.
		Services: []waxwingseam.ServiceName{settings.Service},
		Step:     node.Runner.Step,
		Logger:   p.logger.Part("subscriber"),
		Seed:     newSeed(),
	})
	p.interests.subscriber = p.subscriber
	p.noticer.subscriber = p.subscriber
	node.Runner.Attach(announcer{p.subscriber})
	return p.messenger.Register(p.subscriber, subscriber.Description)
}

// newTrace returns the trace of a root whose caller sent none.
func (p *Process) newTrace(root waxwingseam.RootID) waxwingseam.TraceContext {
	if p.tracer == nil {
		return waxwingseam.TraceContext{}
	}
	return tracer.NewTrace(root, p.settings.Process.TraceSamplePercent)
}

// observers lists who sees the events and effects of the node's reducer.
func (p *Process) observers() []runner.Observer {
	observers := []runner.Observer{p.meter, p.interests, p.noticer, p.entries}
	if p.tracer != nil {
		observers = append(observers, p.tracer)
	}
	return append(observers, p.extra...)
}

// Serve runs the process. When stop ends, the node drains: it refuses new work
// and ends its calls. When abort ends, the process leaves at once.
func (p *Process) Serve(stop, abort context.Context) error {
	ctx, cancel := context.WithCancel(abort)
	defer cancel()
	hangUp := p.serveMessenger(cancel)
	group, ctx := errgroup.WithContext(ctx)
	if p.controller != nil {
		group.Go(func() error { return p.controller.Serve(ctx) })
	}
	if p.node != nil {
		group.Go(func() error { return p.subscriber.Run(ctx) })
		if err := p.serveNode(ctx, group); err != nil {
			return err
		}
	}
	if err := p.serveTelemetry(ctx, group); err != nil {
		return err
	}
	p.logger.Part("process").Info("ready", "peer-address", p.messenger.Address())
	group.Go(func() error {
		defer cancel()
		return p.waitForStop(ctx, stop)
	})
	err := trace.NewAggregate(group.Wait(), hangUp())
	p.close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// serveMessenger serves other processes until the returned function is called,
// so that a replica can still hand over and a node announce that it leaves. A
// failure ends the process.
func (p *Process) serveMessenger(fail context.CancelFunc) (hangUp func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- p.messenger.Serve(ctx)
		fail()
	}()
	return func() error {
		cancel()
		return <-ended
	}
}

// waitForStop returns once the process may leave.
func (p *Process) waitForStop(ctx, stop context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop.Done():
	}
	if p.node == nil {
		return nil
	}
	p.logger.Part("node").Info("draining")
	if err := p.node.Drain(ctx); err != nil {
		return err
	}
	p.logger.Part("node").Info("drained")
	return nil
}

func (p *Process) close() {
	if p.tracer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := p.tracer.Close(ctx); err != nil {
		p.logger.Part("tracer").Warn("last spans are lost", "error", err)
	}
}

func (p *Process) serveNode(ctx context.Context, group *errgroup.Group) error {
	f := p.node.Forwarder
	entry := chi.NewRouter()
	entry.Get("/v1/entry-points", p.entries.ServeHTTP)
	entry.NotFound(p.interests.Hold(f.Entry()).ServeHTTP)
	entry.MethodNotAllowed(p.interests.Hold(f.Entry()).ServeHTTP)
	if err := serveHTTP(ctx, group, p.settings.Node.EntryAddress, entry); err != nil {
		return err
	}
	return serveHTTP(ctx, group, p.settings.Node.OutboundAddress, p.interests.Hold(f.Outbound()))
}

// serveHTTP serves a handler until the context ends.
func serveHTTP(ctx context.Context, group *errgroup.Group, address netip.AddrPort, handler http.Handler) error {
	listener, err := listen(ctx, address)
	if err != nil {
		return err
	}
	server := forwarder.NewServer(handler)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error {
		if err := server.Serve(listener); ctx.Err() == nil {
			return trace.Wrap(err)
		}
		return nil
	})
	return nil
}

func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return listener, nil
}
