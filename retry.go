package waxwingseam

import "time"

// RetryQuestion asks whether an ended attempt may be followed by another.
type RetryQuestion struct {
	Call    Call
	Attempt Attempt
	Result  Result
	Limit   RetryLimit
	// Remaining is the allowance that the call has in hand.
	Remaining Allowance
	// Replayable is set while the whole body can be sent again and no part of
	// an answer has gone to the caller.
	Replayable bool
	// Overloaded is set when all known servers of the service shed load.
	Overloaded bool
}

// RetryDecision is a retrier's decision.
type RetryDecision struct {
	Retry bool
	Delay time.Duration
}

// Retrier decides on retries and keeps the budget of each target service.
type Retrier interface {
	// Split returns the part of an allowance that goes along with an attempt of
	// a call; the rest stays with the sender.
	Split(call Call, in Allowance) Allowance
	// IsLeafClass reports whether runs of a class were seen to make no calls.
	IsLeafClass(class ClassName) bool
	// Decide answers whether to retry, and after which delay; a retry it allows
	// is taken out of the target's budget.
	Decide(c *Context, q RetryQuestion) RetryDecision
	// ObserveReply takes in the whole answer of a call: a success counts toward the
	// budget of its service.
	ObserveReply(call Call, result Result, limit RetryLimit)
}
