package administrator

import (
	"net/http"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/authenticator"
)

// QuarantineAnswer is the answer to an order about one request.
type QuarantineAnswer struct {
	// Nodes is the number of nodes to which the order was passed. They pass its effect on
	// to the nodes that watch other replicas.
	Nodes int `json:"nodes"`
}

// quarantine lifts or sets the quarantine of a request.
func (a *administrator) quarantine(w http.ResponseWriter, r *http.Request) {
	var o waxwingseam.QuarantineOrder
	if !decode(w, r, &o) {
		return
	}
	if o.Digest.IsZero() {
		writeProblem(w, Problem{Status: http.StatusBadRequest, Reason: ReasonBadRequest, Detail: "no digest"})
		return
	}
	nodes := a.config.Cluster.OrderQuarantine(o)
	if a.config.Logger != nil {
		a.config.Logger.Info("quarantine ordered", "digest", o.Digest.String(), "lift", o.Lift,
			"operator", authenticator.OperatorOf(r.Context()).Name, "nodes", nodes)
	}
	writeJSON(w, QuarantineAnswer{Nodes: nodes})
}
