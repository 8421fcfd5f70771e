//go:build review2

package stand2

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// term stops a node with SIGTERM while the backend beside it runs a request. The backend
// makes a call through that node 4 s after the signal. The node reads the call, passes it
// on, and breaks it off when it exits.
func term(s *system, trouble bool) (int, error) {
	const (
		callAfter  = 4 * time.Second
		callWork   = 3 * time.Second
		callBudget = 6 * time.Second
		budget     = 12 * time.Second
	)
	routes := []route{
		{"r-a", hostName, "/a/", "safe", "12000ms", "alpha", 1},
		{"r-b", hostName, "/b/", "unsafe", "12000ms", "beta", 1},
	}
	if err := s.startAll(5, []string{"alpha", "beta", "gamma"}, manifest(3, 0, routes, []string{"alpha", "beta", "gamma"})); err != nil {
		return failed, err
	}
	var signalled time.Time
	var mu sync.Mutex
	var child answer
	var others *backend
	childDone := make(chan struct{})
	for n, p := range s.nodes {
		b, err := startBackend(s, p, "i-"+string(rune('a'+n)), time.Now().UnixMilli(), callWork)
		if err != nil {
			return failed, err
		}
		if p.service == "beta" {
			others = b
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
				a := call(b.node.address(portOutbound), "POST", "/b/x", id, nil, callBudget)
				s.record.add("the call %s ended %.3f s after SIGTERM: status %d, %v", id, time.Since(at).Seconds(), a.status, a.err)
				child = a
				close(childDone)
				status, text := "200 OK", "answer to "+r.Header.Get("X-Request-Id")
				if a.err != nil || a.status != http.StatusOK {
					status, text = "500 Internal Server Error", ""
				}
				_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Request-Id"), b.id, len(text), text)
				return true, err == nil
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
		a := call(s.nodes[2].address(portOutbound), "GET", "/a/x", id, nil, budget)
		s.record.add("client at %s: /a/x %s: status %d, %v, body %q", s.nodes[2].name, id, a.status, a.err, a.body)
		parent <- a
	}()
	time.Sleep(time.Until(signalled))
	if trouble {
		s.nodes[0].signal(syscall.SIGTERM)
	}
	select {
	case <-childDone:
	case <-time.After(budget):
		return failed, nil
	}
	<-parent
	ran := len(others.allRuns()) > 0
	s.record.add("the call has run: %v", ran)
	switch {
	case ran && child.err != nil:
		s.record.add("the call was passed on to a backend, and its connection ended without an answer")
		return broken, nil
	case ran && child.header.Get("X-Response-Seal") == "":
		s.record.add("the call was broken off while its backend was at work, with an answer of the node's own")
		return broken, nil
	}
	return held, nil
}
