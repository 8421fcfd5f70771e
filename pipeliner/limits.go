package pipeliner

import (
	"cmp"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

const (
	defaultMaxConnections = 2000
	defaultFields         = 256
	defaultRate           = 1 << 10
	defaultGrace          = 5 * time.Second
)

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	// HeaderBytes and Fields bound the head of a request; 0 fields means 256.
	HeaderBytes int
	Fields      int
	// BodyBytes bounds the body of a request; 0 means no bound.
	BodyBytes int64
	// HeaderTimeout bounds the reading of a head, and IdleTimeout the time between two
	// requests of a connection; 0 means no bound on that.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// BodyRate and ReplyRate are the least bytes per second that a caller has to send of a
	// body and to read of an answer; 0 means 1 KiB/s.
	BodyRate  int
	ReplyRate int
	// Grace is how long a body or an answer may take beyond its length at these rates; 0
	// means 5 s.
	Grace time.Duration
}

// limits returns the limits in force.
func (s *Server) limits() Limits {
	var l Limits
	if s.config.Limits != nil {
		l = s.config.Limits()
	}
	l.HeaderBytes = cmp.Or(l.HeaderBytes, s.config.MaxHeaderBytes)
	l.Fields = cmp.Or(l.Fields, defaultFields)
	l.BodyBytes = cmp.Or(l.BodyBytes, math.MaxInt64)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, s.config.HeaderTimeout)
	l.BodyRate = cmp.Or(l.BodyRate, defaultRate)
	l.ReplyRate = cmp.Or(l.ReplyRate, defaultRate)
	l.Grace = cmp.Or(l.Grace, defaultGrace)
	return l
}

// refusal is why a request is refused before it is handled, or a connection is closed.
type refusal struct {
	reason string
	code   int
	// fields are further fields of the answer.
	fields string
}

// status returns the status with its text.
func (r *refusal) status() string {
	return strconv.Itoa(r.code) + " " + http.StatusText(r.code)
}

// Error implements error.
func (r *refusal) Error() string {
	return r.reason
}

// The refusals of requests that were not handled.
var (
	refusedMalformed = &refusal{reason: "malformed", code: http.StatusBadRequest}
	refusedHead      = &refusal{reason: "head-too-large", code: http.StatusRequestHeaderFieldsTooLarge}
	refusedSlowHead  = &refusal{reason: "slow-head", code: http.StatusRequestTimeout}
	refusedSlowBody  = &refusal{reason: "slow-body", code: http.StatusRequestTimeout}
	refusedMemory    = &refusal{reason: "memory", code: http.StatusServiceUnavailable, fields: "Retry-After: 1\r\n"}
	refusedQuota     = &refusal{reason: "connections", code: http.StatusServiceUnavailable, fields: "Retry-After: 1\r\n"}
)

// The causes of closing a connection without an answer.
var (
	closedIdle      = &refusal{reason: "idle"}
	closedSlowReply = &refusal{reason: "slow-reply"}
)

// refusalFor returns the refusal for what was wrong with a request.
func refusalFor(cause error) *refusal {
	var r *refusal
	switch {
	case errors.As(cause, &r):
		return r
	case trace.IsLimitExceeded(cause):
		return refusedHead
	}
	return refusedMalformed
}
