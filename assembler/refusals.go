package assembler

import (
	"bytes"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5/middleware"

	"waxwingseam.example/waxwingseam"
)

const (
	// maxRefusalBytes bounds the text of a refusal in a log line.
	maxRefusalBytes = 300
	// refusalInterval is the time after which a refusal that repeats is logged again.
	refusalInterval = time.Minute
	// maxLoggedRefusals bounds the refusals that are remembered.
	maxLoggedRefusals = 256
)

// refusalLogger logs the requests that a handler refuses as malformed, with the
// text of its answer. The lines go through the logger's bounded queue, so that
// many refusals do not block requests. A refusal that repeats is logged again after
// refusalInterval, with the number of times.
type refusalLogger struct {
	next   http.Handler
	logger *slog.Logger

	mu     sync.Mutex
	logged map[refusal]loggedRefusal
}

// refusal identifies refusals that are logged once.
type refusal struct {
	method, path, cause string
}

// loggedRefusal is when a refusal was logged last, and how often it came since.
type loggedRefusal struct {
	at      time.Time
	repeats int
}

func newRefusalLogger(next http.Handler, logger *slog.Logger) *refusalLogger {
	return &refusalLogger{next: next, logger: logger, logged: map[refusal]loggedRefusal{}}
}

// ServeHTTP implements http.Handler.
func (h *refusalLogger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wrapped := middleware.NewWrapResponseWriter(w, r.ProtoMajor)
	cause := &prefixBuffer{}
	wrapped.Tee(cause)
	h.next.ServeHTTP(wrapped, r)
	if wrapped.Status() == http.StatusBadRequest {
		h.log(refusal{r.Method, r.RequestURI[:min(len(r.RequestURI), maxRefusalBytes)], cause.String()})
	}
}

// log writes a line, unless the same one was written within refusalInterval.
func (h *refusalLogger) log(v refusal) {
	now := time.Now()
	h.mu.Lock()
	known, repeated := h.logged[v]
	if repeated && now.Sub(known.at) < refusalInterval {
		known.repeats++
		h.logged[v] = known
		h.mu.Unlock()
		return
	}
	if len(h.logged) >= maxLoggedRefusals {
		clear(h.logged)
	}
	h.logged[v] = loggedRefusal{at: now}
	h.mu.Unlock()
	h.logger.Warn("malformed request refused", "method", v.method, "path", v.path, "cause", v.cause, "repeats", known.repeats)
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
		return newRefusalLogger(p.external.WrapAPI(api, configurer), p.logger.Part("operators"))
	}
}
