package soaker

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/imitator"
	"waxwingseam.example/waxwingseam/operator"
)

const (
	replicaCount = 3
	// defaultServersPerService is the default of Config.ServersPerService.
	defaultServersPerService = 3
	slotsPerServer           = 40
	// serviceTime is the mean time that a backend server works on one request.
	serviceTime = 15 * time.Millisecond
	// drainLimit bounds the time from SIGTERM to the exit of a process.
	drainLimit = 6 * time.Second
	// startTimeout bounds the start of all processes.
	startTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// host is a backend server with the node beside it and the relay between the two.
type host struct {
	*process
	number       int
	service      waxwingseam.ServiceName
	server       *imitator.Imitator
	path         *relay
	entryAddress netip.AddrPort
	// telemetryAddress serves the readiness checks.
	telemetryAddress netip.AddrPort
	memoryMB         int
	// faultMu serializes the faults of the node's process.
	faultMu sync.Mutex
}

// replica is a control replica.
type replica struct {
	*process
	operatorAddress netip.AddrPort
	dataFolder      string
	// laterSettings are those for a start on an empty disk after the first one, with which
	// the replica founds no cluster.
	laterSettings string
}

// client returns a client of the replica's operator API.
func (r *replica) client() operator.Client {
	return operator.New(operator.Config{Address: r.operatorAddress.String(), Name: "soak"})
}

// deployment holds all processes of a soak.
type deployment struct {
	config   Config
	hosts    []*host
	replicas []*replica
	// controlFaultMu serializes the faults of the control replicas, which tolerate
	// the loss of one.
	controlFaultMu sync.Mutex
	// accounts is nil in a deployment without client accounts.
	accounts *accounts

	spanMu sync.Mutex
	// spans are the times in which backend servers stated something.
	spans []statedSpan
}

func newDeployment(ctx context.Context, config Config) (*deployment, error) {
	d := &deployment{config: config}
	port, err := findFreePorts(ctx, 2*config.ServersPerService)
	if err != nil {
		return nil, err
	}
	for n := range replicaCount {
		r := &replica{
			operatorAddress: netip.AddrPortFrom(replicaIP(n), port+1),
			dataFolder:      filepath.Join(config.Folder, fmt.Sprintf("data-%d", n+1)),
		}
		if r.process, err = newProcess(config, fmt.Sprintf("control-%d", n+1), r.settings(n, port, true)); err != nil {
			return nil, err
		}
		r.laterSettings = r.settings(n, port, false)
		d.replicas = append(d.replicas, r)
	}
	for n := range 2 * config.ServersPerService {
		h, err := newHost(ctx, config, n, port)
		if err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
	}
	for _, p := range d.processes() {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func newHost(ctx context.Context, config Config, n int, port uint16) (*host, error) {
	h := &host{
		number: n, service: serviceDesk, entryAddress: netip.AddrPortFrom(hostIP(n), port+1),
		telemetryAddress: netip.AddrPortFrom(hostIP(n), port+3), memoryMB: config.MemoryMB,
	}
	name := fmt.Sprintf("desk-%d", n+1)
	if n >= config.ServersPerService {
		h.service = serviceLedger
		name = fmt.Sprintf("ledger-%d", n+1-config.ServersPerService)
	}
	var routes []imitator.Route
	if h.service == serviceDesk {
		routes = []imitator.Route{
			{Prefix: endingLedger, Children: []imitator.Child{{Service: serviceLedger, Path: endingDesk}}},
			{Prefix: prefixNotRepeatable, Children: []imitator.Child{{Service: serviceLedger, Method: "POST", Path: prefixNotRepeatable + "entry"}}},
			{Prefix: prefixRepeatable, Children: []imitator.Child{{Service: serviceLedger, Path: prefixRepeatable + "read"}}},
		}
	}
	outbound := netip.AddrPortFrom(hostIP(n), port+2)
	var err error
	if h.server, err = imitator.Listen(ctx, imitator.Config{
		Name: waxwingseam.ServerName(name), Service: h.service,
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Outbound: outbound,
		Slots: slotsPerServer, ServiceTime: serviceTime, Routes: routes, Seed: uint64(n),
		EndText: endText, EndDelay: endDelay, DownTime: downTime,
		OnEnd: func(d time.Duration) { h.path.refuse(ctx, d) },
	}); err != nil {
		return nil, trace.Wrap(err)
	}
	go func() { _ = h.server.Serve(ctx) }()
	if h.path, err = listenRelay(ctx, h.server.Address()); err != nil {
		return nil, err
	}
	h.process, err = newProcess(config, name, h.settings(name, outbound, port))
	return h, err
}

func (d *deployment) processes() []*process {
	list := make([]*process, 0, len(d.replicas)+len(d.hosts))
	for _, r := range d.replicas {
		list = append(list, r.process)
	}
	for _, h := range d.hosts {
		list = append(list, h.process)
	}
	return list
}

// stopAll stops all processes and describes those that did not exit in time.
func (d *deployment) stopAll() []string {
	var mu sync.Mutex
	var late []string
	var group sync.WaitGroup
	for _, p := range d.processes() {
		group.Go(func() {
			if !p.stop(drainLimit) {
				mu.Lock()
				defer mu.Unlock()
				late = append(late, p.name+" did not exit within its drain limit at the end of the soak")
			}
		})
	}
	group.Wait()
	return late
}
