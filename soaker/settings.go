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
	// prefixNotRepeatable is the path prefix of requests that must not run twice,
	// prefixRepeatable the path prefix of all others.
	prefixNotRepeatable = "/never/"
	prefixRepeatable    = "/free/"
)

// limitObjects are the limits of both services. The argument sets whether
// requests that must not run twice are retried only if they did not run.
const limitObjects = `
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
[caller-limit usual]
header-bytes = 16384
body-bytes = 67108864
header-timeout = 3s
idle-timeout = 15s
`

// serviceObjects are a service and its request classes. The arguments are the
// name of the service, the repeat rule of requests that must not run twice, and
// the deadlines of both classes in seconds.
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

// fixedDeadline is the deadline in seconds of the classes that operators do not
// change.
const fixedDeadline = 3

// objects returns the set of objects. Operators change deskDeadline, the deadline
// in seconds of the desk's requests that must not run twice.
func (d *deployment) objects(deskDeadline int) []byte {
	repeat := "never"
	if d.config.Unsafe {
		repeat = "idempotent"
	}
	text := fmt.Appendf(nil, limitObjects, !d.config.Unsafe)
	text = fmt.Appendf(text, serviceObjects, serviceDesk, repeat, deskDeadline, fixedDeadline)
	text = fmt.Appendf(text, serviceObjects, serviceLedger, repeat, fixedDeadline, fixedDeadline)
	return append(text, d.accounts.objects()...)
}

// replicaIP and hostIP return the loopback address of a process. Each process has
// its own address, and all processes use the same ports.
func replicaIP(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, byte(11 + n)}) }
func hostIP(n int) netip.Addr    { return netip.AddrFrom4([4]byte{127, 0, 0, byte(21 + n)}) }

const (
	// basePort is the first port that is tried. A process uses portsPerProcess
	// ports: one for other processes, and up to three for callers, its backend server,
	// readiness or operators.
	basePort        = 17000
	portsPerProcess = 4
	maxPortTries    = 200
)

// findFreePorts returns the first of portsPerProcess consecutive ports that are
// free on all addresses.
func findFreePorts(ctx context.Context, hosts int) (uint16, error) {
	ips := make([]netip.Addr, 0, replicaCount+hosts)
	for n := range replicaCount {
		ips = append(ips, replicaIP(n))
	}
	for n := range hosts {
		ips = append(ips, hostIP(n))
	}
	for n := range maxPortTries {
		port := uint16(basePort + portsPerProcess*n)
		if portsFree(ctx, ips, port) {
			return port, nil
		}
	}
	return 0, trace.NotFound("no free ports from %d on", basePort)
}

func portsFree(ctx context.Context, ips []netip.Addr, port uint16) bool {
	var lc net.ListenConfig
	for _, ip := range ips {
		for i := range uint16(portsPerProcess) {
			listener, err := lc.Listen(ctx, "tcp", netip.AddrPortFrom(ip, port+i).String())
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// processSettings returns the settings common to all processes; dataCentre counts
// from 0.
func processSettings(ip netip.Addr, port uint16, dataCentre int) string {
	seeds := make([]string, 0, replicaCount)
	for n := range replicaCount {
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

func (r *replica) settings(n int, port uint16, founder bool) string {
	return processSettings(replicaIP(n), port, n) + fmt.Sprintf(`[control]
founder = %v
tolerated-losses = 1
data-folder = %s
operator-address = %s
`, founder, r.dataFolder, r.operatorAddress)
}

func (h *host) settings(name string, outbound netip.AddrPort, port uint16) string {
	limits := fmt.Sprintf("memory-limit = %d\ntelemetry-address = %s\n", h.memoryMB, h.telemetryAddress)
	return processSettings(hostIP(h.number), port, h.number%replicaCount) + limits + fmt.Sprintf(`[node]
server-name = %s
service = %s
entry-address = %s
outbound-address = %s
backend-address = %s
`, name, h.service, h.entryAddress, outbound, h.path.address())
}
