package experimenter

import "time"

// longPathImportance is the least importance of requests on the longer path.
const longPathImportance = 7

// depthCases returns a surge in which important requests call the last service
// at a depth of two hops and others at a depth of one. No root visits a
// service twice.
func depthCases(d Deployment, triggerDuration time.Duration) []Case {
	first, last := d.Tiers[0], d.Tiers[len(d.Tiers)-1]
	leaf := &Visit{Service: last.Service, Work: last.Work}
	middle := &Visit{Service: d.Tiers[1].Service, Work: d.Tiers[1].Work, Stages: [][]*Visit{{leaf}}}
	long := &Visit{Service: first.Service, Work: first.Work, Stages: [][]*Visit{{middle}}}
	short := &Visit{Service: first.Service, Work: first.Work, Stages: [][]*Visit{{leaf}}}
	config := newConfig(d, 1, triggerDuration)
	config.Plan, config.Capacity = long, d.Capacity(long)
	for _, k := range d.RequestKinds {
		plan := short
		if k.Importance >= longPathImportance {
			plan = long
		}
		config.Plans = append(config.Plans, plan)
	}
	config.Demand.Surge = 3
	return []Case{{Name: "surge 3x, one service at two depths", Config: config, Reduced: d}}
}
