package experimenter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMisleadingServers checks that a demand that leaves room for the loss of a
// server is served whatever the servers say.
func TestMisleadingServers(t *testing.T) {
	t.Parallel()
	for _, d := range Deployments() {
		for _, c := range misleadCases(d, 3*time.Second) {
			t.Run(d.Name+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				saturation := saturations.Prepare(&c)
				bound{layer: Waxwingseam()}.check(t, c, saturation)
				c.Config.Layer = Waxwingseam()
				r := Run(c.Config)
				share := r.Goodput / (sparedDemand * saturation)
				qt.Check(t, share >= targetGoodput, qt.IsTrue, qt.Commentf("served %.3f", share))
			})
		}
	}
}

// TestFanOut checks roots with parallel and sequential calls of which a small
// service takes two.
func TestFanOut(t *testing.T) {
	t.Parallel()
	bound{Waxwingseam(), fanCases, time.Second, true}.run(t, "surge 3x")
}

// TestFanOutAttempts checks the attempts of such roots while servers restart.
func TestFanOutAttempts(t *testing.T) {
	t.Parallel()
	for _, d := range Deployments() {
		c := fanCases(d, 3*time.Second)[1]
		saturations.Prepare(&c)
		c.Config.Layer = Waxwingseam()
		r := Run(c.Config)
		qt.Check(t, r.MaxAttempts <= calls(c.Config.Plan)+allowance, qt.IsTrue, qt.Commentf("attempts %d", r.MaxAttempts))
		qt.Check(t, r.Recovered && r.Recovery <= targetRecovery, qt.IsTrue, qt.Commentf("recovery %v", r.Recovery))
		qt.Check(t, r.OpenCalls, qt.Equals, 0)
	}
}

// TestCallersLeave checks that what leaving callers cost others nothing.
func TestCallersLeave(t *testing.T) {
	t.Parallel()
	bound{Waxwingseam(), leaveCases, time.Second, false}.run(t)
	bound{Waxwingseam(), stayCases, time.Second, false}.run(t)
}

// TestGoodputWhileCallersLeave holds such a surge to the target for goodput: at
// once where those who stay asked for the usual demand before it, and over a
// longer surge where they asked for less, as the first chain of calls takes
// most of a second and is filled by what was asked before.
func TestGoodputWhileCallersLeave(t *testing.T) {
	t.Parallel()
	bound{Waxwingseam(), stayCases, time.Second, true}.run(t)
	bound{Waxwingseam(), leaveCases, longSurgeTime, true}.run(t)
}

// TestWorkStopsHopByHop lets a caller leave while its root runs at each depth
// of a chain, and checks that one hop later nothing runs one hop further down.
func TestWorkStopsHopByHop(t *testing.T) {
	for _, d := range Deployments() {
		for _, depth := range []int{4, 13} {
			config := newConfig(d, depth, time.Second)
			config.Layer = Waxwingseam()
			w := newWorld(config)
			c := newCallers(w)
			c.issue()
			reach := w.zero.Add(d.ClientDelay)
			for running(w) < depth {
				reach = reach.Add(d.Delay)
				w.agenda.runUntil(reach)
			}
			left := w.agenda.now
			for _, call := range w.calls {
				if call.job == nil {
					c.leave(call.root)
				}
			}
			for hop := 1; hop <= depth; hop++ {
				w.agenda.runUntil(left.Add(time.Duration(hop)*d.Delay + 1))
				qt.Check(t, running(w) <= depth-hop, qt.IsTrue, qt.Commentf("%s: %d run %d hops after", d.Name, running(w), hop))
			}
		}
	}
}

// running counts the runs at all backend servers.
func running(w *World) int {
	n := 0
	for _, v := range w.nodes {
		n += len(v.backend.jobs)
	}
	return n
}
