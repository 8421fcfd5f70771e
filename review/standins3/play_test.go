//go:build review3

package standins3

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case: its folder, its record and the processes that it started.
type play struct {
	program string
	folder  string
	// trouble is unset if the disruption is left out.
	trouble bool
	began   time.Time
	port    int

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

func newPlay(program, record string) (*play, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	port, err := freePorts()
	if err != nil {
		return nil, err
	}
	return &play{
		program: program,
		folder:  folder,
		trouble: os.Getenv("TROUBLE") != "0",
		began:   time.Now(),
		port:    port,
		record:  file,
	}, nil
}

// portRange is the number of ports that each machine uses, from play.port on.
const portRange = 20

// freePorts returns the first of portRange ports that are free on the loopback addresses used.
func freePorts() (int, error) {
	for first := 20000 + os.Getpid()%500*20; first < 60000; first += portRange {
		if portsAreFree(first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func portsAreFree(first int) bool {
	for n := range portRange {
		for _, host := range []int{coreHost, sideHost} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.1:%d", host, first+n))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// note writes a line to the record and to the standard output.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = p.record.WriteString(line)
	fmt.Print(line)
}

// end ends all processes and removes what they wrote.
func (p *play) end() {
	for _, v := range p.processes {
		v.kill()
	}
	_ = p.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.folder)
	}
}

// process is one process of the system, with the settings that the deploy file renders.
type process struct {
	play     *play
	name     string
	template string
	values   map[string]string
	cmd      *exec.Cmd
	exited   chan struct{}
}

func (p *play) newProcess(name, template string, values map[string]string) *process {
	v := &process{play: p, name: name, template: template, values: values}
	p.processes = append(p.processes, v)
	return v
}

// start renders the settings and starts the process.
func (v *process) start() error {
	data, err := os.ReadFile(v.template)
	if err != nil {
		return err
	}
	text := string(data)
	for name, value := range v.values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return fmt.Errorf("%s: a placeholder is left:\n%s", v.template, text)
	}
	settings := filepath.Join(v.play.folder, v.name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(v.play.folder, v.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	v.cmd = exec.Command(v.play.program, "serve", "--settings", settings)
	v.cmd.Stdout, v.cmd.Stderr = logFile, logFile
	if err := v.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := v.cmd, make(chan struct{})
	v.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (v *process) signal(s syscall.Signal) {
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits until it is gone.
func (v *process) kill() {
	if v.cmd == nil {
		return
	}
	v.signal(syscall.SIGKILL)
	<-v.exited
	v.cmd = nil
}
