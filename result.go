package waxwingseam

import "time"

// Result describes how one attempt or one call ended.
type Result struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Reason is set when the system answered instead of a backend server.
	Reason Reason `cbor:"2,keyasint,omitempty"`
	// Status is the HTTP status of the backend server's answer, if it answered.
	Status int `cbor:"3,keyasint,omitempty"`
	// Unspent is the part of the attempt's allowance that was not spent.
	Unspent Allowance `cbor:"4,keyasint,omitempty"`
	// RetryAfter is how long the caller should wait before a retry; 0 if unknown.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Load is the receiving node's load; zero if it did not answer.
	Load Load `cbor:"6,keyasint,omitzero"`
	// Reached is set when the receiving node answered.
	Reached bool `cbor:"7,keyasint,omitempty"`
	// Waited is the time that the call and all calls below it spent in queues.
	Waited time.Duration `cbor:"10,keyasint,omitempty"`
	// RefusedBelow is set when a call below this one was refused.
	RefusedBelow bool `cbor:"11,keyasint,omitempty"`
	// CallsBelow counts the calls that the run made and the calls below them.
	CallsBelow uint32 `cbor:"12,keyasint,omitempty"`
	// RefusedPermille is the share of the roots of the call's importance that first
	// nodes should refuse, so that the servers of the call and of all calls below it
	// can serve the others.
	RefusedPermille Permille `cbor:"13,keyasint,omitempty"`
	// Accounts is what the answer says of other client accounts; RefusedPermille is then
	// the share of the call's own account.
	Accounts AccountShares `cbor:"14,keyasint,omitzero"`
	// Length and Digest are the length and the digest of the whole reply body.
	Length int64  `cbor:"8,keyasint,omitempty"`
	Digest uint64 `cbor:"9,keyasint,omitempty"`
}

// failureStatus is the lowest HTTP status that counts as a failure.
const failureStatus = 500

// Succeeded reports whether the whole answer is known and its HTTP status is
// below 500.
func (r Result) Succeeded() bool {
	return r.Completed() && r.Status < failureStatus
}

// Failed reports whether the whole answer is known and its HTTP status is 500 or
// above. Without a whole answer, both Succeeded and Failed are false.
func (r Result) Failed() bool {
	return r.Completed() && r.Status >= failureStatus
}

// Completed reports whether the backend server's whole answer is known.
func (r Result) Completed() bool {
	return r.Outcome == OutcomeCompleted
}
