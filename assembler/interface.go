package assembler

import (
	"net/http"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/loader"
)

// Interface defines how callers, backend servers, operators and the host's
// platform communicate with a process. An unset field stands for the project's own
// interface, or for none if the project has none.
type Interface struct {
	Callers waxwingseam.CallerProtocol
	Backend waxwingseam.BackendProtocol
	// Heartbeats returns the handler that receives the reports of the node's own
	// backend server.
	Heartbeats func(r waxwingseam.Reporter) http.Handler
	// Readiness returns the handler that answers whether the process accepts new
	// work.
	Readiness func(ready func() bool) http.Handler
	// WrapAPI returns the handler of operators' requests, which passes those that
	// it does not serve to api.
	WrapAPI func(api http.Handler, configurer waxwingseam.Configurer) http.Handler
	// AllServices is set if callers do not name a service, so that the node must
	// know the backend servers of all services.
	AllServices bool
}

// NewInterface returns the interface of a process with the given settings.
type NewInterface func(settings loader.Settings) Interface
