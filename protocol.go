package waxwingseam

import (
	"net/http"
	"time"
)

// CallerProtocol is how callers speak to a node over HTTP.
type CallerProtocol interface {
	// ParseRequest reads the call that a request makes, and the request target for
	// the backend server. It may change the headers that go on with the call.
	ParseRequest(r *http.Request) (a CallArrived, target string, err error)
	// WriteProblem answers a caller in place of a backend server.
	WriteProblem(w http.ResponseWriter, result Result, detail string)
	// ReplyHeader completes the header of a backend server's reply.
	ReplyHeader(header http.Header)
}

// BackendRequest is what the header of a request to the backend server may
// depend on.
type BackendRequest struct {
	Call Call
	// Instance is the backend server's life that is meant; empty for any.
	Instance string
	// TimeToDeadline is the time until the deadline.
	TimeToDeadline time.Duration
}

// ReplyVerdict says what the head of a backend server's reply tells.
type ReplyVerdict uint8

const (
	// ReplyMatched means that the reply is the call's own.
	ReplyMatched ReplyVerdict = iota
	// ReplyDidNotRun means that the backend server refused the call.
	ReplyDidNotRun
	// ReplyMismatched means that the reply is not known to be the call's own, so
	// that the connection is of no more use.
	ReplyMismatched
)

// BackendProtocol is how a node speaks to its own backend server over HTTP.
type BackendProtocol interface {
	// RequestHeader completes the header of a request.
	RequestHeader(header http.Header, r BackendRequest)
	// CheckReply looks at the head of a reply to a request with a header. The reason
	// goes with ReplyDidNotRun.
	CheckReply(request http.Header, status int, reply http.Header) (ReplyVerdict, Reason)
}
