package assembler

import (
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/pipeliner"
)

const (
	// maxCallerConnections limits the open connections of callers at each listener. At 10
	// KB each, 2,000 hold a third of the budget of a process with 184 MB.
	maxCallerConnections = 2000
	// callerDescriptorShare is the fraction of the file descriptors for the callers of one
	// listener. The rest is for other nodes, backend servers, heartbeats and readiness.
	callerDescriptorShare = 0.5
	// maxChecks limits the open connections for readiness, heartbeats and metrics.
	maxChecks = 256
)

// callerLimits holds the limits for callers of the configuration in force. It observes the
// events of the reducer.
type callerLimits struct {
	limit atomic.Pointer[waxwingseam.CallerLimit]
}

// Observe implements runner.Observer.
func (l *callerLimits) Observe(e waxwingseam.Event, _ []waxwingseam.Effect) {
	v, ok := e.(waxwingseam.SetAdopted)
	if !ok {
		return
	}
	if len(v.Set.CallerLimits) == 0 {
		l.limit.Store(nil)
		return
	}
	limit := v.Set.CallerLimits[0]
	l.limit.Store(&limit)
}

// bodyBytes returns the limit in force of the length of a request body; 0 for none.
func (l *callerLimits) bodyBytes() int64 {
	if v := l.limit.Load(); v != nil {
		return int64(v.BodyBytes)
	}
	return 0
}

// callerLimits returns the limits for callers in force.
func (p *Process) callerLimits() pipeliner.Limits {
	out := pipeliner.Limits{
		Fields:    p.settings.Process.HeaderFields,
		BodyRate:  p.settings.Process.BodyRate,
		ReplyRate: p.settings.Process.ReplyRate,
		Grace:     p.settings.Process.ProgressGrace,
	}
	if v := p.limits.limit.Load(); v != nil {
		out.HeaderBytes = v.HeaderBytes
		out.BodyBytes = int64(v.BodyBytes)
		out.HeaderTimeout = v.HeaderTimeout
		out.IdleTimeout = v.IdleTimeout
	}
	return out
}

// callerServer returns the server for callers.
func (p *Process) callerServer(handler http.Handler) *pipeliner.Server {
	handler = p.refuseUnknown(handler)
	return pipeliner.New(pipeliner.Config{
		Handler:        handler,
		Repeatable:     p.repeatability.of(p.node.Forwarder.MatchRequest),
		Limits:         p.callerLimits,
		HoldsBody:      func(r *http.Request) bool { return !p.unknownClass(r) },
		MaxConnections: p.maxConnections(),
		Budget:         p.budget,
		Refused:        p.meter.RefusedClient,
		Unserved:       func(*http.Request) { p.meter.Unserved() },
		HTTP2:          forwarder.NewServer(handler),
		Logger:         p.logger.Part("callers"),
	})
}

// checkServer returns the server for readiness, heartbeats and metrics. Its connections are
// few and its requests short, so that callers can't take its memory.
func (p *Process) checkServer(handler http.Handler) *pipeliner.Server {
	const (
		maxHeader  = 8 << 10
		maxBody    = 64 << 10
		timeout    = 3 * time.Second
		idle       = 30 * time.Second
		bodyRate   = 4 << 10
		replyRate  = 4 << 10
		maxWaiting = 2 * time.Second
	)
	return pipeliner.New(pipeliner.Config{
		Handler:       http.MaxBytesHandler(handler, maxBody),
		MaxConcurrent: 1,
		Limits: func() pipeliner.Limits {
			return pipeliner.Limits{
				HeaderBytes: maxHeader, Fields: 64, BodyBytes: maxBody,
				HeaderTimeout: timeout, IdleTimeout: idle,
				BodyRate: bodyRate, ReplyRate: replyRate, Grace: maxWaiting,
			}
		},
		MaxConnections: maxChecks,
		Refused:        p.meter.RefusedClient,
		HTTP2:          forwarder.NewServer(handler),
		Logger:         p.logger.Part("checks"),
	})
}

// maxConnections returns the most open connections of callers at a listener.
func (p *Process) maxConnections() int {
	if n := p.settings.Process.CallerConnections; n > 0 {
		return n
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		p.logger.Part("process").Warn("the limit of file descriptors is unknown", "error", err)
		return maxCallerConnections
	}
	return int(min(maxCallerConnections, callerDescriptorShare*float64(limit.Cur)))
}

// unknownClass reports whether a request has a class that the configuration in force does
// not know.
func (p *Process) unknownClass(r *http.Request) bool {
	return p.external.AllServices && p.repeatability.unknown(p.node.Forwarder.MatchRequest(r))
}

// refuseUnknown answers requests with a body whose class is unknown, without reading it.
func (p *Process) refuseUnknown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 && p.unknownClass(r) {
			p.node.Forwarder.RefuseUnknown(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}
