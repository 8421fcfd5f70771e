package imitator

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"
)

// ending ends the stand-in like a process that is killed, and starts it again.
type ending struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	down  bool
	ends  []time.Time
	// arrivals counts the requests that end the stand-in.
	arrivals int
	// restart is closed when the stand-in is to listen again.
	restart chan struct{}
}

// track keeps the set of open connections.
func (e *ending) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		if e.conns == nil {
			e.conns = map[net.Conn]struct{}{}
		}
		e.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	}
}

// Ends returns how often the stand-in has ended, and how many requests that end it have
// arrived.
func (i *Imitator) Ends() (ends, arrivals int) {
	i.ending.mu.Lock()
	defer i.ending.mu.Unlock()
	return len(i.ending.ends), i.ending.arrivals
}

// EndTimes returns when the stand-in has ended.
func (i *Imitator) EndTimes() []time.Time {
	i.ending.mu.Lock()
	defer i.ending.mu.Unlock()
	return slices.Clone(i.ending.ends)
}

// End closes the listener and resets all connections. The stand-in listens again after a
// time. It does nothing while the stand-in is down.
func (i *Imitator) End(downTime time.Duration) {
	e := &i.ending
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	e.ends = append(e.ends, time.Now())
	e.restart = make(chan struct{})
	_ = i.listener.Close()
	for c := range e.conns {
		if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	if i.config.OnEnd != nil {
		go i.config.OnEnd(downTime)
	}
	restart := e.restart
	time.AfterFunc(downTime, func() { close(restart) })
}

// endedBy reports whether a request ends the stand-in, and ends it after the configured
// delay if so.
func (i *Imitator) endedBy(r *http.Request, body []byte) bool {
	text := i.config.EndText
	if text == "" || !strings.Contains(r.URL.Path, text) && !bytes.Contains(body, []byte(text)) {
		return false
	}
	i.ending.mu.Lock()
	i.ending.arrivals++
	i.ending.mu.Unlock()
	select {
	case <-time.After(i.config.EndDelay):
		i.End(i.config.DownTime)
	case <-r.Context().Done():
		// The server ends all the same, of this request or of another one.
		i.End(i.config.DownTime)
	}
	return true
}

// awaitRestart waits until the stand-in listens again. It reports false if it has not ended
// or the context ends first.
func (i *Imitator) awaitRestart(ctx context.Context) bool {
	i.ending.mu.Lock()
	down, restart := i.ending.down, i.ending.restart
	i.ending.mu.Unlock()
	if !down {
		return false
	}
	select {
	case <-restart:
		return i.relisten(ctx) == nil
	case <-ctx.Done():
		return false
	}
}

// relisten listens on the address that the stand-in had before.
func (i *Imitator) relisten(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", i.Address().String())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if i.config.Connections > 0 {
		listener = netutil.LimitListener(listener, i.config.Connections)
	}
	i.ending.mu.Lock()
	defer i.ending.mu.Unlock()
	i.listener = listener
	i.ending.down = false
	return nil
}
