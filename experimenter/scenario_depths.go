package experimenter

import "time"

// weighty is the least importance of the requests that take the longer way.
const weighty = 7

// depthCases are surges in which the last service is called by important
// requests two hops deep and by others one hop deep. No root comes back to a
// service.
func depthCases(d Deployment, on time.Duration) []Case {
	first, last := d.Tiers[0], d.Tiers[len(d.Tiers)-1]
	leaf := &Visit{Service: last.Service, Work: last.Work}
	middle := &Visit{Service: d.Tiers[1].Service, Work: d.Tiers[1].Work, Stages: [][]*Visit{{leaf}}}
	long := &Visit{Service: first.Service, Work: first.Work, Stages: [][]*Visit{{middle}}}
	short := &Visit{Service: first.Service, Work: first.Work, Stages: [][]*Visit{{leaf}}}
	config := newConfig(d, 1, on)
	config.Plan, config.Capacity = long, d.Capacity(long)
	for _, m := range d.RequestKinds {
		plan := short
		if m.Importance >= weighty {
			plan = long
		}
		config.Plans = append(config.Plans, plan)
	}
	config.Demand.Surge = 3
	return []Case{{Name: "surge 3x, one service at two depths", Config: config, Reduced: d}}
}
