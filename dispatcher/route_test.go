package dispatcher_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestRouteIsExplainedWithoutSending guards against a question that sends something, and
// against one about a request that no class matches and that names no reason.
func TestRouteIsExplainedWithoutSending(t *testing.T) {
	n := newNode("photos-1")
	ask := func(service waxwingseam.ServiceName) waxwingseam.Route {
		effects := n.reducer.Reduce(waxwingseam.RouteAsked{
			Stamp: n.stamp(), ID: 7, Request: waxwingseam.Request{Service: service, Method: "GET", Path: "/"}, Account: "mint",
		})
		qt.Assert(t, effects, qt.HasLen, 1)
		answer, ok := effects[0].(waxwingseam.ExplainRoute)
		qt.Assert(t, ok && answer.ID == 7, qt.IsTrue)
		return answer.Route
	}
	route := ask("photos")
	qt.Assert(t, route.Server, qt.Equals, waxwingseam.ServerName("photos-1"))
	qt.Assert(t, route.Class, qt.Equals, waxwingseam.ClassName("photos"))
	qt.Assert(t, route.Account, qt.Equals, waxwingseam.AccountName("mint"))
	qt.Assert(t, ask("ledger").Reason, qt.Equals, waxwingseam.ReasonNoServer)
	qt.Assert(t, ask("unknown").Reason, qt.Equals, waxwingseam.ReasonUnknownService)
}
