package administrator

import (
	"encoding/json"
	"errors"
	"net/http"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/historian"
)

// Reason is the reason for the refusal of a request, in kebab case.
type Reason string

// The reasons for refusals.
const (
	ReasonUnknownPath     Reason = "unknown-path"
	ReasonBadRequest      Reason = "bad-request"
	ReasonTooLarge        Reason = "too-large"
	ReasonNoQuorum        Reason = "no-quorum"
	ReasonOutcomeUnknown  Reason = "outcome-unknown"
	ReasonFindings        Reason = "findings"
	ReasonWarnings        Reason = "warnings"
	ReasonConflict        Reason = "conflict"
	ReasonOtherContent    Reason = "other-content"
	ReasonUnknownRevision Reason = "unknown-revision"
	ReasonUnknownServer   Reason = "unknown-server"
	ReasonUnknownService  Reason = "unknown-service"
)

// titles holds the problem title of each reason.
var titles = map[Reason]string{
	ReasonUnknownPath:     "no such path",
	ReasonBadRequest:      "the request cannot be read",
	ReasonTooLarge:        "the request is too large",
	ReasonNoQuorum:        "no quorum of replicas answers",
	ReasonOutcomeUnknown:  "the change may be accepted yet; resend it with the same submission id",
	ReasonFindings:        "the set has findings",
	ReasonWarnings:        "the set has warnings that were not accepted",
	ReasonConflict:        "another revision follows the base revision",
	ReasonOtherContent:    "the submission id was used for another content",
	ReasonUnknownRevision: "no such revision",
	ReasonUnknownServer:   "no such backend server",
	ReasonUnknownService:  "the backend server's service is not in the set",
}

// Problem is the body of a refusal, in the format of RFC 9457.
type Problem struct {
	Type     string               `json:"type"`
	Title    string               `json:"title"`
	Status   int                  `json:"status"`
	Detail   string               `json:"detail,omitempty"`
	Reason   Reason               `json:"reason"`
	Findings waxwingseam.Findings `json:"findings,omitempty"`
	// Answer is the answer to the submission, if there is one.
	Answer *historian.Answer `json:"answer,omitempty"`
}

// writeProblem writes a refusal, by default with the title of its reason.
func writeProblem(w http.ResponseWriter, p Problem) {
	p.Type = "about:blank"
	if p.Title == "" {
		p.Title = titles[p.Reason]
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// Refuse writes a refusal by the guard, with the detail as its title.
func Refuse(w http.ResponseWriter, status int, reason, detail string) {
	writeProblem(w, Problem{Status: status, Reason: Reason(reason), Title: detail})
}

func asTooLarge(err error, target **http.MaxBytesError) bool {
	return errors.As(err, target)
}
