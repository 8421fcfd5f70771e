package soaker

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/imitator"
	"waxwingseam.example/waxwingseam/operator"
)

const (
	replicas = 3
	// The desk calls the ledger; each has as many servers as in the brief.
	servers = 3
	slots   = 40
	// work is the mean work of one request.
	work = 15 * time.Millisecond
	// drainLimit is how long a process may take to leave.
	drainLimit = 6 * time.Second
	// startTimeout bounds the start of all processes.
	startTimeout = 30 * time.Second
	pollEvery    = 50 * time.Millisecond
)

// host is a backend server with the node beside it and the path between them.
type host struct {
	*program
	number  int
	service waxwingseam.ServiceName
	server  *imitator.Imitator
	path    *relay
	entry   netip.AddrPort
	// busy admits one fault of the process at a time.
	busy sync.Mutex
}

// replica is a control replica.
type replica struct {
	*program
	operators netip.AddrPort
}

// client returns a client of the replica's operator API.
func (r *replica) client() operator.Client {
	return operator.New(operator.Config{Address: r.operators.String(), Name: "soak"})
}

// deployment is all processes of a soak.
type deployment struct {
	config   Config
	hosts    []*host
	replicas []*replica
	// control admits one fault of a control replica at a time, as one may be lost.
	control sync.Mutex
}

func newDeployment(ctx context.Context, config Config) (*deployment, error) {
	d := &deployment{config: config}
	port, err := freePort(ctx)
	if err != nil {
		return nil, err
	}
	for n := range replicas {
		r := &replica{operators: netip.AddrPortFrom(replicaIP(n), port+1)}
		if r.program, err = newProgram(config, fmt.Sprintf("control-%d", n+1), r.settings(config.Folder, n, port)); err != nil {
			return nil, err
		}
		d.replicas = append(d.replicas, r)
	}
	for n := range 2 * servers {
		h, err := newHost(ctx, config, n, port)
		if err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
	}
	for _, p := range d.programs() {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func newHost(ctx context.Context, config Config, n int, port uint16) (*host, error) {
	h := &host{number: n, service: serviceDesk, entry: netip.AddrPortFrom(hostIP(n), port+1)}
	name := fmt.Sprintf("desk-%d", n+1)
	if n >= servers {
		h.service = serviceLedger
		name = fmt.Sprintf("ledger-%d", n+1-servers)
	}
	var routes []imitator.Route
	if h.service == serviceDesk {
		routes = []imitator.Route{
			{Prefix: prefixNever, Children: []imitator.Child{{Service: serviceLedger, Method: "POST", Path: prefixNever + "entry"}}},
			{Prefix: prefixFree, Children: []imitator.Child{{Service: serviceLedger, Path: prefixFree + "read"}}},
		}
	}
	outbound := netip.AddrPortFrom(hostIP(n), port+2)
	var err error
	if h.server, err = imitator.Listen(ctx, imitator.Config{
		Name: waxwingseam.ServerName(name), Service: h.service,
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Outbound: outbound,
		Slots: slots, ServiceTime: work, Routes: routes, Seed: uint64(n),
	}); err != nil {
		return nil, trace.Wrap(err)
	}
	go func() { _ = h.server.Serve(ctx) }()
	if h.path, err = listenRelay(ctx, h.server.Address()); err != nil {
		return nil, err
	}
	h.program, err = newProgram(config, name, h.settings(name, outbound, port))
	return h, err
}

func (d *deployment) programs() []*program {
	list := make([]*program, 0, len(d.replicas)+len(d.hosts))
	for _, r := range d.replicas {
		list = append(list, r.program)
	}
	for _, h := range d.hosts {
		list = append(list, h.program)
	}
	return list
}

// end stops all processes and returns which did not leave in time.
func (d *deployment) end() []string {
	var mu sync.Mutex
	var late []string
	var group sync.WaitGroup
	for _, p := range d.programs() {
		group.Go(func() {
			if !p.stop(drainLimit) {
				mu.Lock()
				defer mu.Unlock()
				late = append(late, p.name+" was still there at the end of its drain limit, at the end")
			}
		})
	}
	group.Wait()
	return late
}
