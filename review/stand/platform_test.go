//go:build review

package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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

// The limits of a machine, as the settings of the deployment state them.
const (
	sideMemoryMB = 284
	coreMemoryMB = 280
	toleratedMax = 2
	grace        = 6 * time.Second
)

// recorder writes what happens to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, start: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// machine is a host with one process of the system.
type machine struct {
	d        *deployment
	name     string
	role     string
	class    string
	zone     string
	ip       string
	service  string
	memoryMB int
	first    bool

	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	expected bool
	ownEnds  int
}

// ports of a machine; they are the same on all machines.
type ports struct {
	peer, telemetry, inbound, app, ready, outbound, control int
}

// deployment is a small installation on loopback addresses.
type deployment struct {
	root   string
	dir    string
	record *recorder
	ports  ports
	run    map[string][]string
	tmpl   map[string]string
	core   []*machine
	side   []*machine
	seeds  []string
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

func newDeployment(record *recorder, core int, services []string) (*deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, record: record, run: map[string][]string{}, tmpl: map[string]string{}}
	if err := d.readDeployFile(); err != nil {
		return nil, err
	}
	for i := range core {
		d.core = append(d.core, &machine{
			d: d, name: fmt.Sprintf("core-%s-%d", zones[i%3], i/3+1), role: "control", class: "core", zone: zones[i%3],
			ip: fmt.Sprintf("127.77.1.%d", 10+i), memoryMB: coreMemoryMB, first: true,
		})
	}
	for i, s := range services {
		d.side = append(d.side, &machine{
			d: d, name: fmt.Sprintf("sidecar-%s-%d", zones[i%3], i/3+1), role: "node", class: "sidecar", zone: zones[i%3],
			ip: fmt.Sprintf("127.77.2.%d", 10+i), service: s, memoryMB: sideMemoryMB, first: true,
		})
	}
	if err := d.findPorts(); err != nil {
		return nil, err
	}
	for i := range min(3, core) {
		d.seeds = append(d.seeds, fmt.Sprintf("%s:%d", d.core[i].ip, d.ports.control))
	}
	return d, nil
}

// readDeployFile reads the commands and templates of the roles.
func (d *deployment) readDeployFile() error {
	data, err := os.ReadFile(filepath.Join(d.root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	role := ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[roles.") {
			role = strings.TrimSuffix(strings.TrimPrefix(line, "[roles."), "]")
		}
		key, value, _ := strings.Cut(line, "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(key) {
		case "run":
			d.run[role] = strings.Fields(value)
		case "template":
			text, err := os.ReadFile(filepath.Join(d.root, value))
			if err != nil {
				return err
			}
			d.tmpl[role] = string(text)
		}
	}
	return nil
}

// findPorts finds ports that are free on all machines.
func (d *deployment) findPorts() error {
	for base := 21000; base < 29000; base += 16 {
		if d.free(base) {
			d.ports = ports{base, base + 1, base + 8, base + 9, base + 10, base + 11, base + 12}
			return nil
		}
	}
	return errors.New("no free ports")
}

func (d *deployment) free(base int) bool {
	for _, m := range append(append([]*machine{}, d.core...), d.side...) {
		for p := base; p < base+13; p++ {
			l, err := net.Listen("tcp", net.JoinHostPort(m.ip, strconv.Itoa(p)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }
func (m *machine) outbound() string        { return m.address(m.d.ports.outbound) }
func (m *machine) control() string         { return m.address(m.d.ports.control) }
func (m *machine) app() string             { return m.address(m.d.ports.app) }
func (m *machine) ready() string           { return m.address(m.d.ports.ready) }

// fields returns the settings of the machine under the names of the pages.
func (m *machine) fields() map[string]any {
	p := m.d.ports
	listen := map[string]any{"control": m.control()}
	if m.class == "sidecar" {
		listen["inbound"] = m.address(p.inbound)
		listen["outbound"] = m.outbound()
		listen["ready"] = m.ready()
	}
	return map[string]any{
		"node": m.name, "ip": m.ip, "zone": m.zone, "bootstrap": m.first, "service": m.service, "appAddr": m.app(),
		"dataDir":        filepath.Join(m.d.dir, "data-"+m.name),
		"limits":         map[string]any{"memoryMb": m.memoryMB},
		"portRange":      []any{p.peer, p.peer + 7},
		"seeds":          m.d.seeds,
		"listenAddrs":    listen,
		"faultTolerance": map[string]any{"machines": toleratedMax},
		"bounds": map[string]any{
			"grace": "6s", "budgetWindow": "10s", "retryBudgetRatio": 0.2, "retryBudgetSlack": 48,
		},
	}
}

var (
	seedSection = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)
)

// render fills in a template.
func render(text string, fields map[string]any) string {
	text = seedSection.ReplaceAllString(text, strings.Join(fields["seeds"].([]string), ","))
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		var at any = fields
		for part := range strings.SplitSeq(placeholder.FindStringSubmatch(s)[1], ".") {
			switch v := at.(type) {
			case map[string]any:
				at = v[part]
			case []any:
				n, _ := strconv.Atoi(part)
				at = v[n]
			}
		}
		if at == nil {
			return ""
		}
		return fmt.Sprint(at)
	})
}

func (m *machine) settingsPath() string {
	return filepath.Join(m.d.dir, m.name+".toml")
}

// writeSettings places the settings file of the machine.
func (m *machine) writeSettings() error {
	path := m.settingsPath()
	if err := os.WriteFile(path+".new", []byte(render(m.d.tmpl[m.role], m.fields())), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts the machine's process.
func (m *machine) start() error {
	if m.class == "core" {
		if err := os.MkdirAll(filepath.Join(m.d.dir, "data-"+m.name), 0o700); err != nil {
			return err
		}
	}
	if err := m.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	words := append([]string{}, m.d.run[m.role]...)
	for i, w := range words {
		if w == "/etc/waxwingseam/settings.toml" {
			words[i] = m.settingsPath()
		}
	}
	c := exec.Command(filepath.Join(m.d.root, words[0]), words[1:]...)
	c.Dir = m.d.root
	c.Stdout, c.Stderr = log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAXWINGSEAM_CONFIG=" + m.settingsPath()}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	m.first = false
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited, m.expected = c, exited, false
	m.mu.Unlock()
	m.d.record.printf("platform: %s started", m.name)
	go func() {
		err := c.Wait()
		m.mu.Lock()
		if !m.expected {
			m.ownEnds++
		}
		m.d.record.printf("platform: %s ended, %v, asked for: %v", m.name, err, m.expected)
		m.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		m.expected = true
	}
	m.d.record.printf("platform: %v to %s", s, m.name)
	_ = m.command.Process.Signal(s)
}

// kill ends the machine's process at once.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// memory returns the resident memory of the machine's process in MB.
func (m *machine) memory() int {
	m.mu.Lock()
	pid := m.command.Process.Pid
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// startAll starts all processes within a short time.
func (d *deployment) startAll() error {
	for _, m := range append(append([]*machine{}, d.core...), d.side...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// end ends all processes that are left and removes the folder.
func (d *deployment) end() {
	for _, m := range append(append([]*machine{}, d.core...), d.side...) {
		m.mu.Lock()
		started := m.command != nil
		m.mu.Unlock()
		if !started {
			continue
		}
		select {
		case <-m.exited:
		default:
			m.mu.Lock()
			m.expected = true
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
			m.mu.Unlock()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// awaitReady waits until all nodes answer their readiness checks.
func (d *deployment) awaitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, m := range d.side {
		for !m.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + m.ready() + "/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

// order sends a request of the operator to one control machine.
func (m *machine) order(ctx context.Context, method string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.control()+"/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	return a.StatusCode, data, err
}

// put sends a manifest until it gets a clear answer.
func (d *deployment) put(document map[string]any, timeout time.Duration) (int, error) {
	body, err := json.Marshal(document)
	if err != nil {
		return 0, err
	}
	until := time.Now().Add(timeout)
	for n := 0; time.Now().Before(until); n++ {
		m := d.core[n%len(d.core)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, text, err := m.order(ctx, http.MethodPut, body)
		cancel()
		d.record.printf("operator: PUT %v to %s: %d %s %v", document["version"], m.name, status, strings.TrimSpace(string(text)), err)
		if err == nil && (status == 200 || status >= 400 && status < 500 && status != 408 && status != 429) {
			return status, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, errors.New("no clear answer to a manifest")
}

// routeRow describes one route of a manifest.
type routeRow struct {
	name, prefix, kind, service, timeout string
	attempts                             int
}

const host = "desk.example"

// manifest returns a manifest in the form of the pages.
func manifest(version, base int, services []string, routes []routeRow) map[string]any {
	rows := [][]any{}
	for _, r := range routes {
		rows = append(rows, []any{r.name, host, r.prefix, r.kind, r.timeout, "1500ms", 2, nil, r.attempts, r.service})
	}
	services2 := [][]any{}
	for _, s := range services {
		services2 = append(services2, []any{s, "/health", 976, "h1", false})
	}
	return map[string]any{
		"version":     fmt.Sprintf("r%d", version),
		"baseVersion": fmt.Sprintf("r%d", base),
		"routes": map[string]any{
			"columns": []string{"name", "hostname", "pathPrefix", "routeType", "timeout", "targetLatency", "priority", "weightedClusters", "maxAttempts", "service"},
			"rows":    rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "healthCheckPath", "maxConnections", "protocol", "tls"},
			"rows":    services2,
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
}
