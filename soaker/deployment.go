package soaker

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
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
	// basePort is the first port that is tried for the processes; each has an
	// address of its own on loopback.
	basePort  = 17000
	portTries = 200
	// startTimeout bounds the start of all processes.
	startTimeout = 30 * time.Second
	pollEvery    = 50 * time.Millisecond
)

const (
	serviceDesk   waxwingseam.ServiceName = "desk"
	serviceLedger waxwingseam.ServiceName = "ledger"
	// prefixNever is the beginning of the paths that must not run twice.
	prefixNever = "/never/"
	prefixFree  = "/free/"
)

// objects is the set of objects; %s is the repeat rule of what must not run
// twice, %d the deadline in seconds, which operators change.
const objects = `
[service desk]
slots = 40
connections = 200
[service ledger]
slots = 40
connections = 200
[retry-limit careful]
allowance = 2
budget-percent = 20
did-not-run-only = %[2]s
redirects = 2
[retry-limit free]
allowance = 2
budget-percent = 20
failures = true
redirects = 2
[wait-limit usual]
wait = 1s
waiting = 100
[request-class never]
service = desk
path = /never/{rest...}
importance = 7
repeat = %[1]s
deadline = %[3]ds
retry-limit = careful
wait-limit = usual
[request-class free]
service = desk
path = /free/{rest...}
importance = 3
repeat = idempotent
deadline = 3s
retry-limit = free
wait-limit = usual
[request-class entries]
service = ledger
path = /never/{rest...}
importance = 7
repeat = %[1]s
deadline = 3s
retry-limit = careful
wait-limit = usual
[request-class reads]
service = ledger
path = /free/{rest...}
importance = 3
repeat = idempotent
deadline = 3s
retry-limit = free
wait-limit = usual
`

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
		if r.program, err = newProgram(config, fmt.Sprintf("control-%d", n+1), controlSettings(config.Folder, n, port)); err != nil {
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

func replicaIP(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, byte(11 + n)}) }
func hostIP(n int) netip.Addr    { return netip.AddrFrom4([4]byte{127, 0, 0, byte(21 + n)}) }

// freePort returns the first of four ports that are free on all addresses.
func freePort(ctx context.Context) (uint16, error) {
	for n := range portTries {
		port := uint16(basePort + 4*n)
		if allFree(ctx, port) {
			return port, nil
		}
	}
	return 0, trace.NotFound("no free ports from %d on", basePort)
}

func allFree(ctx context.Context, port uint16) bool {
	var lc net.ListenConfig
	for n := range replicas + 2*servers {
		ip := hostIP(n - replicas)
		if n < replicas {
			ip = replicaIP(n)
		}
		for i := range uint16(3) {
			listener, err := lc.Listen(ctx, "tcp", netip.AddrPortFrom(ip, port+i).String())
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func controlSeeds(port uint16) string {
	var seeds string
	for n := range replicas {
		if n > 0 {
			seeds += ", "
		}
		seeds += netip.AddrPortFrom(replicaIP(n), port).String()
	}
	return seeds
}

func controlSettings(folder string, n int, port uint16) string {
	return fmt.Sprintf(`[process]
data-centre = dc-%d
peer-address = %s:%d
control-seeds = %s
drain-limit = %v
log-format = json
[control]
founder = true
tolerated-losses = 1
data-folder = %s/data-%d
operator-address = %s:%d
`, n+1, replicaIP(n), port, controlSeeds(port), drainLimit, folder, n+1, replicaIP(n), port+1)
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
	h.program, err = newProgram(config, name, fmt.Sprintf(`[process]
data-centre = dc-%d
peer-address = %s:%d
control-seeds = %s
drain-time = 500ms
drain-limit = %v
log-format = json
[node]
server-name = %s
service = %s
entry-address = %s
outbound-address = %s
backend-address = %s
`, n%replicas+1, hostIP(n), port, controlSeeds(port), drainLimit, name, h.service, h.entry, outbound, h.path.address()))
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

// set returns the objects with a deadline.
func (d *deployment) set(seconds int) []byte {
	repeat, careful := "never", "true"
	if d.config.Unsafe {
		repeat, careful = "idempotent", "false"
	}
	return fmt.Appendf(nil, objects, repeat, careful, seconds)
}

// ready waits until all nodes hold the newest set and all servers are known.
func (d *deployment) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := operator.New(operator.Config{Control: d.replicas[0].operators.String(), Name: "soak"})
	for {
		status, err := client.Status(ctx)
		newest := 0
		for _, n := range status.Nodes {
			newest += n.Newest
		}
		if err == nil && status.Revision > 0 && newest >= len(d.hosts) && len(status.Servers) == len(d.hosts) {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("the deployment is not ready after %v: revision %d, %d of %d nodes, %d servers, %v",
				startTimeout, status.Revision, newest, len(d.hosts), len(status.Servers), err)
		case <-time.After(pollEvery):
		}
	}
}

// apply carries out a step and returns once it is over, with what it broke.
func (d *deployment) apply(s Step) string {
	switch s.Fault {
	case FaultNodeStop, FaultNodeKill, FaultNodePause:
		h := d.hosts[s.Target]
		h.busy.Lock()
		defer h.busy.Unlock()
		return disturb(h.program, s)
	case FaultControlStop, FaultControlKill, FaultControlPause:
		d.control.Lock()
		defer d.control.Unlock()
		return disturb(d.replicas[s.Target].program, s)
	case FaultReload:
		d.hosts[s.Target].signal(syscall.SIGHUP)
		return ""
	}
	d.disturbPath(s)
	return ""
}

// disturb does something to a process and brings it back.
func disturb(p *program, s Step) string {
	switch s.Fault {
	case FaultNodePause, FaultControlPause:
		p.pause(s.For)
		return ""
	case FaultNodeKill, FaultControlKill:
		p.kill()
		time.Sleep(s.For / 2)
	default:
		if !p.stop(drainLimit) {
			return p.name + " was still there at the end of its drain limit"
		}
	}
	if err := p.start(); err != nil {
		return p.name + " did not start: " + err.Error()
	}
	return ""
}

// disturbPath does something to a backend server or the path to it.
func (d *deployment) disturbPath(s Step) {
	h := d.hosts[s.Target]
	switch s.Fault {
	case FaultPathReset:
		h.path.reset()
	case FaultPathSilent:
		h.path.hold(s.For, toTarget, toCaller)
	case FaultPathOneWay:
		h.path.hold(s.For, toCaller)
	case FaultPathSlow:
		h.path.slow(s.For/20, s.For)
	case FaultBackendFails:
		h.server.SetFailing(true)
		time.Sleep(s.For)
		h.server.SetFailing(false)
	case FaultBackendSlow:
		const factor = 10
		h.server.SetSlowdown(factor)
		time.Sleep(s.For)
		h.server.SetSlowdown(1)
	case FaultBackendLies:
		h.server.SetLying(true)
		time.Sleep(s.For)
		h.server.SetLying(false)
	}
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
