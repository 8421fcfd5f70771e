// Package administrator serves the operator API of a control replica: JSON
// over HTTP under /v1.
package administrator

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"

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
	// readWait bounds the time that a reading request waits for a quorum.
	readWait = 3 * time.Second
	// statusWait bounds the time that status waits for a quorum.
	statusWait = time.Second
	// maxRequests bounds the requests that are served at once.
	maxRequests = 32
	// maxEntries bounds the entries of one answer on the history.
	maxEntries = 1000
)

// Log takes submissions into the replicated log.
type Log interface {
	publisher.Confirmer
	// Propose appends a command and returns what the state answered to it.
	Propose(ctx context.Context, command []byte) ([]byte, error)
}

// Cluster tells of the nodes and servers of the whole cluster.
type Cluster interface {
	// Holdings returns the latest summary of each replica.
	Holdings() []publisher.RevisionSummary
	// Registrations returns the table of servers.
	Registrations() []waxwingseam.Registration
	// Replica describes the log's replica.
	Replica() waxwingseam.ReplicaStatus
}

// Config holds the parts of an administrator.
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
	r.Use(middleware.Throttle(maxRequests))
	r.Use(middleware.Timeout(requestTimeout))
	r.Use(config.Guard.Identify)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, Problem{Status: http.StatusNotFound, Reason: ReasonUnknownPath})
	})
	r.Group(func(r chi.Router) {
		r.Use(config.Guard.Require(authenticator.RightRead))
		r.Get("/v1/set", a.set)
		r.Get("/v1/history", a.history)
		r.Get("/v1/status", a.status)
		r.Post("/v1/differences", a.differences)
	})
	r.Group(func(r chi.Router) {
		r.Use(config.Guard.Require(authenticator.RightWrite))
		r.Post("/v1/submissions", a.submit)
		r.Post("/v1/drains", a.drain)
	})
	return r
}

// answer writes a JSON body.
func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body)
}

// decode reads a JSON body of bounded size; false when it was refused.
func decode(w http.ResponseWriter, r *http.Request, body any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(body)
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if asTooLarge(err, &tooLarge) {
		refuse(w, Problem{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge, Detail: err.Error()})
		return false
	}
	refuse(w, Problem{Status: http.StatusBadRequest, Reason: ReasonBadRequest, Detail: err.Error()})
	return false
}

// current makes sure that the replica's state is up to date; false when the
// request was refused.
func (a *administrator) current(w http.ResponseWriter, r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), readWait)
	defer cancel()
	err := a.config.Log.ReadIndex(ctx)
	if err == nil {
		return true
	}
	w.Header().Set("Retry-After", "1")
	refuse(w, Problem{
		Status: http.StatusServiceUnavailable,
		Reason: ReasonNoQuorum,
		Detail: "this replica cannot tell whether its state is current: " + err.Error(),
	})
	return false
}
