package assembler

import (
	"cmp"
	"context"
	"crypto/tls"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/charger"
	"waxwingseam.example/waxwingseam/controller"
	"waxwingseam.example/waxwingseam/depositor"
	"waxwingseam.example/waxwingseam/founder"
	"waxwingseam.example/waxwingseam/loader"
	"waxwingseam.example/waxwingseam/logger"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/meter"
	"waxwingseam.example/waxwingseam/narrator"
	"waxwingseam.example/waxwingseam/proposer"
	"waxwingseam.example/waxwingseam/runner"
	"waxwingseam.example/waxwingseam/sampler"
	"waxwingseam.example/waxwingseam/subscriber"
	"waxwingseam.example/waxwingseam/tallier"
	"waxwingseam.example/waxwingseam/tracer"
)

// tracerCloseTimeout bounds the export of the last spans on exit.
const tracerCloseTimeout = 2 * time.Second

// ProcessConfig holds the settings and dependencies of a process.
type ProcessConfig struct {
	Settings loader.Settings
	// Interface is the project's own if it is the zero value.
	Interface Interface
	Logger    *logger.Logger
	// NewExporter is required for settings with a trace endpoint.
	NewExporter tracer.NewExporter
	// Observers receive the events and effects of the node's reducer, in addition
	// to the process's own observers.
	Observers []runner.Observer
}

// Process is one process of the system, with the roles that its settings define.
type Process struct {
	settings       loader.Settings
	external       Interface
	logger         *logger.Logger
	extraObservers []runner.Observer
	newExporter    tracer.NewExporter
	tls            tlsConfigs
	messenger      *messenger.Server
	dialer         messenger.Dialer
	meter          *meter.Meter
	tracer         *tracer.Tracer
	node           *Node
	subscriber     subscriber.Subscriber
	depositor      *depositor.Depositor
	interests      *interests
	revisions      *revisionObserver
	repeatability  *repeatability
	limits         *callerLimits
	// budget bounds the memory that is held for peers.
	budget      *charger.Budget
	entryPoints *entryPoints
	tallier     *tallier.Tallier
	controller  controller.Controller
}

// tlsConfigs holds the TLS configurations of a process; all are nil for plain
// text.
type tlsConfigs struct {
	peer      *tls.Config
	client    *tls.Config
	operators *tls.Config
}

// NewProcess assembles a process and opens its listener for other processes.
func NewProcess(ctx context.Context, config ProcessConfig) (*Process, error) {
	p := &Process{
		settings:       config.Settings,
		external:       config.Interface,
		logger:         config.Logger,
		extraObservers: config.Observers,
		newExporter:    config.NewExporter,
		meter:          meter.New(),
		limits:         &callerLimits{},
		budget:         charger.New(charger.Bound(config.Settings.Process.MemoryLimit)),
	}
	p.meter.WatchBudget(p.budget)
	steps := []func(context.Context) error{
		p.loadTLS,
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

func (p *Process) loadTLS(context.Context) error {
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
	p.tls = tlsConfigs{
		peer:      certificates.Server(authenticator.RoleNode, authenticator.RoleControl),
		client:    certificates.Client(authenticator.RoleNode, authenticator.RoleControl),
		operators: certificates.OptionalServer(),
	}
	return nil
}

func (p *Process) openMessenger(ctx context.Context) error {
	server, err := messenger.Listen(ctx, messenger.ServerConfig{
		Address: p.settings.Process.PeerAddress,
		TLS:     p.tls.peer,
		// A certificate's role determines which methods its holder may call.
		Authorize: authenticator.Authorize,
		Logger:    p.logger.Part("messenger"),
	})
	p.messenger = server
	p.dialer = messenger.Dialer{TLS: p.tls.client}
	return err
}

func (p *Process) openTracer(ctx context.Context) error {
	if p.settings.Process.TraceEndpoint == nil {
		return nil
	}
	config := tracer.Config{Endpoint: p.settings.Process.TraceEndpoint, NewExporter: p.newExporter}
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
		Replica:         cmp.Or(settings.Replica, proposer.ReplicaIDFromAddress(p.settings.Process.PeerAddress)),
		Address:         p.settings.Process.PeerAddress,
		Control:         p.settings.Process.ControlAddresses,
		Dialer:          p.dialer,
		Messenger:       p.messenger,
		DataFolder:      settings.DataFolder,
		Voter:           settings.Voter,
		Operators:       listener,
		OperatorsTLS:    p.tls.operators,
		OperatorsFile:   settings.TokensFile,
		WrapAPI:         p.wrapAPI(),
		Founder:         settings.Founder,
		ToleratedLosses: settings.ToleratedLosses,
		Logger:          p.logger.Part,
		Seed:            newSeed(),
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
		// A backend server that sends heartbeats is not used before the first one.
		Leaving: settings.HeartbeatAddress.IsValid(),
	}
	p.interests = newInterests()
	p.revisions = newRevisionObserver()
	p.repeatability = &repeatability{}
	p.entryPoints = newEntryPoints()
	p.tallier = tallier.New(tallier.Config{})
	node, err := NewNode(NodeConfig{
		Budget:      p.budget,
		BodyLimit:   p.limits.bodyBytes,
		Self:        self,
		Backend:     settings.BackendAddress,
		Messenger:   p.messenger,
		Dialer:      p.dialer,
		Logger:      p.logger,
		NewTrace:    p.newTrace,
		BadRequest:  p.meter.BadRequest,
		Interface:   p.external,
		NearFirst:   settings.NearFirst,
		RetryBudget: settings.RetryBudget,

		AwaitRetryHistory: true,

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
		Control: p.preferredControl(settings.ServerName),
		Dialer:  p.dialer,
		Self:    self,
		All:     p.external.AllServices,
		// The arbiter needs the other servers of its own service.
		Services: []waxwingseam.ServiceName{settings.Service},
		Step:     node.Runner.Step,
		Tally:    p.tallier.Tally,
		Logger:   p.logger.Part("subscriber"),
		Seed:     newSeed(),
	})
	p.interests.subscriber = p.subscriber
	p.revisions.subscriber = p.subscriber
	node.Runner.Attach(announcer{p.subscriber, node.Forwarder})
	p.depositor = depositor.New(depositor.Config{
		Self:            self,
		Servers:         p.subscriber.Servers,
		RecordAtControl: p.subscriber.RecordEnding,
		Replicas:        p.subscriber.Replicas,
		Dial: func(ctx context.Context, address netip.AddrPort) (depositor.Conn, error) {
			return p.dialer.Dial(ctx, address)
		},
		Step:   node.Runner.Step,
		Logger: p.logger.Part("depositor"),
	})
	node.Runner.Attach(p.depositor)
	p.meter.WatchUnstoredEndings(p.depositor.Unstored)
	if err := p.messenger.Register(p.depositor, depositor.Description); err != nil {
		return trace.Wrap(err)
	}
	return p.messenger.Register(p.subscriber, subscriber.Description)
}

// preferredControl returns the addresses of the control replicas, the preferred
// one first. It keeps the order of the settings, but rotates seeds by a hash of
// the node's name, so that nodes prefer different replicas.
func (p *Process) preferredControl(node waxwingseam.ServerName) []netip.AddrPort {
	list := p.settings.Process.ControlAddresses
	if !p.settings.Process.ControlAddressesAreSeeds || len(list) == 0 {
		return list
	}
	at := int(xxhash.Sum64String(string(node)) % uint64(len(list)))
	return slices.Concat(list[at:], list[:at])
}

// newTrace returns the trace of a root whose caller sent none; the zero value
// without a tracer.
func (p *Process) newTrace(root waxwingseam.RootID) waxwingseam.TraceContext {
	if p.tracer == nil {
		return waxwingseam.TraceContext{}
	}
	return tracer.NewTrace(root, p.settings.Process.TraceSamplePercent)
}

// observers returns the observers of the node's reducer.
func (p *Process) observers() []runner.Observer {
	eventLog := narrator.New(narrator.Config{
		Logger: p.logger.Part("node"),
		Usage:  sampler.New().Sample,
	})
	observers := []runner.Observer{p.meter, eventLog, p.interests, p.revisions, p.entryPoints, p.repeatability, p.tallier, p.limits}
	if p.tracer != nil {
		observers = append(observers, p.tracer)
	}
	return append(observers, p.extraObservers...)
}
