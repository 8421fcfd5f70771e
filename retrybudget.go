package waxwingseam

import "time"

// RetryBudget bounds the repeated calls that a service's backend servers are
// handed, by all nodes together.
type RetryBudget struct {
	// Window is the sliding time that the bound holds for; 0 for no bound.
	Window time.Duration
	// Ratio is the repeated calls for each root that came to the service, Slack
	// those beyond.
	Ratio float64
	Slack int
}

// RetryGate keeps to the retry budget at a receiving node.
type RetryGate interface {
	// UpdateServers takes in backend servers announced, changed or gone.
	UpdateServers(servers []Server, gone []ServerName)
	// Admit counts an arriving call, and reports whether the backend server may
	// be handed it.
	Admit(c *Context, call Call) bool
}
