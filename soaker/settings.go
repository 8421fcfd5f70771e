package soaker

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

const (
	serviceDesk   waxwingseam.ServiceName = "desk"
	serviceLedger waxwingseam.ServiceName = "ledger"
	// prefixNever is the beginning of the paths that must not run twice.
	prefixNever = "/never/"
	prefixFree  = "/free/"
)

// limits are the objects that both services share; the first argument tells
// whether what must not run twice is kept from it.
const limits = `
[retry-limit careful]
allowance = 2
budget-percent = 20
did-not-run-only = %v
redirects = 2
[retry-limit free]
allowance = 2
budget-percent = 20
failures = true
redirects = 2
[wait-limit usual]
wait = 1s
waiting = 100
`

// serviceObjects are a service and its classes: its name, the repeat rule of what
// must not run twice, and its deadline in seconds.
const serviceObjects = `
[service %[1]s]
slots = 40
connections = 200
[request-class %[1]s-never]
service = %[1]s
path = /never/{rest...}
importance = 7
repeat = %[2]s
deadline = %[3]ds
retry-limit = careful
wait-limit = usual
[request-class %[1]s-free]
service = %[1]s
path = /free/{rest...}
importance = 3
repeat = idempotent
deadline = %[4]ds
retry-limit = free
wait-limit = usual
`

// usualDeadline is the deadline that operators do not change, in seconds.
const usualDeadline = 3

// set returns the objects with a deadline of the desk's, which operators change.
func (d *deployment) set(seconds int) []byte {
	repeat := "never"
	if d.config.Unsafe {
		repeat = "idempotent"
	}
	text := fmt.Appendf(nil, limits, !d.config.Unsafe)
	text = fmt.Appendf(text, serviceObjects, serviceDesk, repeat, seconds, usualDeadline)
	return fmt.Appendf(text, serviceObjects, serviceLedger, repeat, usualDeadline, usualDeadline)
}

// Each process has an address of its own on loopback, and all use the same ports.
func replicaIP(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, byte(11 + n)}) }
func hostIP(n int) netip.Addr    { return netip.AddrFrom4([4]byte{127, 0, 0, byte(21 + n)}) }

const (
	// basePort is the first port that is tried, portCount how many a process uses:
	// one for other processes and two for callers or operators.
	basePort  = 17000
	portCount = 3
	portTries = 200
)

// freePort returns the first of the ports that are free on all addresses.
func freePort(ctx context.Context) (uint16, error) {
	ips := make([]netip.Addr, 0, replicas+2*servers)
	for n := range replicas {
		ips = append(ips, replicaIP(n))
	}
	for n := range 2 * servers {
		ips = append(ips, hostIP(n))
	}
	for n := range portTries {
		port := uint16(basePort + portCount*n)
		if allFree(ctx, ips, port) {
			return port, nil
		}
	}
	return 0, trace.NotFound("no free ports from %d on", basePort)
}

func allFree(ctx context.Context, ips []netip.Addr, port uint16) bool {
	var lc net.ListenConfig
	for _, ip := range ips {
		for i := range uint16(portCount) {
			listener, err := lc.Listen(ctx, "tcp", netip.AddrPortFrom(ip, port+i).String())
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// processSettings are those of every process; the data centre counts from 0.
func processSettings(ip netip.Addr, port uint16, dataCentre int) string {
	seeds := make([]string, 0, replicas)
	for n := range replicas {
		seeds = append(seeds, netip.AddrPortFrom(replicaIP(n), port).String())
	}
	return fmt.Sprintf(`[process]
data-centre = dc-%d
peer-address = %s
control-seeds = %s
drain-time = 500ms
drain-limit = %v
log-format = json
`, dataCentre+1, netip.AddrPortFrom(ip, port), strings.Join(seeds, ", "), drainLimit)
}

func (r *replica) settings(folder string, n int, port uint16) string {
	return processSettings(replicaIP(n), port, n) + fmt.Sprintf(`[control]
founder = true
tolerated-losses = 1
data-folder = %s/data-%d
operator-address = %s
`, folder, n+1, r.operators)
}

func (h *host) settings(name string, outbound netip.AddrPort, port uint16) string {
	return processSettings(hostIP(h.number), port, h.number%replicas) + fmt.Sprintf(`[node]
server-name = %s
service = %s
entry-address = %s
outbound-address = %s
backend-address = %s
`, name, h.service, h.entry, outbound, h.path.address())
}
