package waxwingseam

import "time"

// Result is what one attempt or one call came to.
type Result struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Reason is set when the system answered in place of a backend server.
	Reason Reason `cbor:"2,keyasint,omitempty"`
	// Status is the backend server's HTTP status, where it answered.
	Status int `cbor:"3,keyasint,omitempty"`
	// Unspent is what is left of the allowance that went with the attempt.
	Unspent Allowance `cbor:"4,keyasint,omitempty"`
	// RetryAfter is when the caller may come back; 0 where that is unknown.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Load is the receiving node's measure; zero where it did not answer.
	Load Load `cbor:"6,keyasint,omitzero"`
	// Reached is set when the receiving node answered.
	Reached bool `cbor:"7,keyasint,omitempty"`
	// Waited is the time that the call and all below it spent in queues.
	Waited time.Duration `cbor:"10,keyasint,omitempty"`
	// RefusedBelow is set when a call further down was refused.
	RefusedBelow bool `cbor:"11,keyasint,omitempty"`
	// CallsBelow counts the calls that the run made, and those below them.
	CallsBelow uint32 `cbor:"12,keyasint,omitempty"`
	// Length and Digest are those of the whole reply body.
	Length int64  `cbor:"8,keyasint,omitempty"`
	Digest uint64 `cbor:"9,keyasint,omitempty"`
}

// failureStatus is the least HTTP status that counts as a failure.
const failureStatus = 500

// Succeeded reports whether the backend server did what was asked.
func (r Result) Succeeded() bool {
	return r.Completed() && r.Status < failureStatus
}

// Failed reports whether the backend server answered with a failure of its own.
func (r Result) Failed() bool {
	return r.Completed() && r.Status >= failureStatus
}

// Completed reports whether the backend server's whole answer is known.
func (r Result) Completed() bool {
	return r.Outcome == OutcomeCompleted
}
