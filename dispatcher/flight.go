package dispatcher

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// flight is one call between its arrival and its answer.
type flight struct {
	call  waxwingseam.Call
	limit waxwingseam.RetryLimit
	// pot is the allowance in hand, shared with the other children of the run
	// that made the call; open attempts hold their shares.
	pot        *waxwingseam.SharedAllowance
	attempts   []attempt
	tried      []waxwingseam.ServerName
	replayable bool
	backingOff bool
	// redirects counts the attempts that drew no allowance, redirecting is set
	// while the next one is such.
	redirects   int
	redirecting bool
	// repeated is set once a backend server may have been handed the call.
	repeated bool
	// last is the result of the last attempt that ended.
	last waxwingseam.Result
	// failed is the last failure that a backend server answered itself, and by
	// which attempt; 0 for none. It is given where a later attempt gets no answer.
	failed   waxwingseam.Result
	failedBy waxwingseam.Attempt
}

// proof is what is known of whether an attempt ran.
type proof uint8

const (
	// proofOpen marks an attempt whose end is not known yet.
	proofOpen proof = iota
	// proofNotRun marks one that is proven not to have run.
	proofNotRun
	// proofNone marks one that may have run.
	proofNone
)

// maxResumes bounds how often one attempt is taken up again.
const maxResumes = 2

// attempt is one attempt of a flight.
type attempt struct {
	number waxwingseam.Attempt
	server waxwingseam.Server
	// share is the allowance that went along.
	share   waxwingseam.Allowance
	sent    time.Time
	proof   proof
	resumes int
	fenced  bool
}

// open returns the attempt of a number; nil when it is unknown or has ended.
func (f *flight) open(number waxwingseam.Attempt) *attempt {
	n := int(number) - 1
	if n < 0 || n >= len(f.attempts) || f.attempts[n].proof != proofOpen {
		return nil
	}
	return &f.attempts[n]
}

// outcome returns what the attempts prove together.
func (f *flight) outcome() waxwingseam.Outcome {
	for _, a := range f.attempts {
		if a.proof != proofNotRun {
			return waxwingseam.OutcomeMayHaveRun
		}
	}
	return waxwingseam.OutcomeDidNotRun
}

// repeatable reports whether another attempt can do no harm and the retry limit
// allows it.
func (f *flight) repeatable() bool {
	if f.outcome() == waxwingseam.OutcomeDidNotRun {
		return true
	}
	return f.call.Repeat == waxwingseam.RepeatIdempotent && !f.limit.DidNotRunOnly
}

func deadlineTimer(id waxwingseam.CallID) waxwingseam.TimerID {
	return waxwingseam.TimerID{Purpose: PurposeDeadline, Call: id}
}

func retryTimer(id waxwingseam.CallID) waxwingseam.TimerID {
	return waxwingseam.TimerID{Purpose: PurposeRetry, Call: id}
}
