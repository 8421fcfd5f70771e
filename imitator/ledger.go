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
	// RunOpen is the state of a run in progress.
	RunOpen RunState = iota
	// RunDone is the state of a run whose work was completed.
	RunDone
	// RunFailed is the state of a run that failed because a child call failed.
	RunFailed
	// RunInterrupted is the state of a run whose request ended before its work was
	// completed.
	RunInterrupted
)

// Run is the execution of one request at a stand-in.
type Run struct {
	// Context is the value of the request's ContextHeader.
	Context string
	Method  string
	Path    string
	// Tag is the value of the request's TagHeader.
	Tag string
	// Key is the value of the request's Idempotency-Key header.
	Key string
	// Account is the value of the request's AccountHeader, and Authorized is set if the
	// request has an Authorization header.
	Account    string
	Authorized bool
	State      RunState
	Began      time.Time
	// Ended is zero while the run is open.
	Ended time.Time
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

// begin records the start of a run and returns its index for end.
func (l *Ledger) begin(r *http.Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, Run{
		Context:    r.Header.Get(ContextHeader),
		Method:     r.Method,
		Path:       r.URL.Path,
		Tag:        r.Header.Get(TagHeader),
		Key:        r.Header.Get("Idempotency-Key"),
		Account:    r.Header.Get(AccountHeader),
		Authorized: len(r.Header.Values("Authorization")) > 0,
		Began:      time.Now(),
	})
	return len(l.runs) - 1
}

func (l *Ledger) end(run int, state RunState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[run].State = state
	l.runs[run].Ended = time.Now()
}
