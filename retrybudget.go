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

// RetryUse is what a node has spent of its part of the slack of a retry budget.
type RetryUse struct {
	// Repeats is the number of repeated calls in the window that the roots in the window
	// did not earn.
	Repeats int `cbor:"1,keyasint,omitempty"`
	// Age is the time since the node stated it.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}

// RetryHistory is what is known of the use of a retry budget before a node started.
type RetryHistory struct {
	// Use is what the node's earlier processes stated last.
	Use RetryUse `cbor:"1,keyasint"`
	// Covered is the time for which all that the node stated is known.
	Covered time.Duration `cbor:"2,keyasint"`
	// Left lists the times since other servers of the service were removed.
	Left []time.Duration `cbor:"3,keyasint,omitempty"`
}

// The kinds of the event and the effect with which a node's use of a retry budget outlives its
// process.
const (
	KindRetryHistoryLearned Kind = "retry-history-learned"
	KindRetryBudgetUsed     Kind = "retry-budget-used"
)

// RetryHistoryLearned tells a node what its earlier processes have spent.
type RetryHistoryLearned struct {
	Stamp
	History RetryHistory
}

// RetryBudgetUsed states what a node has spent of the slack, for its next process.
type RetryBudgetUsed struct {
	// Repeats is as in RetryUse.
	Repeats int
}

// Kind implements Event.
func (RetryHistoryLearned) Kind() Kind { return KindRetryHistoryLearned }

// Kind implements Effect.
func (RetryBudgetUsed) Kind() Kind { return KindRetryBudgetUsed }

// RetryGate enforces the retry budget at a receiving node.
type RetryGate interface {
	// UpdateServers records servers that were announced, changed or removed.
	UpdateServers(c *Context, servers []Server, gone []ServerName)
	// Recover adds what the node's earlier processes have spent. A gate that awaits it
	// counts its part of the slack as spent until then.
	Recover(c *Context, h RetryHistory)
	// Admit counts an arriving call and reports whether it may be handed to the
	// backend server. It refuses only repeated calls.
	Admit(c *Context, call Call) bool
	// Refund takes back the count of an admitted repeated call that was not handed to
	// the backend server after all.
	Refund(c *Context, call Call)
	// ObserveRun records whether the backend server refused a call that was handed to it.
	ObserveRun(c *Context, refused bool)
}
