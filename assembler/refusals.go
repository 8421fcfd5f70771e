package assembler

import (
	"bytes"
	"log/slog"
	"net/http"

	"github.com/go-chi/chi/v5/middleware"

	"waxwingseam.example/waxwingseam"
)

// maxRefusalBytes bounds the text of a refusal in a log line.
const maxRefusalBytes = 300

// refusalLogger logs the requests that a handler refuses as malformed, with the
// text of its answer. The lines go through the logger's bounded queue, so that
// many refusals do not block requests.
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
		h.logger.Warn("malformed request refused", "method", r.Method, "path", r.RequestURI, "cause", cause.String())
	}
}

// prefixBuffer stores the first maxRefusalBytes bytes that are written to it.
type prefixBuffer struct{ bytes.Buffer }

// Write implements io.Writer.
func (b *prefixBuffer) Write(p []byte) (int, error) {
	b.Buffer.Write(p[:min(len(p), maxRefusalBytes-min(b.Len(), maxRefusalBytes))])
	return len(p), nil
}

// wrapAPI returns the WrapAPI function of the interface with its refusals
// logged; nil if the interface has none.
func (p *Process) wrapAPI() func(http.Handler, waxwingseam.Configurer) http.Handler {
	if p.external.WrapAPI == nil {
		return nil
	}
	return func(api http.Handler, configurer waxwingseam.Configurer) http.Handler {
		return refusalLogger{next: p.external.WrapAPI(api, configurer), logger: p.logger.Part("operators")}
	}
}
