package experimenter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// steadyConfig configures the project's layer with a low constant demand.
func steadyConfig(d Deployment, depth int) Config {
	config := newConfig(d, depth, time.Second)
	config.Layer = Waxwingseam()
	config.Demand.Base = 0.3
	config.Duration = 2 * time.Second
	config.TriggerStart, config.TriggerEnd = 500*time.Millisecond, 1500*time.Millisecond
	return config
}

func TestQuietRunServesAll(t *testing.T) {
	for _, d := range Deployments() {
		r := Run(steadyConfig(d, 4))
		qt.Assert(t, r.SuccessBefore, qt.Equals, 1.0)
		qt.Assert(t, r.Recovered, qt.IsTrue)
		qt.Assert(t, r.OpenCalls, qt.Equals, 0)
		qt.Assert(t, r.MaxAttempts, qt.Equals, 4)
	}
}

func TestSameSeedGivesSameReport(t *testing.T) {
	qt.Assert(t, Run(steadyConfig(VanDalen(), 4)), qt.DeepEquals, Run(steadyConfig(VanDalen(), 4)))
}
