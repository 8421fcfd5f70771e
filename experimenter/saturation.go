package experimenter

import (
	"fmt"
	"sync"
	"time"
)

const (
	saturationWarmUp = 2 * time.Second
	// minSaturationDuration is the shortest measurement of saturation,
	// minSaturationRoots the fewest roots expected in it.
	minSaturationDuration = 2 * time.Second
	minSaturationRoots    = 1000
	// extraWindows is the number of recovery windows after postTriggerTime.
	extraWindows = 2
)

// saturationDemands are the demands at which goodput is measured, as multiples
// of the nominal capacity.
var saturationDemands = []float64{0.9, 1}

// saturation returns the highest goodput of a plan at demands around its nominal
// capacity, without resends. It uses the project's admitter with the plain
// sender, so that a comparison shows what the project's own sender loses.
func saturation(config Config) float64 {
	config.Layer = AdmissionOnly()
	config.TriggerStart = saturationWarmUp
	duration := time.Duration(minSaturationRoots / config.Capacity * float64(time.Second))
	config.TriggerEnd = config.TriggerStart + max(minSaturationDuration, duration)
	config.Duration = config.TriggerEnd
	var best float64
	for _, demand := range saturationDemands {
		config.Demand = Demand{Base: demand}
		best = max(best, Run(config).Goodput)
	}
	return best
}

// Saturations caches the measured goodput at saturation. The zero value is ready to
// use. It is safe for concurrent use.
type Saturations struct {
	mu       sync.Mutex
	measured map[string]func() float64
}

// Prepare measures the saturation of a case, makes it the unit of the case's
// demand, and returns the saturation during the trigger. At a low rate of
// roots it extends the time after the trigger so that recovery can be judged.
func (s *Saturations) Prepare(c *Case) float64 {
	c.Config.Capacity = s.measure(c, c.Config.Deployment)
	c.Config.Duration = max(c.Config.Duration, c.Config.TriggerEnd+postTriggerTime+extraWindows*c.Config.recoveryWindow())
	return s.measure(c, c.Reduced)
}

func (s *Saturations) measure(c *Case, d Deployment) float64 {
	config := c.Config
	config.Deployment = d
	config.Plan = d.withWorkTimes(c.Config.Plan)
	config.Plans = nil
	for _, plan := range c.Config.Plans {
		config.Plans = append(config.Plans, d.withWorkTimes(plan))
	}
	config.Capacity = d.Capacity(config.Plan)
	config.Faults = nil
	key := fmt.Sprintf("%s %v %d %d", d.Name, config.Capacity, config.Seed, len(config.Plans))
	s.mu.Lock()
	if s.measured == nil {
		s.measured = map[string]func() float64{}
	}
	measure, ok := s.measured[key]
	if !ok {
		measure = sync.OnceValue(func() float64 { return saturation(config) })
		s.measured[key] = measure
	}
	s.mu.Unlock()
	return measure()
}
