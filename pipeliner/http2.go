package pipeliner

import (
	"errors"
	"io"
	"net/http"
	"time"

	"waxwingseam.example/waxwingseam/charger"
)

// maxHTTP2Body is the longest part of a body of an HTTP/2 request that is held before the
// request is handled. A connection carries several requests, whose windows are small.
const maxHTTP2Body = 256 << 10

// holdHTTP2 returns a handler for HTTP/2 requests that reads their bodies before next handles
// them, as far as they can be held. Bodies and answers have the same least rates as those of
// HTTP/1.1; a body that is slower is refused with 408, and one without memory with 503.
func (s *Server) holdHTTP2(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limits := s.limits()
		if r.ContentLength == 0 || r.ContentLength > limits.BodyBytes || !s.config.HoldsBody(r) {
			next.ServeHTTP(w, r)
			return
		}
		b := &http2Body{source: r.Body, budget: s.config.Budget, control: http.NewResponseController(w), limits: limits}
		defer b.drop()
		if refused := b.hold(r); refused != nil {
			s.countRefused(refused)
			w.Header().Set("Connection", "close")
			if refused == refusedMemory {
				w.Header().Set("Retry-After", "1")
			}
			w.WriteHeader(refused.code)
			return
		}
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

// http2Body is the body of an HTTP/2 request, of which the beginning is held.
type http2Body struct {
	source  io.ReadCloser
	budget  *charger.Budget
	control *http.ResponseController
	limits  Limits
	held    []byte
	// charged is what is charged for the held part.
	charged int64
	err     error
}

// hold reads the body, or as much of it as can be held.
func (b *http2Body) hold(r *http.Request) *refusal {
	var slow time.Duration
	for b.err == nil && len(b.held) < maxHTTP2Body {
		if !b.reserve(r) {
			return refusedMemory
		}
		began := time.Now()
		if err := b.control.SetReadDeadline(began.Add(b.limits.Grace - slow)); err != nil {
			return refusedSlowBody
		}
		start := len(b.held)
		b.held = append(b.held, make([]byte, smallBody)...)
		n, err := b.source.Read(b.held[start:])
		b.held = b.held[:start+n]
		b.err = err
		slow = waited(slow, time.Since(began), int64(n), b.limits.BodyRate)
	}
	if b.err != nil && !errors.Is(b.err, io.EOF) {
		return refusedSlowBody
	}
	if err := b.control.SetReadDeadline(time.Time{}); err != nil {
		return refusedSlowBody
	}
	return nil
}

// reserve takes memory for another piece.
func (b *http2Body) reserve(r *http.Request) bool {
	if !b.budget.Reserve(charger.UseBody, smallBody, r.Context().Done()) {
		return false
	}
	b.charged += smallBody
	return true
}

// Read implements io.Reader.
func (b *http2Body) Read(p []byte) (int, error) {
	if len(b.held) > 0 {
		n := copy(p, b.held)
		b.held = b.held[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	if err := b.control.SetReadDeadline(time.Now().Add(b.limits.Grace)); err != nil {
		return 0, err
	}
	return b.source.Read(p)
}

// Close implements io.Closer.
func (b *http2Body) Close() error {
	return b.source.Close()
}

// drop releases what was held.
func (b *http2Body) drop() {
	b.held = nil
	b.budget.Add(-b.charged)
	b.charged = 0
}
