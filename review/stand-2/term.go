//go:build review2

package main

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// term stops a node with SIGTERM while the backend beside it runs a request. The backend
// makes a call through that node 3.3 s after the signal. The node reads the call, passes it
// on, and breaks it off before the grace time is over.
func term(s *system, trouble bool) (int, error) {
	const (
		callAfter = 3300 * time.Millisecond
		callWork  = 2300 * time.Millisecond
	)
	routes := []route{
		{"r-a", hostName, "/a/", "safe", "8000ms", "alpha", 1},
		{"r-b", hostName, "/b/", "safe", "8000ms", "beta", 1},
	}
	if err := s.startAll(5, []string{"alpha", "beta", "gamma"}, manifest(3, 0, routes, []string{"alpha", "beta", "gamma"})); err != nil {
		return failed, err
	}
	var signalled time.Time
	var mu sync.Mutex
	var child answer
	childDone := make(chan struct{})
	for n, p := range s.nodes {
		b, err := startBackend(s, p, "i-"+string(rune('a'+n)), time.Now().UnixMilli(), callWork)
		if err != nil {
			return failed, err
		}
		if p.service == "alpha" {
			b.answer = func(b *backend, c net.Conn, r *http.Request, body []byte) (bool, bool) {
				b.noteRun(r, body)
				mu.Lock()
				at := signalled
				mu.Unlock()
				time.Sleep(time.Until(at.Add(callAfter)))
				id := r.Header.Get("X-Request-Id") + ".1"
				s.record.add("backend %s calls /b/x as %s through its node, %.3f s after SIGTERM", b.id, id, time.Since(at).Seconds())
				a := call(b.node.address(portOutbound), "GET", "/b/x", id, nil, 4*time.Second)
				s.record.add("the call %s ended %.3f s after SIGTERM: status %d, %v", id, time.Since(at).Seconds(), a.status, a.err)
				child = a
				close(childDone)
				return false, false
			}
		}
		go b.beat()
	}
	time.Sleep(4 * time.Second)
	parent := make(chan answer, 1)
	mu.Lock()
	signalled = time.Now().Add(500 * time.Millisecond)
	mu.Unlock()
	go func() {
		id := newID()
		a := call(s.nodes[2].address(portOutbound), "GET", "/a/x", id, nil, 8*time.Second)
		s.record.add("client at %s: /a/x %s: status %d, %v, body %q", s.nodes[2].name, id, a.status, a.err, a.body)
		parent <- a
	}()
	time.Sleep(time.Until(signalled))
	if trouble {
		s.nodes[0].signal(syscall.SIGTERM)
	}
	select {
	case <-childDone:
	case <-time.After(10 * time.Second):
	}
	<-parent
	mu.Lock()
	defer mu.Unlock()
	if child.err != nil || child.status/100 != 2 && child.status != 503 {
		s.record.add("the call was read and passed on, and ended without a complete answer")
		return broken, nil
	}
	if !strings.HasPrefix(string(child.body), "answer") && child.status == 200 {
		return broken, nil
	}
	return held, nil
}
