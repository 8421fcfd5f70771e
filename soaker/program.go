package soaker

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// process is one waxwingseam process with a record of its faults.
type process struct {
	name         string
	binary       string
	settingsPath string
	logPath      string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// exitExpected is set once SIGTERM or SIGKILL is sent to the running process.
	exitExpected bool
	// stopping lists the intervals from SIGTERM to the exit, disturbed those of
	// kills and pauses.
	stopping, disturbed []interval
	// unexpectedExits describes the exits that the soak did not cause.
	unexpectedExits []string
}

// interval is a time interval; to is zero until the interval ends.
type interval struct{ from, to time.Time }

// overlaps reports whether two intervals overlap.
func (i interval) overlaps(o interval) bool {
	return (o.to.IsZero() || !i.from.After(o.to)) && (i.to.IsZero() || !o.from.After(i.to))
}

func anyOverlaps(list []interval, o interval) bool {
	return slices.ContainsFunc(list, o.overlaps)
}

func newProcess(config Config, name, settings string) (*process, error) {
	p := &process{
		name:         name,
		binary:       config.Program,
		settingsPath: filepath.Join(config.Folder, name+".ini"),
		logPath:      filepath.Join(config.Folder, name+".log"),
	}
	return p, trace.ConvertSystemError(os.WriteFile(p.settingsPath, []byte(settings), 0o600))
}

// start starts the process and appends its output to the log.
func (p *process) start() error {
	logFile, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = logFile.Close() }()
	p.mu.Lock()
	defer p.mu.Unlock()
	// No context ends the process; the soak ends it by signals.
	command := exec.CommandContext(context.Background(), p.binary, "serve", "--settings", p.settingsPath)
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return trace.ConvertSystemError(err)
	}
	exited := make(chan struct{})
	p.command, p.exited, p.exitExpected = command, exited, false
	go func() {
		err := command.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.exitExpected {
			p.unexpectedExits = append(p.unexpectedExits, p.name+" exited unexpectedly: "+errorText(err)+p.logTail())
		}
		close(exited)
	}()
	return nil
}

func errorText(err error) string {
	if err == nil {
		return "exit 0"
	}
	return err.Error()
}

// logTail returns the last maxTailBytes of the log.
func (p *process) logTail() string {
	const maxTailBytes = 2000
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return ""
	}
	return "\n" + string(bytes.TrimSpace(data[max(len(data)-maxTailBytes, 0):]))
}

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.exitExpected = true
	}
	// The process may have exited already. The goroutine of start records that.
	_ = p.command.Process.Signal(s)
}

// stop sends SIGTERM and reports whether the process exits within the timeout. A
// process that does not is killed.
func (p *process) stop(timeout time.Duration) bool {
	from := time.Now()
	p.beginInterval(&p.stopping, from)
	p.signal(syscall.SIGTERM)
	exitedInTime := true
	select {
	case <-p.exited:
	case <-time.After(timeout):
		exitedInTime = false
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	p.endInterval(&p.stopping, from)
	return exitedInTime
}

// kill sends SIGKILL and waits for the exit.
func (p *process) kill() {
	from := time.Now()
	p.beginInterval(&p.disturbed, from)
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.endInterval(&p.disturbed, from)
}

// pause suspends the process for a time.
func (p *process) pause(d time.Duration) {
	from := time.Now()
	p.beginInterval(&p.disturbed, from)
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	p.endInterval(&p.disturbed, from)
}

// beginInterval appends an interval that begins at from.
func (p *process) beginInterval(list *[]interval, from time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*list = append(*list, interval{from: from})
}

// endInterval ends the interval that began at from.
func (p *process) endInterval(list *[]interval, from time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range *list {
		if (*list)[i].from.Equal(from) {
			(*list)[i].to = time.Now()
		}
	}
}

// intervals returns copies of the intervals and of the unexpected exits.
func (p *process) intervals() (stopping, disturbed []interval, unexpectedExits []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.stopping), slices.Clone(p.disturbed), slices.Clone(p.unexpectedExits)
}
