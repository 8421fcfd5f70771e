// Package administrator serves the operator API of a control replica: JSON
// over HTTP under /v1.
package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/publisher"
)

const (
	// MaxBody bounds the body of a request, in bytes.
	MaxBody = 8 << 20
	// requestTimeout bounds the time for one request.
	requestTimeout = 10 * time.Second
	// readQuorumTimeout bounds the time that a read waits for a quorum.
	readQuorumTimeout = 3 * time.Second
	// statusQuorumTimeout bounds the time that a status request waits for a quorum.
	statusQuorumTimeout = time.Second
	// maxConcurrentRequests bounds the requests that are served at once.
	maxConcurrentRequests = 32
	// maxHistoryEntries bounds the entries in the answer to one history request.
	maxHistoryEntries = 1000
)

// Log is the replicated log.
type Log interface {
	publisher.Confirmer
	// Propose appends a command to the log and returns the result of applying it.
	// After an error, the command may still be applied, unless the reason of the
	// error (see waxwingseam.ReplicaReasonOf) rules that out.
	Propose(ctx context.Context, command []byte) ([]byte, error)
}

// Cluster describes the nodes and servers of the whole cluster.
type Cluster interface {
	// RevisionSummaries returns the latest summary of each replica's nodes.
	RevisionSummaries() []publisher.RevisionSummary
	// AccountUsages returns the use of client accounts over the nodes of each replica that
	// is connected to this one.
	AccountUsages() []publisher.UsageSummary
	// Registrations returns the registrations of all backend servers.
	Registrations() []waxwingseam.Registration
	// Quarantined returns the requests that nodes refuse as they end backend servers.
	Quarantined() []waxwingseam.QuarantinedRequest
	// OrderQuarantine passes an operator's decision on such a request to nodes and returns
	// their number.
	OrderQuarantine(o waxwingseam.QuarantineOrder) (nodes int)
	// ReplicaStatus returns the status of the replica of the log.
	ReplicaStatus() waxwingseam.ReplicaStatus
}

// Config holds the dependencies of the operator API.
type Config struct {
	Replica   waxwingseam.ReplicaID
	Historian historian.Historian
	Log       Log
	Cluster   Cluster
	Guard     authenticator.Guard
	Logger    *slog.Logger
}

type administrator struct {
	config Config
}

// New returns the handler of the operator API.
func New(config Config) http.Handler {
	a := &administrator{config: config}
	r := chi.NewRouter()
	r.Use(middleware.Recoverer)
	r.Use(middleware.Throttle(maxConcurrentRequests))
	r.Use(middleware.Timeout(requestTimeout))
	r.Use(config.Guard.Identify)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, Problem{Status: http.StatusNotFound, Reason: ReasonUnknownPath})
	})
	r.Group(func(r chi.Router) {
		r.Use(config.Guard.Require(authenticator.RightRead))
		r.Get("/v1/set", a.set)
		r.Get("/v1/history", a.history)
		r.Get("/v1/status", a.status)
		r.Get("/v1/accounts", a.accounts)
		r.Post("/v1/differences", a.differences)
	})
	r.Group(func(r chi.Router) {
		r.Use(config.Guard.Require(authenticator.RightWrite))
		r.Post("/v1/submissions", a.submit)
		r.Post("/v1/drains", a.drain)
		r.Post("/v1/quarantines", a.quarantine)
	})
	return r
}

// writeJSON writes an answer in JSON.
func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body)
}

// decode reads a JSON body of bounded size. On failure it refuses the request and
// returns false.
func decode(w http.ResponseWriter, r *http.Request, body any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(body)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return true
		}
		err = trace.BadParameter("something follows the body")
	}
	var tooLarge *http.MaxBytesError
	if asTooLarge(err, &tooLarge) {
		writeProblem(w, Problem{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge, Detail: err.Error()})
		return false
	}
	writeProblem(w, Problem{Status: http.StatusBadRequest, Reason: ReasonBadRequest, Detail: err.Error()})
	return false
}

// confirmCurrent confirms with a quorum that the replica's state is up to date.
// On failure it refuses the request and returns false.
func (a *administrator) confirmCurrent(w http.ResponseWriter, r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), readQuorumTimeout)
	defer cancel()
	err := a.config.Log.ReadIndex(ctx)
	if err == nil {
		return true
	}
	w.Header().Set("Retry-After", "1")
	writeProblem(w, Problem{
		Status: http.StatusServiceUnavailable,
		Reason: ReasonNoQuorum,
		Detail: "this replica cannot tell whether its state is current: " + err.Error(),
	})
	return false
}
