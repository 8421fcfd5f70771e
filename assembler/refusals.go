package assembler

import (
	"bytes"
	"log/slog"
	"net/http"

	"github.com/go-chi/chi/v5/middleware"

	"waxwingseam.example/waxwingseam"
)

// maxRefusalText bounds what a log line tells of a refusal, in bytes.
const maxRefusalText = 300

// refusals logs the requests that a handler refuses as malformed, with what it
// answered. Lines go through the bounded queue of the logs.
type refusals struct {
	next   http.Handler
	logger *slog.Logger
}

// ServeHTTP implements http.Handler.
func (h refusals) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wrapped := middleware.NewWrapResponseWriter(w, r.ProtoMajor)
	text := &head{}
	wrapped.Tee(text)
	h.next.ServeHTTP(wrapped, r)
	if wrapped.Status() == http.StatusBadRequest {
		h.logger.Warn("malformed request refused", "method", r.Method, "path", r.URL.Path, "cause", text.String())
	}
}

// head keeps the beginning of what is written to it.
type head struct{ bytes.Buffer }

// Write implements io.Writer.
func (h *head) Write(p []byte) (int, error) {
	h.Buffer.Write(p[:min(len(p), maxRefusalText-min(h.Len(), maxRefusalText))])
	return len(p), nil
}

// operate returns the interface for operators with its refusals logged; nil for the
// project's own.
func (p *Process) operate() func(http.Handler, waxwingseam.Configurer) http.Handler {
	if p.outside.Operate == nil {
		return nil
	}
	return func(api http.Handler, configurer waxwingseam.Configurer) http.Handler {
		return refusals{next: p.outside.Operate(api, configurer), logger: p.logger.Part("operators")}
	}
}
