package forwarder

import (
	"context"
	"errors"
	"syscall"
	"time"

	"waxwingseam.example/waxwingseam"
)

// probeDelays are the times between the checks of a probe. A process that ends closes its
// connections and its listener one after another.
var probeDelays = []time.Duration{0, 20 * time.Millisecond, 80 * time.Millisecond}

// probeBackend carries out a ProbeBackend. It uses one connection as long as that stays
// open, and leaves it to the next request.
func (f *Forwarder) probeBackend() {
	refused := f.backend.probe()
	f.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.BackendProbed{Stamp: s, Refused: refused}
	})
}

// probe reports whether nothing listens at the backend server's address.
func (p *backendConns) probe() (refused bool) {
	var c *backendConn
	for _, delay := range probeDelays {
		time.Sleep(delay)
		if c != nil && c.quiet() {
			continue
		}
		if c != nil {
			c.close()
		}
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		var err error
		c, err = p.dial(ctx)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err != nil {
			return false
		}
	}
	p.put(c)
	return false
}
