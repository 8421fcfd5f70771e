//go:build review2

package stand2

import (
	"time"
)

// probe is the usual path: one request to each service from each node.
func probe(s *system, _ bool) (int, error) {
	routes := []route{{"r-a", hostName, "/a/", "safe", "5000ms", "alpha", 2}, {"r-b", hostName, "/b/", "unsafe", "5000ms", "beta", 2}}
	if err := s.startAll(5, []string{"alpha", "alpha", "beta", "beta"}, manifest(3, 0, routes, []string{"alpha", "beta"})); err != nil {
		return failed, err
	}
	for n, p := range s.nodes {
		b, err := startBackend(s, p, "i-"+string(rune('a'+n)), time.Now().UnixMilli(), 20*time.Millisecond)
		if err != nil {
			return failed, err
		}
		go b.beat()
	}
	time.Sleep(3 * time.Second)
	for _, p := range s.nodes {
		for _, target := range []string{"/a/x", "/b/x"} {
			id := newID()
			a := call(p.address(portOutbound), "GET", target, id, nil, 5*time.Second)
			s.record.add("client at %s: %s %s: %d %v %s", p.name, target, id, a.status, a.err, a.body)
		}
	}
	return held, nil
}
