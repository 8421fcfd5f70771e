package experimenter

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The project's targets for whole requests.
const (
	targetGoodput  = 0.90
	targetWasted   = 0.05
	targetRecovery = 2 * time.Second
	retryAllowance = 2
	// surgeTime is the minimum duration of a surge.
	surgeTime = 2 * time.Second
	// longSurgeTime is the minimum duration of a surge after a reduced demand.
	longSurgeTime = 4 * time.Second
	// slowTime is how long a service is slow; slowSurgeTime applies during a surge.
	slowTime      = 20 * time.Second
	slowSurgeTime = 8 * time.Second
)

// boundsCheck checks a layer against the targets.
type boundsCheck struct {
	layer           Layer
	cases           func(d Deployment, triggerDuration time.Duration) []Case
	triggerDuration time.Duration
	// saturated is set for a demand beyond saturation, where goodput is checked.
	saturated bool
}

const (
	// minRoots is the least number of roots that can be served during a trigger.
	minRoots = 1000
	// windowsAfterTarget is the number of windows judged after targetRecovery.
	windowsAfterTarget = 2
)

// lengthen extends a saturated case so that its figures can be told from chance.
func (b boundsCheck) lengthen(c *Config, saturation float64) {
	if !b.saturated || len(c.Faults) > 0 {
		return
	}
	longer := max(time.Duration(minRoots/saturation*float64(time.Second)), c.TriggerEnd-c.TriggerStart)
	c.TriggerEnd = c.TriggerStart + longer
	c.Duration = c.TriggerEnd + targetRecovery + windowsAfterTarget*c.recoveryWindow()
}

// saturations is shared by all tests.
var saturations Saturations

// run checks the cases whose name ends with one of the suffixes, or all cases.
func (b boundsCheck) run(t *testing.T, suffixes ...string) {
	for _, d := range Deployments() {
		for _, c := range b.cases(d, b.triggerDuration) {
			if !nameMatches(c, suffixes) {
				continue
			}
			t.Run(d.Name+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				b.check(t, c, saturations.Prepare(&c))
			})
		}
	}
}

func nameMatches(c Case, suffixes []string) bool {
	return len(suffixes) == 0 || slices.ContainsFunc(suffixes, func(suffix string) bool {
		return strings.HasSuffix(c.Name, suffix)
	})
}

// TestSurge checks that a surge of requests through a short chain stays within the
// targets for goodput, wasted work, attempts and recovery.
func TestSurge(t *testing.T) {
	t.Parallel()
	boundsCheck{Waxwingseam(), surgeCases, surgeTime, true}.run(t, "chain 4")
}

// TestSurgeOfNestedCalls checks the same targets for a surge through a long chain of
// calls.
func TestSurgeOfNestedCalls(t *testing.T) {
	t.Parallel()
	boundsCheck{Waxwingseam(), surgeCases, surgeTime, true}.run(t, "chain 13")
}

// TestTwoDepths checks the same targets for a surge in which one service is called at
// two depths.
func TestTwoDepths(t *testing.T) {
	t.Parallel()
	boundsCheck{Waxwingseam(), depthCases, surgeTime, true}.run(t)
}

// TestSlowService checks the same targets while the last service is slow, alone and
// during a surge.
func TestSlowService(t *testing.T) {
	t.Parallel()
	boundsCheck{Waxwingseam(), slowCases, slowTime, true}.run(t, "slower")
	boundsCheck{Waxwingseam(), slowCases, slowSurgeTime, true}.run(t, "3x")
}

// TestSlowServiceTwice checks the same targets while the last service is slow for the
// second time.
func TestSlowServiceTwice(t *testing.T) {
	t.Parallel()
	boundsCheck{Waxwingseam(), slowCases, slowTime, true}.run(t, "twice")
}

// TestColdStart checks the targets other than goodput while servers restart and are
// slow at first.
func TestColdStart(t *testing.T) {
	t.Parallel()
	boundsCheck{Waxwingseam(), coldCases, 0, false}.run(t)
}

// TestMixedClasses checks the targets other than goodput at several demands of all
// classes.
func TestMixedClasses(t *testing.T) {
	t.Parallel()
	boundsCheck{Waxwingseam(), mixedCases, 500 * time.Millisecond, false}.run(t)
}

// TestAdmissionOnly checks the admission's targets without the project's sender.
func TestAdmissionOnly(t *testing.T) {
	t.Parallel()
	boundsCheck{AdmissionOnly(), surgeCases, surgeTime, true}.run(t, "chain 13")
}

// check runs a case and checks the targets, that no call is refused in favour of a
// less important one, and that no call stays open.
func (b boundsCheck) check(t *testing.T, c Case, saturation float64) {
	b.lengthen(&c.Config, saturation)
	c.Config.Layer = b.layer
	r := Run(c.Config)
	t.Logf("saturation %.0f, goodput %.1f%%, recovery %v %v, wasted %.1f%%, inversions %d, attempts %d",
		saturation, 100*r.Goodput/saturation, r.Recovered, r.Recovery, 100*r.Wasted, r.Inversions, r.MaxAttempts)
	if b.saturated {
		qt.Check(t, r.Goodput/saturation >= targetGoodput, qt.IsTrue, qt.Commentf("goodput %.3f", r.Goodput/saturation))
	}
	qt.Check(t, r.Wasted <= targetWasted, qt.IsTrue, qt.Commentf("wasted %.3f", r.Wasted))
	qt.Check(t, r.Recovered && r.Recovery <= targetRecovery, qt.IsTrue, qt.Commentf("recovery %v", r.Recovery))
	qt.Check(t, r.Inversions, qt.Equals, 0)
	qt.Check(t, r.MaxAttempts <= countCalls(c.Config.Plan)+retryAllowance, qt.IsTrue, qt.Commentf("attempts %d", r.MaxAttempts))
	qt.Check(t, r.OpenCalls, qt.Equals, 0)
}

// countCalls returns the number of calls of a plan.
func countCalls(v *Visit) int {
	n := 1
	for _, stage := range v.Stages {
		for _, child := range stage {
			n += countCalls(child)
		}
	}
	return n
}
