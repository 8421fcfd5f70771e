package waxwingseam

import "time"

// RetryBudget bounds the repeated calls that all nodes together hand to the
// backend servers of a service.
type RetryBudget struct {
	// Window is the length of the sliding window; 0 for no bound.
	Window time.Duration
	// Ratio is the number of repeated calls allowed for each root that was sent to
	// the service itself; calls made by runs are not counted. Slack is the number
	// allowed in addition.
	Ratio float64
	Slack int
	// CountCalls is set if each call that a run makes earns repeats, too.
	CountCalls bool
}

// RetryGate enforces the retry budget at a receiving node.
type RetryGate interface {
	// UpdateServers records servers that were announced, changed or removed.
	UpdateServers(c *Context, servers []Server, gone []ServerName)
	// Admit counts an arriving call and reports whether it may be handed to the
	// backend server. It refuses only repeated calls.
	Admit(c *Context, call Call) bool
	// Refund takes back the count of an admitted repeated call that was not handed to
	// the backend server after all.
	Refund(c *Context, call Call)
	// ObserveRun records whether the backend server refused a call that was handed to it.
	ObserveRun(c *Context, refused bool)
}
