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

// program is one waxwingseam process, with what the soak does to it.
type program struct {
	name string
	path string
	file string
	log  string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// asked is set while the running process was asked to end, or killed.
	asked bool
	// leaving lists the times in which the process was told to leave, hurt those
	// in which something else was done to it.
	leaving, hurt []span
	// broken are ends that nobody asked for.
	broken []string
}

// span is a stretch of time; its end is zero while it goes on.
type span struct{ from, to time.Time }

// meets reports whether two spans overlap.
func (s span) meets(o span) bool {
	return (o.to.IsZero() || !s.from.After(o.to)) && (s.to.IsZero() || !o.from.After(s.to))
}

func meetsAny(list []span, o span) bool {
	return slices.ContainsFunc(list, o.meets)
}

func newProgram(config Config, name, settings string) (*program, error) {
	p := &program{
		name: name,
		path: config.Program,
		file: filepath.Join(config.Folder, name+".ini"),
		log:  filepath.Join(config.Folder, name+".log"),
	}
	return p, trace.ConvertSystemError(os.WriteFile(p.file, []byte(settings), 0o600))
}

// start starts the process anew; its output is appended to the log.
func (p *program) start() error {
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = out.Close() }()
	p.mu.Lock()
	defer p.mu.Unlock()
	// The process outlasts every context: the soak ends it by signals.
	command := exec.CommandContext(context.Background(), p.path, "serve", "--settings", p.file)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return trace.ConvertSystemError(err)
	}
	exited := make(chan struct{})
	p.command, p.exited, p.asked = command, exited, false
	go func() {
		err := command.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.asked {
			p.broken = append(p.broken, p.name+" ended by itself: "+errorText(err)+p.lastWords())
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

// lastWords returns the end of the log.
func (p *program) lastWords() string {
	const most = 2000
	data, err := os.ReadFile(p.log)
	if err != nil {
		return ""
	}
	return "\n" + string(bytes.TrimSpace(data[max(len(data)-most, 0):]))
}

// signal sends a signal to the running process.
func (p *program) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.asked = true
	}
	// The process may have ended meanwhile, which its end reports.
	_ = p.command.Process.Signal(s)
}

// stop asks the process to end and reports whether it did within a time; after
// that it is killed.
func (p *program) stop(within time.Duration) bool {
	from := time.Now()
	p.note(&p.leaving, from)
	p.signal(syscall.SIGTERM)
	inTime := true
	select {
	case <-p.exited:
	case <-time.After(within):
		inTime = false
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	p.finish(&p.leaving, from)
	return inTime
}

// kill ends the process at once.
func (p *program) kill() {
	from := time.Now()
	p.note(&p.hurt, from)
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.finish(&p.hurt, from)
}

// pause holds the process for a time.
func (p *program) pause(d time.Duration) {
	from := time.Now()
	p.note(&p.hurt, from)
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	p.finish(&p.hurt, from)
}

// note begins a span.
func (p *program) note(list *[]span, from time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*list = append(*list, span{from: from})
}

// finish ends the span that began at a time.
func (p *program) finish(list *[]span, from time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range *list {
		if (*list)[i].from.Equal(from) {
			(*list)[i].to = time.Now()
		}
	}
}

// spans returns copies of the spans.
func (p *program) spans() (leaving, hurt []span, broken []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.leaving), slices.Clone(p.hurt), slices.Clone(p.broken)
}
