package experimenter

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The targets of the project, for whole requests.
const (
	targetGoodput  = 0.90
	targetWasted   = 0.05
	targetRecovery = 2 * time.Second
	allowance      = 2
	// surgeTime is how long a surge is on at least.
	surgeTime = 2 * time.Second
	// longSurgeTime is that of a surge that starts from little demand.
	longSurgeTime = 4 * time.Second
	// slowTime is how long a service is slow, slowSurgeTime the same together
	// with a surge.
	slowTime      = 20 * time.Second
	slowSurgeTime = 8 * time.Second
)

// bound is a scenario with how long its trigger is on.
type bound struct {
	layer Layer
	cases func(d Deployment, on time.Duration) []Case
	on    time.Duration
	// saturated is set where the trigger asks for more than can be served.
	saturated bool
}

const (
	// manyRoots is how many roots a trigger sees at least that asks for too much.
	manyRoots = 1000
	// judged is how long recovery is judged beyond its target, in windows.
	judged = 2
)

// lengthen gives a case with few roots the time to tell its figures from chance.
func (b bound) lengthen(c *Config, saturation float64) {
	if !b.saturated || len(c.Faults) > 0 {
		return
	}
	longer := max(time.Duration(manyRoots/saturation*float64(time.Second)), c.TriggerEnd-c.TriggerStart)
	c.TriggerEnd = c.TriggerStart + longer
	c.Duration = c.TriggerEnd + targetRecovery + judged*c.window()
}

// saturations are shared by all tests.
var saturations Saturations

// run checks the cases whose name contains one of some parts, or all.
func (b bound) run(t *testing.T, parts ...string) {
	for _, d := range Deployments() {
		for _, c := range b.cases(d, b.on) {
			if !named(c, parts) {
				continue
			}
			t.Run(d.Name+"/"+c.Name, func(t *testing.T) {
				t.Parallel()
				b.check(t, c, saturations.Prepare(&c))
			})
		}
	}
}

func named(c Case, parts []string) bool {
	return len(parts) == 0 || slices.ContainsFunc(parts, func(part string) bool {
		return strings.HasSuffix(c.Name, part)
	})
}

func TestSurge(t *testing.T) {
	t.Parallel()
	bound{Waxwingseam(), surgeCases, surgeTime, true}.run(t, "chain 4")
}

func TestSurgeOfNestedCalls(t *testing.T) {
	t.Parallel()
	bound{Waxwingseam(), surgeCases, surgeTime, true}.run(t, "chain 13")
}

func TestTwoDepths(t *testing.T) {
	t.Parallel()
	bound{Waxwingseam(), depthCases, surgeTime, true}.run(t)
}

func TestSlowService(t *testing.T) {
	t.Parallel()
	bound{Waxwingseam(), slowCases, slowTime, true}.run(t, "slower")
	bound{Waxwingseam(), slowCases, slowSurgeTime, true}.run(t, "3x")
}

func TestSlowServiceTwice(t *testing.T) {
	t.Parallel()
	bound{Waxwingseam(), slowCases, slowTime, true}.run(t, "twice")
}

func TestColdStart(t *testing.T) {
	t.Parallel()
	bound{Waxwingseam(), coldCases, 0, false}.run(t)
}

func TestMixedClasses(t *testing.T) {
	t.Parallel()
	bound{Waxwingseam(), mixedCases, 500 * time.Millisecond, false}.run(t)
}

// TestAdmissionAlone holds the admission to the targets whatever the sender.
func TestAdmissionAlone(t *testing.T) {
	t.Parallel()
	bound{AdmissionOnly(), surgeCases, surgeTime, true}.run(t, "chain 13")
}

func (b bound) check(t *testing.T, c Case, saturation float64) {
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
	qt.Check(t, r.MaxAttempts <= calls(c.Config.Plan)+allowance, qt.IsTrue, qt.Commentf("attempts %d", r.MaxAttempts))
	qt.Check(t, r.OpenCalls, qt.Equals, 0)
}

// calls counts the calls of a plan.
func calls(v *Visit) int {
	n := 1
	for _, stage := range v.Stages {
		for _, child := range stage {
			n += calls(child)
		}
	}
	return n
}
