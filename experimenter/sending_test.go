package experimenter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMisleadingServers checks that a demand with room for the loss of one
// server is served despite misleading servers.
func TestMisleadingServers(t *testing.T) {
	t.Parallel()
	for _, d := range Deployments() {
		for _, c := range misleadingServerCases(d, 3*time.Second) {
			t.Run(d.Name+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				saturation := saturations.Prepare(&c)
				boundsCheck{layer: Waxwingseam()}.check(t, c, saturation)
				c.Config.Layer = Waxwingseam()
				r := Run(c.Config)
				share := r.Goodput / (headroomDemand * saturation)
				qt.Check(t, share >= targetGoodput, qt.IsTrue, qt.Commentf("served %.3f", share))
			})
		}
	}
}

// TestFanOut checks a surge of roots with parallel and sequential calls, two
// of them to one small service.
func TestFanOut(t *testing.T) {
	t.Parallel()
	boundsCheck{Waxwingseam(), fanOutCases, time.Second, true}.run(t, "surge 3x")
}

// TestFanOutAttempts checks that roots with parallel calls do not exceed their
// attempts while servers restart, and that the deployment recovers.
func TestFanOutAttempts(t *testing.T) {
	t.Parallel()
	for _, d := range Deployments() {
		c := fanOutCases(d, 3*time.Second)[1]
		saturations.Prepare(&c)
		c.Config.Layer = Waxwingseam()
		r := Run(c.Config)
		qt.Check(t, r.MaxAttempts <= countCalls(c.Config.Plan)+retryAllowance, qt.IsTrue, qt.Commentf("attempts %d", r.MaxAttempts))
		qt.Check(t, r.Recovered && r.Recovery <= targetRecovery, qt.IsTrue, qt.Commentf("recovery %v", r.Recovery))
		qt.Check(t, r.OpenCalls, qt.Equals, 0)
	}
}

// TestCallersLeave checks the targets other than goodput while callers leave.
func TestCallersLeave(t *testing.T) {
	t.Parallel()
	boundsCheck{Waxwingseam(), leaveCases, time.Second, false}.run(t)
	boundsCheck{Waxwingseam(), leaveCasesAtUsualDemand, time.Second, false}.run(t)
}

// TestGoodputWhileCallersLeave checks that the requests of the callers that stay are
// served during a surge in which others leave. The surge is longer if the demand
// before it is reduced: the first chain of calls takes most of a second, in which
// only requests from before the surge are served.
func TestGoodputWhileCallersLeave(t *testing.T) {
	t.Parallel()
	boundsCheck{Waxwingseam(), leaveCasesAtUsualDemand, time.Second, true}.run(t)
	boundsCheck{Waxwingseam(), leaveCases, longSurgeTime, true}.run(t)
}

// TestCancellationStopsRunsHopByHop lets a caller leave while a run is open at
// each depth of a chain, and checks that one more run has ended after each hop's
// delay.
func TestCancellationStopsRunsHopByHop(t *testing.T) {
	for _, d := range Deployments() {
		for _, depth := range []int{4, 13} {
			config := newConfig(d, depth, time.Second)
			config.Layer = Waxwingseam()
			w := newWorld(config)
			c := newCallers(w)
			c.issue()
			reach := w.startTime.Add(d.ClientDelay)
			for running(w) < depth {
				reach = reach.Add(d.Delay)
				w.scheduler.runUntil(reach)
			}
			leftAt := w.scheduler.now
			for _, call := range w.calls {
				if call.parent == nil {
					c.leave(call.root)
				}
			}
			for hop := 1; hop <= depth; hop++ {
				w.scheduler.runUntil(leftAt.Add(time.Duration(hop)*d.Delay + 1))
				qt.Check(t, running(w) <= depth-hop, qt.IsTrue, qt.Commentf("%s: %d runs %d hops after the caller left", d.Name, running(w), hop))
			}
		}
	}
}

// running returns the number of runs at all backend servers.
func running(w *World) int {
	n := 0
	for _, v := range w.nodes {
		n += len(v.backend.jobs)
	}
	return n
}
