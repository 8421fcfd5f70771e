package imitator

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// RunState is the state of a run.
type RunState uint8

const (
	// RunOpen is a run in progress.
	RunOpen RunState = iota
	// RunDone is a run whose work was completed.
	RunDone
	// RunFailed is a run that failed because a child call failed.
	RunFailed
	// RunInterrupted is a run whose request ended before its work was completed.
	RunInterrupted
)

// Run is the execution of one request at a stand-in.
type Run struct {
	// Context, Tag and Key are the values of the ContextHeader, TagHeader and
	// Idempotency-Key headers of the request.
	Context string
	Method  string
	Path    string
	Tag     string
	Key     string
	State   RunState
	Began   time.Time
	Ended   time.Time
}

// Ledger records the runs of a stand-in.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

// Runs returns a copy of the runs in the order in which they began.
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
