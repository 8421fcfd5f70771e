package balancer

import (
	"slices"

	"waxwingseam.example/waxwingseam"
)

// filter is one ground against sending a call to a server.
type filter struct {
	// priority orders the filters; a smaller one is the last to be given up.
	priority int
	// firm filters are never given up.
	firm    bool
	rejects func(c *waxwingseam.Context, q waxwingseam.Query, t *target) bool
}

// defaultFilters returns the filters of a balancer, in order.
func defaultFilters() []filter {
	return []filter{
		{priority: 100, firm: true, rejects: refusing},
		{priority: 200, rejects: ejected},
		{priority: 250, rejects: faulty},
		{priority: 300, rejects: tried},
	}
}

// refusing rejects servers that would refuse the call for its rank.
func refusing(c *waxwingseam.Context, q waxwingseam.Query, t *target) bool {
	return t.refuses(c, q.Rank)
}

// ejected rejects servers that fail more than the others.
func ejected(c *waxwingseam.Context, _ waxwingseam.Query, t *target) bool {
	return t.health.ejected(c.Now)
}

// tried rejects servers that earlier attempts went to.
func tried(_ *waxwingseam.Context, q waxwingseam.Query, t *target) bool {
	return slices.Contains(q.Tried, t.server.Name)
}
