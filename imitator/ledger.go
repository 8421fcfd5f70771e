package imitator

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// RunState is how far a run came.
type RunState uint8

const (
	// RunOpen is a run that goes on.
	RunOpen RunState = iota
	// RunDone is a run whose work was completed.
	RunDone
	// RunFailed is a run that ended because a child call failed.
	RunFailed
	// RunInterrupted is a run whose caller went away.
	RunInterrupted
)

// Run is one run of a request at a stand-in.
type Run struct {
	// Context is the context header that the run came with.
	Context string
	Method  string
	Path    string
	Tag     string
	Key     string
	State   RunState
	Began   time.Time
	Ended   time.Time
}

// Ledger lists the runs of a stand-in.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

// Runs returns a copy of the list.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

func (l *Ledger) begin(r *http.Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, Run{
		Context: r.Header.Get(ContextHeader),
		Method:  r.Method,
		Path:    r.URL.Path,
		Tag:     r.Header.Get(TagHeader),
		Key:     r.Header.Get("Idempotency-Key"),
		Began:   time.Now(),
	})
	return len(l.runs) - 1
}

func (l *Ledger) end(run int, state RunState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[run].State = state
	l.runs[run].Ended = time.Now()
}
