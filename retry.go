package waxwingseam

import "time"

// RetryQuestion asks whether an ended attempt may be followed by another.
type RetryQuestion struct {
	Call    Call
	Attempt Attempt
	Result  Result
	Limit   RetryLimit
	// Remaining is the allowance that the call still has.
	Remaining Allowance
	// Replayable is set while the whole body can be sent again and no part of
	// an answer was sent to the caller.
	Replayable bool
	// Overloaded is set when all known servers of the service shed load.
	Overloaded bool
}

// RetryDecision says whether to send another attempt, and after which delay.
type RetryDecision struct {
	Retry bool
	Delay time.Duration
}

// Retrier decides on retries and keeps a retry budget for each target service.
type Retrier interface {
	// Split returns the part of an allowance that is sent with an attempt of a
	// call; the sender keeps the rest.
	Split(call Call, in Allowance) Allowance
	// IsLeafClass reports whether the recent runs of a class made no calls.
	IsLeafClass(class ClassName) bool
	// Decide decides whether to retry, and after which delay. It charges an
	// allowed retry to the target's budget.
	Decide(c *Context, q RetryQuestion) RetryDecision
	// ObserveReply records the complete answer of a call; a success adds to the
	// budget of its service.
	ObserveReply(call Call, result Result, limit RetryLimit)
}
