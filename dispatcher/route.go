package dispatcher

import (
	"waxwingseam.example/waxwingseam"
)

// explainRoute returns where a root would go now and why. It makes the decisions of
// callArrived without counting the root.
func (d *dispatcher) explainRoute(c *waxwingseam.Context, e waxwingseam.RouteAsked) waxwingseam.Route {
	class, reason := d.classify(c, waxwingseam.CallArrived{
		Service: e.Request.Service, Host: e.Request.Host, Method: e.Request.Method, Path: e.Request.Path,
	})
	if reason != waxwingseam.ReasonNone {
		return waxwingseam.Route{Service: e.Request.Service, Account: e.Account, Reason: reason}
	}
	random := c.Random()
	root := waxwingseam.RootID(waxwingseam.NewCallID(random.Uint64(), random.Uint64()))
	query := waxwingseam.Query{
		Service:    d.roundRobins.peek(c, e.Request.Service, class),
		Class:      class.Name,
		Account:    e.Account,
		Rank:       d.Classifier.Rank(c, class, root),
		Root:       true,
		LargeReply: class.LargeReplies,
	}
	route := d.Balancer.Explain(c, query)
	route.Service, route.Class, route.Account = query.Service, query.Class, query.Account
	route.Importance, route.Fraction = query.Rank.Importance, query.Rank.Fraction()
	if d.chances.refuses(c.Now, class.Name) {
		route.Server, route.Reason, route.Basis = "", waxwingseam.ReasonOverloaded, waxwingseam.BasisChance
	}
	return route
}
