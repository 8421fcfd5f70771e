//go:build review2

package stand2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the site file of jnina-hire.
const (
	heartbeatInterval = 1500 * time.Millisecond
	drainBound        = 2 * time.Second
	configApply       = 2 * time.Second
	graceBound        = 6 * time.Second
	stableWindow      = 3 * time.Second
)

const (
	program  = "target/waxwingseam-host"
	hostName = "hulo84.example"
)

// system is a small deployment on loopback addresses: control processes and nodes, each on
// an address of its own, with the same ports on all of them.
type system struct {
	folder string
	prefix string
	port   int
	cores  []*process
	nodes  []*process
	record *recorder
	http   *http.Client
	// memory is the memory limit of each process in MB.
	memory string
}

// process is one process of the system under review.
type process struct {
	sys      *system
	name     string
	ip       string
	zone     string
	service  string
	settings string
	data     string
	control  bool
	seeds    []string
	boot     bool

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
}

// The ports of each machine, from the base port on.
const (
	portPeer = iota
	portTelemetry
	portInbound
	portReady
	portOutbound
	portControl
	portBackend
	portCount
)

// newSystem chooses free addresses and a temporary folder.
func newSystem(record *recorder) (*system, error) {
	folder, err := os.MkdirTemp("", "review-*")
	if err != nil {
		return nil, err
	}
	s := &system{folder: folder, record: record, memory: "284", http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for try := range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+try)%200, 1+(os.Getpid()/200+try)%250)
		s.port = 21000 + 16*((os.Getpid()+7*try)%500)
		if s.free() {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (s *system) free() bool {
	for p := range portCount {
		l, err := net.Listen("tcp", s.address(1, p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (s *system) address(machine, port int) string {
	return s.prefix + strconv.Itoa(machine) + ":" + strconv.Itoa(s.port+port)
}

// addCore adds a machine with the control role.
func (s *system) addCore(boot bool) *process {
	n := 1 + len(s.cores)
	p := &process{sys: s, name: fmt.Sprintf("core-%d", n), ip: s.prefix + strconv.Itoa(n), zone: zone(n), control: true, boot: boot}
	p.data = filepath.Join(s.folder, p.name)
	s.cores = append(s.cores, p)
	return p
}

// addNode adds a machine with the node role.
func (s *system) addNode(service string) *process {
	n := 1 + len(s.nodes)
	p := &process{sys: s, name: fmt.Sprintf("sidecar-%d", n), ip: s.prefix + strconv.Itoa(100+n), zone: zone(n), service: service}
	s.nodes = append(s.nodes, p)
	return p
}

func zone(n int) string {
	return "tn-north-" + string(rune('a'+(n-1)%3))
}

func (p *process) address(port int) string {
	return p.ip + ":" + strconv.Itoa(p.sys.port+port)
}

func (s *system) seeds() []string {
	var out []string
	for _, c := range s.cores[:min(3, len(s.cores))] {
		out = append(out, c.address(portControl))
	}
	return out
}

var (
	seedSection = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
	placeholder = regexp.MustCompile(`\{\{[a-zA-Z.0-9]+\}\}`)
)

// writeSettings renders the template of the deploy file.
func (p *process) writeSettings() error {
	name := "deploy/node.ini.template"
	if p.control {
		name = "deploy/control.ini.template"
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	seeds := p.seeds
	if seeds == nil {
		seeds = p.sys.seeds()
	}
	values := map[string]string{
		"zone": p.zone, "ip": p.ip, "node": p.name, "service": p.service, "dataDir": p.data,
		"portRange.0": strconv.Itoa(p.sys.port + portPeer), "portRange.1": strconv.Itoa(p.sys.port + portTelemetry),
		"bounds.grace": "6s", "limits.memoryMb": p.sys.memory, "bootstrap": strconv.FormatBool(p.boot),
		"faultTolerance.machines": "2", "bounds.budgetWindow": "10s", "bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "48",
		"listenAddrs.control": p.address(portControl), "listenAddrs.ready": p.address(portReady),
		"listenAddrs.inbound": p.address(portInbound), "listenAddrs.outbound": p.address(portOutbound),
		"appAddr": p.address(portBackend),
	}
	out := seedSection.ReplaceAllString(string(text), strings.Join(seeds, ","))
	var missing []string
	out = placeholder.ReplaceAllStringFunc(out, func(m string) string {
		v, ok := values[m[2:len(m)-2]]
		if !ok {
			missing = append(missing, m)
		}
		return v
	})
	if len(missing) > 0 {
		return fmt.Errorf("%s: unknown placeholders %v", name, missing)
	}
	p.settings = filepath.Join(p.sys.folder, p.name+".ini")
	return os.WriteFile(p.settings, []byte(out), 0o600)
}

// start starts the process as the platform does, and restarts nothing.
func (p *process) start() error {
	if p.control {
		if err := os.MkdirAll(p.data, 0o700); err != nil {
			return err
		}
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.sys.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "serve", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	end := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.end = cmd, end
	p.mu.Unlock()
	p.sys.record.add("started %s", p.name)
	go func() {
		err := cmd.Wait()
		p.sys.record.add("ended %s: %v", p.name, err)
		close(end)
	}()
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.sys.record.add("signal %v to %s", sig, p.name)
	_ = p.cmd.Process.Signal(sig)
}

// wait waits until the process has ended.
func (p *process) wait(limit time.Duration) bool {
	select {
	case <-p.end:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(5 * time.Second)
}

// peakMemory returns the most memory that the process has used.
func (p *process) peakMemory() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.TrimSpace(rest)
		}
	}
	return "unknown"
}

// stop ends all processes and removes the temporary folder.
func (s *system) stop() {
	for _, p := range append(append([]*process{}, s.cores...), s.nodes...) {
		p.mu.Lock()
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
	for _, p := range append(append([]*process{}, s.cores...), s.nodes...) {
		if p.end != nil {
			p.wait(5 * time.Second)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// route is a row of the manifest.
type route struct {
	name, host, prefix, kind, timeout, service string
	attempts                                   int
}

// manifest returns the body of an order of the operator.
func manifest(number, base int, routes []route, services []string) []byte {
	type table struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	}
	r := table{Columns: []string{"name", "hostname", "pathPrefix", "routeType", "timeout", "targetLatency", "priority", "weightedClusters", "maxAttempts", "service"}}
	for _, v := range routes {
		r.Rows = append(r.Rows, []any{v.name, v.host, v.prefix, v.kind, v.timeout, "1500ms", 2, nil, v.attempts, v.service})
	}
	t := table{Columns: []string{"name", "healthCheckPath", "maxConnections", "protocol", "tls"}}
	for _, v := range services {
		t.Rows = append(t.Rows, []any{v, "/health", 976, "h1", false})
	}
	data, err := json.Marshal(map[string]any{
		"version": "r" + strconv.Itoa(number), "baseVersion": "r" + strconv.Itoa(base), "routes": r, "services": t,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// order sends a manifest to one machine after another until it is acknowledged or refused.
func (s *system) order(body []byte, limit time.Duration) (int, error) {
	end := time.Now().Add(limit)
	var last error
	for n := 0; time.Now().Before(end); n++ {
		status, err := s.send(http.MethodPut, s.cores[n%len(s.cores)], "/config", body)
		last = err
		if err == nil && status < 500 {
			return status, nil
		}
		if err == nil {
			last = fmt.Errorf("status %d", status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, last
}

// send sends one call to a machine's control address.
func (s *system) send(method string, p *process, path string, body []byte) (int, error) {
	status, _, err := s.exchange(method, p.address(portControl), path, body)
	s.record.add("%s %s at %s: %d %v", method, path, p.name, status, err)
	return status, err
}

func (s *system) exchange(method, address, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	a, err := s.http.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	return a.StatusCode, data, err
}

// ready reports whether a node's readiness address answers 200.
func (p *process) ready() bool {
	status, _, err := p.sys.exchange(http.MethodGet, p.address(portReady), "/readiness", nil)
	return err == nil && status == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (s *system) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		all := true
		for _, p := range s.nodes {
			all = all && p.ready()
		}
		if all {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, began: time.Now()}, err
}

func (r *recorder) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}
