package waxwingseam

import (
	"encoding/binary"
	"net/http"
	"strings"
	"time"
)

// CallerProtocol is the HTTP protocol between callers and a node.
type CallerProtocol interface {
	// ParseRequest returns the call that a request makes, and the request target
	// for the backend server. It may change headers that are forwarded.
	ParseRequest(r *http.Request) (a CallArrived, target string, err error)
	// MatchRequest returns the parts of a request that a classifier matches. It does not
	// change the request.
	MatchRequest(r *http.Request) Request
	// AppendIdentity appends what distinguishes a request for a service or a host from others
	// with the same method, target and body. It is equal for all resends of the request,
	// at whatever node, and each part has its length before it.
	AppendIdentity(b []byte, service ServiceName, host string, header http.Header) []byte
	// RemoveAccount removes the key of a client account, and what names an account to
	// backend servers, from the header of a request.
	RemoveAccount(header http.Header)
	// WriteProblem writes the system's own answer to a call without an answer of a
	// backend server. The detail is a text for the caller; empty for none.
	WriteProblem(w http.ResponseWriter, result Result, detail string)
	// SetReplyFields sets the protocol's fields in the header of a backend server's
	// reply.
	SetReplyFields(header http.Header)
}

// callerField is the header field that identifies the caller, if there is any.
const callerField = "Authorization"

// bearerScheme is the authentication scheme of keys, in lower case.
const bearerScheme = "bearer "

// BearerDigest returns the digest of the key of a client account in the header of a
// request: that of the only Authorization field, if its scheme is Bearer. It is zero
// without a key.
func BearerDigest(header http.Header) KeyDigest {
	values := header[callerField]
	if len(values) != 1 || len(values[0]) <= len(bearerScheme) {
		return KeyDigest{}
	}
	scheme, key := values[0][:len(bearerScheme)], strings.Trim(values[0][len(bearerScheme):], " ")
	if !strings.EqualFold(scheme, bearerScheme) || key == "" {
		return KeyDigest{}
	}
	return DigestKey(key)
}

// RemoveCaller removes the caller's credentials, for CallerProtocol.RemoveAccount.
func RemoveCaller(header http.Header) {
	delete(header, callerField)
}

// AppendCaller appends the caller's credentials, for CallerProtocol.AppendIdentity.
func AppendCaller(b []byte, header http.Header) []byte {
	return AppendText(b, header.Get(callerField))
}

// AppendText appends a text behind its length, so that no two sequences of texts are
// appended alike.
func AppendText(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

// BackendRequest holds the data on which the header of a request to the backend
// server may depend.
type BackendRequest struct {
	Call Call
	// Instance identifies the backend server's incarnation that must run the
	// call; empty for any.
	Instance string
	// KeysRequired is set if the configuration has client accounts, so that only the
	// call's account may be named in the header.
	KeysRequired bool
	// TimeToDeadline is the time left until the call's deadline.
	TimeToDeadline time.Duration
}

// ReplyVerdict is the result of checking a backend server's reply.
type ReplyVerdict uint8

const (
	// ReplyMatched means that the reply belongs to the call.
	ReplyMatched ReplyVerdict = iota
	// ReplyDidNotRun means that the backend server refused the call.
	ReplyDidNotRun
	// ReplyMismatched means that the reply may belong to another call, so that
	// the connection can no longer be used.
	ReplyMismatched
)

// BackendProtocol is the HTTP protocol between a node and its own backend
// server.
type BackendProtocol interface {
	// SetRequestFields sets the protocol's fields in the header of a request to the
	// backend server.
	SetRequestFields(header http.Header, r BackendRequest)
	// CheckReply checks the status and header of a reply to a request with the
	// given header. The reason is set with ReplyDidNotRun.
	CheckReply(request http.Header, status int, reply http.Header) (ReplyVerdict, Reason)
	// ParseStatement returns what the backend server says of itself in a reply.
	ParseStatement(reply http.Header) Statement
	// ParseLoad returns what the backend server says of its load in a reply.
	ParseLoad(reply http.Header) BackendLoad
}
