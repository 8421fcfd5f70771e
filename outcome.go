package waxwingseam

// Outcome is what is known about a call when it is answered.
type Outcome uint8

const (
	// OutcomeCompleted means that the backend server's whole answer is known.
	OutcomeCompleted Outcome = iota
	// OutcomeDidNotRun means that the call provably did not run.
	OutcomeDidNotRun
	// OutcomeMayHaveRun means that the call may have run, fully or in part.
	OutcomeMayHaveRun
)

// String returns the outcome's name as it is reported to callers.
func (o Outcome) String() string {
	switch o {
	case OutcomeCompleted:
		return "completed"
	case OutcomeDidNotRun:
		return "did-not-run"
	}
	return "may-have-run"
}

// Reason says in kebab case why the system answered instead of a backend
// server.
type Reason string

// IsOverload reports whether a call was refused for lack of capacity.
func (r Reason) IsOverload() bool {
	switch r {
	case ReasonOverloaded, ReasonEvicted, ReasonWaitLimit, ReasonServerRefused, ReasonRateLimited:
		return true
	}
	return false
}

// The reasons that are reported to callers, in metrics and in logs.
const (
	ReasonNone             Reason = ""
	ReasonOverloaded       Reason = "overloaded"
	ReasonEvicted          Reason = "evicted"
	ReasonWaitLimit        Reason = "wait-limit"
	ReasonDeadline         Reason = "deadline"
	ReasonDraining         Reason = "draining"
	ReasonNoServer         Reason = "no-server"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonUnknownClass     Reason = "unknown-class"
	ReasonUnknownContext   Reason = "unknown-context"
	ReasonBadRequest       Reason = "bad-request"
	ReasonTooLarge         Reason = "too-large"
	ReasonConnectionFailed Reason = "connection-failed"
	ReasonConnectionSilent Reason = "connection-silent"
	ReasonServerFailed     Reason = "server-failed"
	ReasonFenced           Reason = "fenced"
	ReasonIncarnation      Reason = "incarnation"
	ReasonKeyConflict      Reason = "key-conflict"
	ReasonCancelled        Reason = "cancelled"
	ReasonDigestMismatch   Reason = "digest-mismatch"
	ReasonReplyNotKept     Reason = "reply-not-kept"
	ReasonBodyConsumed     Reason = "body-taken"
	ReasonKeyUnproven      Reason = "key-unproven"
	ReasonServerRefused    Reason = "server-refused"
	ReasonServerReplaced   Reason = "server-replaced"
	ReasonNoConfiguration  Reason = "no-configuration"
	ReasonRetryBudget      Reason = "retry-budget"
	ReasonRateLimited      Reason = "rate-limited"
	ReasonQuarantined      Reason = "quarantined"
	ReasonEndsServer       Reason = "ends-server"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonAccountLimit     Reason = "account-limit"
	ReasonSetUnconfirmed   Reason = "set-unconfirmed"
)
