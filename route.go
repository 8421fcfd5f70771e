package waxwingseam

import "time"

// The kinds of the event and the effect by which an operator learns where a request would
// go.
const (
	KindRouteAsked   Kind = "route-asked"
	KindExplainRoute Kind = "explain-route"
)

// RouteAsked asks where a root request would go now, without sending it.
type RouteAsked struct {
	Stamp
	// ID identifies the question in ExplainRoute.
	ID uint64
	// Request is what is matched to find the class.
	Request Request
	// Account is the client account that the request is for; empty without one.
	Account AccountName
}

// ExplainRoute answers a RouteAsked.
type ExplainRoute struct {
	ID    uint64
	Route Route
}

// Route says where a root request would go now and why.
type Route struct {
	Service    ServiceName `json:"service,omitempty"`
	Class      ClassName   `json:"class,omitempty"`
	Account    AccountName `json:"account,omitempty"`
	Importance Importance  `json:"importance"`
	// Fraction is the place of the request in the order of the roots, from 0 to 1: of a
	// refused share, those with the largest are refused. Each request has another one.
	Fraction float64 `json:"fraction"`
	// RefusedPermille is the share of the roots of the class that are refused.
	RefusedPermille Permille `json:"refused-permille"`
	// Server is the server that the request would go to; empty if it would be refused.
	Server ServerName `json:"server,omitempty"`
	// Reason, Basis and BasisAge say why it would be refused.
	Reason     Reason           `json:"reason,omitempty"`
	Basis      RefusalBasis     `json:"basis,omitempty"`
	BasisAge   time.Duration    `json:"basis-age-ns,omitempty"`
	Candidates []RouteCandidate `json:"candidates"`
}

// RouteCandidate is a server that a request could go to.
type RouteCandidate struct {
	Server     ServerName `json:"server"`
	DataCentre DataCentre `json:"data-centre,omitempty"`
	// Stated is set if the server's answers state a pace.
	Stated bool `json:"stated"`
	// Cost is the expected time until the request would end there if Stated is set, and
	// otherwise the cost by the node's own calls and latencies. Of a few servers drawn at
	// random, the one of least cost is chosen.
	Cost time.Duration `json:"cost-ns"`
	// Pace and WorkLeft are those of the last answer; see Load.
	Pace     uint16        `json:"pace,omitempty"`
	WorkLeft time.Duration `json:"work-left-ns,omitempty"`
	// Age is how old the last answer is; 0 without one.
	Age time.Duration `json:"age-ns,omitempty"`
	// InFlight counts the calls of this node at the server.
	InFlight int `json:"in-flight"`
	// Error is the mean ratio of the actual to the expected time of calls.
	Error float64 `json:"error,omitempty"`
	// Filters are the filters that reject the server. All but the filter refusing may be
	// dropped if no other server is left.
	Filters []string `json:"filters,omitempty"`
}

// Kind implements Event.
func (RouteAsked) Kind() Kind { return KindRouteAsked }

// Kind implements Effect.
func (ExplainRoute) Kind() Kind { return KindExplainRoute }
