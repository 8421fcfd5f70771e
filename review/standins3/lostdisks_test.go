//go:build review3

package standins3

import (
	"errors"
	"syscall"
	"time"
)

// lostDisks freezes a seed, has another machine lose its disk, and a third one once the second
// has had catchUp since its start. The frozen machine then loses its disk too. At no time are
// more than two machines lost.
func lostDisks(p *play) (held bool, err error) {
	c, err := p.startCore()
	if err != nil {
		return false, err
	}
	if !c.whole(coreSize, 20*time.Second) {
		return false, errors.New("the core did not found itself")
	}
	routes := []route{{"lots", "lots.example", "/lots/", "safe", "5000ms", "lotdesk", 2}}
	by, ok := c.apply(manifest(1, 0, []string{"lotdesk"}, routes), 10*time.Second)
	if !ok {
		return false, errors.New("the manifest was not acknowledged")
	}
	p.note("manifest r1 acknowledged by core-%d", by)
	// All machines calm for a while, so that nothing of the start counts.
	time.Sleep(stableWindow + catchUp)
	if p.trouble {
		p.note("core-0 freezes: 1 machine lost")
		c.replicas[0].signal(syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond)
		p.note("core-4 loses its disk and starts again: 2 machines lost")
		if err := c.loseDisk(4); err != nil {
			return false, err
		}
		time.Sleep(catchUp + 200*time.Millisecond)
		// From now on the settings name seeds that run.
		for _, n := range []int{0, 3} {
			c.replicas[n].values[seedsPlaceholder] = p.seeds(1)
		}
		p.note("catchUp and 0.2 s have passed since the start of core-4: 1 machine lost")
		p.note("core-3 loses its disk and starts again: 2 machines lost")
		if err := c.loseDisk(3); err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond)
		p.note("core-0, frozen until now, loses its disk and starts again: 2 machines lost")
		if err := c.loseDisk(0); err != nil {
			return false, err
		}
	}
	return c.keeps(1, 0), nil
}

// keeps reports whether a machine from the first one on still tells the manifest of a version
// or a later one after recover.
func (c *core) keeps(want, first int) bool {
	c.play.note("all machines run; waiting for recover, %v", recoverTime)
	time.Sleep(recoverTime)
	for until := time.Now().Add(2 * stableWindow); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for n := first; n < len(c.replicas); n++ {
			status, version := c.read(n)
			c.play.note("GET /config at core-%d: %d, r%d", n, status, version)
			if version >= want {
				return true
			}
		}
	}
	return false
}
