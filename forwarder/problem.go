package forwarder

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"waxwingseam.example/waxwingseam"
)

// Problem is the body of an error reply, in the format of RFC 9457.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// problemTypePrefix precedes the reason in the type of each problem.
const problemTypePrefix = "urn:waxwingseam:problem:"

// minRetryAfter is the shortest time after which a refused caller may retry.
const minRetryAfter = time.Second

// statuses maps the reasons that have their own HTTP status to it.
var statuses = map[waxwingseam.Reason]int{
	waxwingseam.ReasonUnknownService: http.StatusNotFound,
	waxwingseam.ReasonUnknownClass:   http.StatusNotFound,
	waxwingseam.ReasonUnknownContext: http.StatusBadRequest,
	waxwingseam.ReasonBadRequest:     http.StatusBadRequest,
	waxwingseam.ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	waxwingseam.ReasonDeadline:       http.StatusGatewayTimeout,
	waxwingseam.ReasonKeyConflict:    http.StatusConflict,
	waxwingseam.ReasonEvicted:        http.StatusTooManyRequests,

	waxwingseam.ReasonUnauthenticated: http.StatusUnauthorized,
	waxwingseam.ReasonAccountLimit:    http.StatusTooManyRequests,
}

// titles maps each reason to the title of its problem.
var titles = map[waxwingseam.Reason]string{
	waxwingseam.ReasonOverloaded:       "The service is overloaded",
	waxwingseam.ReasonEvicted:          "A more important request took the place",
	waxwingseam.ReasonWaitLimit:        "The request waited too long",
	waxwingseam.ReasonDeadline:         "The deadline has passed",
	waxwingseam.ReasonDraining:         "The backend server is leaving",
	waxwingseam.ReasonNoServer:         "No backend server takes requests",
	waxwingseam.ReasonUnknownService:   "The service is unknown",
	waxwingseam.ReasonUnknownClass:     "No request class matches",
	waxwingseam.ReasonUnknownContext:   "The request's context is unknown or has ended",
	waxwingseam.ReasonBadRequest:       "The request is malformed",
	waxwingseam.ReasonTooLarge:         "The request is too large",
	waxwingseam.ReasonConnectionFailed: "The backend server could not be reached",
	waxwingseam.ReasonConnectionSilent: "The connection to the backend server went silent",
	waxwingseam.ReasonServerFailed:     "The backend server failed",
	waxwingseam.ReasonFenced:           "The request was kept from starting",
	waxwingseam.ReasonIncarnation:      "The node has been restarted",
	waxwingseam.ReasonKeyConflict:      "The idempotency key is in use",
	waxwingseam.ReasonRetryBudget:      "Too many requests were repeated",
	waxwingseam.ReasonCancelled:        "The request was cancelled",
	waxwingseam.ReasonDigestMismatch:   "The reply was not whole",
	waxwingseam.ReasonReplyNotKept:     "The request has run and its reply is kept no more",
	waxwingseam.ReasonKeyUnproven:      "No witness can say whether the idempotency key was used before",
	waxwingseam.ReasonEndsServer:       "The request has ended the only backend server that ran it",
	waxwingseam.ReasonQuarantined:      "The request has ended the backend servers that ran it",
	waxwingseam.ReasonUnauthenticated:  "The request has no key of a client account",
	waxwingseam.ReasonAccountLimit:     "The client account is over its limit",
	waxwingseam.ReasonSetUnconfirmed:   "The key is unknown to this node, whose configuration may not be the newest",
	waxwingseam.ReasonBodyConsumed:     "The request body can't be sent a second time",
}

// statusOf returns the HTTP status of a result without a whole reply.
func statusOf(result waxwingseam.Result) int {
	if status, ok := statuses[result.Reason]; ok {
		return status
	}
	if result.Outcome == waxwingseam.OutcomeMayHaveRun {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// writeProblem writes a problem as the answer to a caller.
func writeProblem(w http.ResponseWriter, result waxwingseam.Result, detail string) {
	status := statusOf(result)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderOutcome, result.Outcome.String())
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		header.Set("Retry-After", retryAfter(result.RetryAfter))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Problem{
		Type:    problemTypePrefix + string(result.Reason),
		Title:   titles[result.Reason],
		Status:  status,
		Detail:  detail,
		Outcome: result.Outcome.String(),
		Reason:  string(result.Reason),
	})
}

// refusalDetail returns what decided the refusal of a client account's root; empty for
// other calls.
func refusalDetail(r *waxwingseam.Refusal) string {
	if r == nil || r.Basis != waxwingseam.BasisAccountLimit {
		return ""
	}
	return fmt.Sprintf("account %s uses %.1f of %.1f requests per second over all nodes, as known %v ago",
		r.Call.Account, r.Used, r.Limit, r.BasisAge.Round(time.Millisecond))
}

// retryAfter formats a time in whole seconds, rounded up; at least minRetryAfter.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(max(d, minRetryAfter).Seconds())))
}
