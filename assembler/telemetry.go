package assembler

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/logger"
)

// levelBody is the body of the log level endpoint's requests and answers.
type levelBody struct {
	Level string `json:"level"`
}

// serveTelemetry serves metrics, readiness, drain requests and the log level, if
// the settings contain an address.
func (p *Process) serveTelemetry(ctx context.Context, group *errgroup.Group) error {
	address := p.settings.Process.TelemetryAddress
	if !address.IsValid() {
		return nil
	}
	r := chi.NewRouter()
	r.Handle("/metrics", p.meter.Handler())
	r.Get("/v1/readiness", p.readiness)
	r.Post("/v1/drain", p.drain(false))
	r.Delete("/v1/drain", p.drain(true))
	r.Get("/v1/log-level", p.logLevel)
	r.Put("/v1/log-level", p.setLogLevel)
	return p.serveChecks(ctx, group, address, r)
}

// readiness answers 204 while the node is ready, and in a process without a node.
func (p *Process) readiness(w http.ResponseWriter, _ *http.Request) {
	if p.node != nil && !p.node.Ready() {
		http.Error(w, "the node takes no new work", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// drain returns a handler that starts or undoes a drain of the node.
func (p *Process) drain(undo bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if p.node == nil {
			http.Error(w, "the process has no node role", http.StatusNotFound)
			return
		}
		p.node.Runner.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.DrainAsked{Stamp: s, Undo: undo}
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

func (p *Process) logLevel(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(levelBody{Level: p.logger.Level().String()})
}

func (p *Process) setLogLevel(w http.ResponseWriter, r *http.Request) {
	var body levelBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "the body is no JSON object with a level", http.StatusBadRequest)
		return
	}
	level, err := logger.ParseLevel(body.Level)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.logger.SetLevel(level)
	w.WriteHeader(http.StatusNoContent)
}
