package assembler

import (
	"bytes"
	"log/slog"
	"net/http"

	"github.com/go-chi/chi/v5/middleware"

	"waxwingseam.example/waxwingseam"
)

// maxRefusalBytes bounds what a log line tells of a refusal, in bytes.
const maxRefusalBytes = 300

// refusalLogger logs the requests that a handler refuses as malformed, with what it
// answered. Lines go through the bounded queue of the logs.
type refusalLogger struct {
	next   http.Handler
	logger *slog.Logger
}

// ServeHTTP implements http.Handler.
func (h refusalLogger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wrapped := middleware.NewWrapResponseWriter(w, r.ProtoMajor)
	cause := &prefixBuffer{}
	wrapped.Tee(cause)
	h.next.ServeHTTP(wrapped, r)
	if wrapped.Status() == http.StatusBadRequest {
		h.logger.Warn("malformed request refused", "method", r.Method, "path", r.URL.Path, "cause", cause.String())
	}
}

// prefixBuffer keeps the beginning of what is written to it.
type prefixBuffer struct{ bytes.Buffer }

// Write implements io.Writer.
func (b *prefixBuffer) Write(p []byte) (int, error) {
	b.Buffer.Write(p[:min(len(p), maxRefusalBytes-min(b.Len(), maxRefusalBytes))])
	return len(p), nil
}

// operatorHandler returns the interface for operators with its refusals logged; nil for the
// project's own.
func (p *Process) operatorHandler() func(http.Handler, waxwingseam.Configurer) http.Handler {
	if p.external.Operate == nil {
		return nil
	}
	return func(api http.Handler, configurer waxwingseam.Configurer) http.Handler {
		return refusalLogger{next: p.external.Operate(api, configurer), logger: p.logger.Part("operators")}
	}
}
