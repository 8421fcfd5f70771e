package balancer

import (
	"slices"

	"waxwingseam.example/waxwingseam"
)

// filter excludes servers from the choice for a call.
type filter struct {
	// priority orders the filters; the filter with the largest priority is dropped
	// first.
	priority int
	// name is the filter's name in a waxwingseam.Route.
	name string
	// mandatory filters are never dropped.
	mandatory bool
	rejects   func(c *waxwingseam.Context, q waxwingseam.Query, t *target) bool
}

// defaultFilters returns the filters of a balancer, ordered by priority.
func defaultFilters() []filter {
	return []filter{
		{priority: 100, name: "refusing", mandatory: true, rejects: refusing},
		{priority: 200, name: "ejected", rejects: ejected},
		{priority: 250, name: "demoted", rejects: demoted},
		{priority: 300, name: "tried", rejects: tried},
		{priority: 350, name: "paused", rejects: paused},
	}
}

// refusing rejects servers that would refuse the call because of its rank.
func refusing(c *waxwingseam.Context, q waxwingseam.Query, t *target) bool {
	return t.refuses(c, q.Rank)
}

// ejected rejects servers that are ejected for failing more than the others.
func ejected(c *waxwingseam.Context, _ waxwingseam.Query, t *target) bool {
	return t.health.ejected(c.Now)
}

// tried rejects servers to which earlier attempts of the call were sent.
func tried(_ *waxwingseam.Context, q waxwingseam.Query, t *target) bool {
	return slices.Contains(q.Tried, t.server.Name)
}
