package balancer

import (
	"math/rand/v2"
	"time"

	"waxwingseam.example/waxwingseam"
)

// knownServer is what the answers that the node received say of one incarnation of a
// backend server.
type knownServer struct {
	backend waxwingseam.BackendIncarnation
	limited bool
	rate    float64
	leaving bool
	// at is when the node received the latest answer with a statement.
	at time.Time
}

// maxKnownServers bounds the servers that are remembered; those whose last statement
// is the oldest are dropped first.
const maxKnownServers = 4096

// knownServer returns what is known of the current incarnation of an announced server.
// An announcement of an earlier incarnation changes nothing.
func (b *balancer) knownServer(c *waxwingseam.Context, s waxwingseam.Server) *knownServer {
	k, ok := b.known[s.Name]
	current := s.BackendIncarnation()
	switch {
	case !ok:
		b.dropOldest()
	case k.backend.Equal(current):
		return k
	case current.Instance == "" && k.backend.Instance != "":
		// A node that has just started does not know its backend server yet.
		return k
	case current.Started.Before(k.backend.Started) && !current.Started.IsZero():
		return k
	}
	k = &knownServer{backend: current, at: c.Now}
	b.known[s.Name] = k
	return k
}

// dropOldest makes room for one more known server.
func (b *balancer) dropOldest() {
	if len(b.known) < maxKnownServers {
		return
	}
	var oldest waxwingseam.ServerName
	for name, k := range b.known {
		if _, used := b.targets[name]; used {
			continue
		}
		if o, ok := b.known[oldest]; !ok || k.at.Before(o.at) || k.at.Equal(o.at) && name < oldest {
			oldest = name
		}
	}
	delete(b.known, oldest)
}

// report returns what is known, for the server's node; nil if nothing is.
func (k *knownServer) report(c *waxwingseam.Context) *waxwingseam.KnownStatement {
	if !k.limited && !k.leaving {
		return nil
	}
	return &waxwingseam.KnownStatement{
		Backend:   k.backend,
		Statement: waxwingseam.Statement{Limited: k.limited, Rate: k.rate, Leaving: k.leaving},
		Age:       c.Now.Sub(k.at),
	}
}

// observeStatement records the statement that an answer reports. Its absence ends a
// limit only if the backend server itself answered: a node that has just started
// knows of no limit.
func (t *target) observeStatement(c *waxwingseam.Context, r waxwingseam.Result) {
	before := *t.known
	switch s := r.Load.Statement; {
	case s == nil && r.Completed():
		t.known.limited, t.known.rate = false, 0
	case s != nil && s.Backend.Equal(t.known.backend):
		t.known.limited, t.known.rate = s.Statement.Limited, s.Statement.Rate
		t.known.leaving = t.known.leaving || s.Statement.Leaving
		t.known.at = c.Now.Add(-s.Age)
	default:
		return
	}
	k := t.known
	if k.leaving != before.leaving {
		t.pool.stale = true
	}
	if k.limited == before.limited && k.rate == before.rate && k.leaving == before.leaving {
		return
	}
	c.Emit(waxwingseam.StatementChanged{
		Server:    t.server.Name,
		Backend:   k.backend,
		Statement: waxwingseam.Statement{Limited: k.limited, Rate: k.rate, Leaving: k.leaving},
		Source:    waxwingseam.StatementFromPeer,
		Age:       c.Now.Sub(k.at),
	})
}

const (
	// maxPauseDoublings bounds how often refusals in a row double a pause.
	maxPauseDoublings = 4
	// minPause and maxPause bound a pause after a refusal.
	minPause = 20 * time.Millisecond
	maxPause = time.Second
)

// pause keeps calls from a server whose rate limit is used up, while other servers
// can take them.
type pause struct {
	until    time.Time
	refusals int
}

// observe starts a pause for the time that one more call would wait at the server, or
// ends it. Refusals in a row prolong the pause, because the other nodes that send to
// the server use the rate as well; the pause is partly random so that they do not all
// return at once.
func (p *pause) observe(c *waxwingseam.Context, r waxwingseam.Result) {
	delay := r.Load.RateDelay
	if r.Reason != waxwingseam.ReasonRateLimited {
		p.refusals = 0
		p.until = c.Now.Add(min(delay, maxPause))
		return
	}
	delay = min(max(delay, minPause)<<min(p.refusals, maxPauseDoublings), maxPause)
	p.refusals++
	p.until = c.Now.Add(randomized(c.Random(), delay))
}

// randomized returns a random time between d and half of it.
func randomized(random *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(random.Int64N(int64(d/2)+1))
}

func (p *pause) remaining(now time.Time) time.Duration {
	if !p.until.After(now) {
		return 0
	}
	return p.until.Sub(now)
}

// paused rejects servers whose rate limit is used up.
func paused(c *waxwingseam.Context, _ waxwingseam.Query, t *target) bool {
	return t.paused(c)
}

func (t *target) paused(c *waxwingseam.Context) bool {
	return t.pause.remaining(c.Now) > 0
}

// hasUnlimitedServer reports whether a server names no rate limit.
func (p *pool) hasUnlimitedServer() bool {
	for _, t := range p.members {
		if !t.known.limited {
			return true
		}
	}
	return false
}
