package experimenter

import (
	"fmt"
	"time"
)

const (
	saturationWarmUp = 2 * time.Second
	saturationLength = 8 * time.Second
)

// saturationDemands are the demands at which saturation is looked for.
var saturationDemands = []float64{0.9, 1.0}

// saturation returns the highest goodput that a deployment gives for a plan,
// over steady demands around its capacity without resends, with any of the
// layers that it is looked for with.
func saturation(config Config) float64 {
	var best float64
	for _, layer := range saturationLayers() {
		for _, demand := range saturationDemands {
			config.Layer = layer
			config.Demand = Demand{Base: demand}
			config.Before = saturationWarmUp
			config.Until = saturationWarmUp + saturationLength
			config.Length = config.Until
			best = max(best, Run(config).Goodput)
		}
	}
	return best
}

// saturationLayers returns the layers with which saturation is looked for.
func saturationLayers() []Layer {
	return []Layer{Waxwingseam(), FixedLimit()}
}

// Saturations keeps the goodput at saturation of plans that were measured.
type Saturations struct {
	known map[string]float64
}

// Prepare measures the saturation of a case, makes it the unit of the case's
// demand, and returns the saturation while the trigger is on.
func (s *Saturations) Prepare(c *Case) float64 {
	c.Config.Capacity = s.of(c, c.Config.Deployment)
	return s.of(c, c.Reduced)
}

func (s *Saturations) of(c *Case, d Deployment) float64 {
	plan := d.rework(c.Config.Plan)
	capacity := d.Capacity(plan)
	key := fmt.Sprintf("%s %v %d", d.Name, capacity, c.Config.Seed)
	if v, ok := s.known[key]; ok {
		return v
	}
	if s.known == nil {
		s.known = map[string]float64{}
	}
	config := c.Config
	config.Deployment = d
	config.Plan = plan
	config.Capacity = capacity
	config.Faults = nil
	s.known[key] = saturation(config)
	return s.known[key]
}
