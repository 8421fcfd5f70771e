package experimenter

import (
	"fmt"
	"sync"
	"time"
)

const (
	saturationWarmUp = 2 * time.Second
	// saturationLength is the least time over which saturation is measured,
	// saturationRoots the least number of roots.
	saturationLength = 2 * time.Second
	saturationRoots  = 1000
	// judgedWindows is how many windows follow the usual time after a trigger.
	judgedWindows = 2
)

// saturationDemands are the demands at which saturation is looked for, in
// units of the nominal capacity.
var saturationDemands = []float64{0.9, 1}

// saturation returns the highest goodput that a deployment gives for a plan at
// demands around its nominal capacity without resends. The project's admission stands below
// the plain sender of the baselines, so that what the sending half loses shows.
func saturation(config Config) float64 {
	config.Layer = AdmissionOnly()
	config.TriggerStart = saturationWarmUp
	measured := time.Duration(saturationRoots / config.Capacity * float64(time.Second))
	config.TriggerEnd = config.TriggerStart + max(saturationLength, measured)
	config.Duration = config.TriggerEnd
	var best float64
	for _, demand := range saturationDemands {
		config.Demand = Demand{Base: demand}
		best = max(best, Run(config).Goodput)
	}
	return best
}

// Saturations keeps the goodput at saturation of plans that were measured. It
// may be used by several goroutines.
type Saturations struct {
	mu    sync.Mutex
	known map[string]func() float64
}

// Prepare measures the saturation of a case, makes it the unit of the case's
// demand, and returns the saturation while the trigger is on. Where few roots
// come, the time after the trigger grows so that recovery can be judged.
func (s *Saturations) Prepare(c *Case) float64 {
	c.Config.Capacity = s.of(c, c.Config.Deployment)
	c.Config.Duration = max(c.Config.Duration, c.Config.TriggerEnd+afterTime+judgedWindows*c.Config.window())
	return s.of(c, c.Reduced)
}

func (s *Saturations) of(c *Case, d Deployment) float64 {
	config := c.Config
	config.Deployment = d
	config.Plan = d.rework(c.Config.Plan)
	config.Plans = nil
	for _, plan := range c.Config.Plans {
		config.Plans = append(config.Plans, d.rework(plan))
	}
	config.Capacity = d.Capacity(config.Plan)
	config.Faults = nil
	key := fmt.Sprintf("%s %v %d %d", d.Name, config.Capacity, config.Seed, len(config.Plans))
	s.mu.Lock()
	if s.known == nil {
		s.known = map[string]func() float64{}
	}
	measure, ok := s.known[key]
	if !ok {
		measure = sync.OnceValue(func() float64 { return saturation(config) })
		s.known[key] = measure
	}
	s.mu.Unlock()
	return measure()
}
