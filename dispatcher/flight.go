package dispatcher

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// flight is a call in flight at its sending node, from its arrival to its reply.
type flight struct {
	call  waxwingseam.Call
	limit waxwingseam.RetryLimit
	// largeReply is RequestClass.LargeReplies of the call's class.
	largeReply bool
	// allowance is the unspent retry allowance, without the shares of open
	// attempts. It can be shared with other calls: those of the same run, or
	// roots with the same key.
	allowance  *waxwingseam.SharedAllowance
	attempts   []attempt
	tried      []waxwingseam.ServerName
	replayable bool
	// receiving is set if the end of the body had not been received when the call arrived.
	receiving bool
	// refusable is set for a root for which no work has been done yet, and late for one
	// that can't meet its objective any more.
	refusable bool
	late      bool
	// arrived is when the call arrived, and timeout the time that its caller would wait
	// from then on; 0 if unknown.
	arrived    time.Time
	timeout    time.Duration
	backingOff bool
	// deadlineArmed is set while the timer of the deadline is armed.
	deadlineArmed bool
	// undecided is set while the root waits for the decision on its account's limit.
	undecided bool
	// admittedAt is when the root was taken from the limit; zero for no limit.
	admittedAt time.Time
	// refusal is set once the call is refused before its first attempt.
	refusal *waxwingseam.Refusal
	// redirects counts the redirected attempts, which spend no allowance;
	// redirecting is set while the next or the open attempt is one of them.
	redirects   int
	redirecting bool
	// rateRedirects counts the further attempts after refusals by rate limits, which
	// count neither as redirects nor as retries.
	rateRedirects int
	// repeated is set once a backend server may have received the call.
	repeated bool
	// lastResult is the result of the last attempt that ended without a backend
	// server's reply. A refusal by the retry budget does not replace an earlier
	// result.
	lastResult waxwingseam.Result
	// failedResult is the last failure that a backend server replied with, and
	// failedAttempt the number of its attempt; 0 without one. The caller
	// receives it if no later attempt gets a reply.
	failedResult  waxwingseam.Result
	failedAttempt waxwingseam.Attempt
}

// attemptState says whether an attempt has ended and whether it may have run.
type attemptState uint8

const (
	// attemptOpen marks an attempt that has not ended.
	attemptOpen attemptState = iota
	// attemptDidNotRun marks an ended attempt that is proven not to have run.
	attemptDidNotRun
	// attemptMayHaveRun marks an ended attempt that ran or may have run.
	attemptMayHaveRun
)

// maxResumes bounds how often an attempt is resumed over a new connection.
const maxResumes = 2

// attempt is one attempt of a call.
type attempt struct {
	number waxwingseam.Attempt
	server waxwingseam.Server
	// share is the part of the allowance that was sent with the attempt.
	share waxwingseam.Allowance
	sent  time.Time
	// expected is that of the choice; see waxwingseam.Choice.
	expected time.Duration
	// patient is that of the attempt; see waxwingseam.Dispatch.
	patient   bool
	state     attemptState
	resumes   int
	fenceSent bool
}

// openAttempt returns the attempt with a number; nil if it is unknown or has
// ended.
func (f *flight) openAttempt(number waxwingseam.Attempt) *attempt {
	n := int(number) - 1
	if n < 0 || n >= len(f.attempts) || f.attempts[n].state != attemptOpen {
		return nil
	}
	return &f.attempts[n]
}

// outcome returns did-not-run if every attempt is proven not to have run, and
// may-have-run otherwise.
func (f *flight) outcome() waxwingseam.Outcome {
	for _, a := range f.attempts {
		if a.state != attemptDidNotRun {
			return waxwingseam.OutcomeMayHaveRun
		}
	}
	return waxwingseam.OutcomeDidNotRun
}

// repeatable reports whether another attempt is safe: the call has not run, or
// its class is idempotent and the retry limit is not DidNotRunOnly.
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
