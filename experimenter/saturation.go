package experimenter

import "time"

const (
	saturationWarmUp = 2 * time.Second
	saturationLength = 4 * time.Second
)

// saturationDemands are the demands at which saturation is looked for.
var saturationDemands = []float64{0.8, 0.9, 1.0, 1.1}

// Saturation returns the highest goodput that a deployment gives for a plan,
// over steady demands around its capacity without resends, with any of the
// layers.
func Saturation(config Config, layers []Layer) float64 {
	var best float64
	for _, layer := range layers {
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

// SaturationLayers returns the layers with which saturation is looked for.
func SaturationLayers() []Layer {
	return []Layer{Waxwingseam(), FixedLimit()}
}
