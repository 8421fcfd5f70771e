//go:build review3

package standins3

import (
	"errors"
	"syscall"
	"time"
)

// replacedCore replaces a machine of the core as planned work, the new one first, and has two
// others lose their disks once the old one is gone.
func replacedCore(p *play) (held bool, err error) {
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
	time.Sleep(stableWindow + catchUp)
	c.add("false")
	p.note("core-%d starts with an empty disk, to replace core-0", coreSize)
	if err := c.restart(coreSize); err != nil {
		return false, err
	}
	time.Sleep(catchUp + time.Second)
	p.note("catchUp and 1 s have passed; core-0 gets SIGTERM and is removed")
	c.replicas[0].signal(syscall.SIGTERM)
	select {
	case <-c.replicas[0].exited:
	case <-time.After(6 * time.Second):
		return false, errors.New("core-0 did not end within grace")
	}
	p.note("core-0 has ended")
	if p.trouble {
		time.Sleep(time.Second)
		for _, n := range []int{1, 2} {
			// The seeds are machines that run.
			c.replicas[n].values[seedsPlaceholder] = p.seeds(3)
			p.note("core-%d loses its disk and starts again", n)
			if err := c.loseDisk(n); err != nil {
				return false, err
			}
		}
		p.note("2 machines lost")
	}
	return c.keeps(1, 1), nil
}
