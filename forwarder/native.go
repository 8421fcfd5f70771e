package forwarder

import (
	"errors"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// nativeCallers is the project's own protocol for callers: the first segment of
// a path names the service, and the rest is the path for the backend server.
type nativeCallers struct{}

// ParseRequest implements waxwingseam.CallerProtocol.
func (nativeCallers) ParseRequest(r *http.Request) (waxwingseam.CallArrived, string, error) {
	service, target, err := splitTarget(r)
	if err != nil {
		return waxwingseam.CallArrived{}, "", err
	}
	timeout, err1 := parseTimeout(r.Header)
	key, err2 := parseKey(r.Header)
	parent, err3 := parseContext(r.Header)
	if err := errors.Join(err1, err2, err3); err != nil {
		return waxwingseam.CallArrived{}, "", trace.BadParameter("%s", err.Error())
	}
	return waxwingseam.CallArrived{
		Parent:     parent,
		Service:    waxwingseam.ServiceName(service),
		Method:     r.Method,
		Path:       waxwingseam.TargetPath(target),
		Timeout:    timeout,
		Key:        key,
		Replayable: true,
		Trace:      parseTraceParent(r.Header),
	}, target, nil
}

// MatchRequest implements waxwingseam.CallerProtocol.
func (nativeCallers) MatchRequest(r *http.Request) waxwingseam.Request {
	service, target, err := splitTarget(r)
	if err != nil {
		return waxwingseam.Request{}
	}
	return waxwingseam.Request{Service: waxwingseam.ServiceName(service), Method: r.Method, Path: waxwingseam.TargetPath(target)}
}

// splitTarget returns the service's name and the target for the backend server.
func splitTarget(r *http.Request) (service, target string, err error) {
	sent, err := waxwingseam.RequestTarget(r)
	if err != nil {
		return "", "", err
	}
	service = ServiceSegment(sent)
	target = sent[1+len(service):]
	if !strings.HasPrefix(target, "/") {
		target = "/" + target
	}
	return service, target, nil
}

// ServiceSegment returns the first segment of a target's path.
func ServiceSegment(target string) string {
	service, _, _ := strings.Cut(waxwingseam.TargetPath(target)[1:], "/")
	return service
}

// AppendIdentity implements waxwingseam.CallerProtocol. The host is that of the node to which
// the request was sent.
func (nativeCallers) AppendIdentity(b []byte, service waxwingseam.ServiceName, _ string, header http.Header) []byte {
	return waxwingseam.AppendCaller(waxwingseam.AppendText(b, string(service)), header)
}

// RemoveAccount implements waxwingseam.CallerProtocol.
func (nativeCallers) RemoveAccount(header http.Header) {
	waxwingseam.RemoveCaller(header)
	delete(header, HeaderAccount)
}

// WriteProblem implements waxwingseam.CallerProtocol.
func (nativeCallers) WriteProblem(w http.ResponseWriter, result waxwingseam.Result, detail string) {
	writeProblem(w, result, detail)
}

// SetReplyFields implements waxwingseam.CallerProtocol.
func (nativeCallers) SetReplyFields(header http.Header) {
	header.Set(HeaderOutcome, waxwingseam.OutcomeCompleted.String())
}

// nativeBackend is the project's own protocol for backend servers.
type nativeBackend struct{}

// SetRequestFields implements waxwingseam.BackendProtocol.
func (nativeBackend) SetRequestFields(header http.Header, r waxwingseam.BackendRequest) {
	header.Set(HeaderContext, r.Call.ID.String())
	if r.Call.Account != "" {
		header.Set(HeaderAccount, string(r.Call.Account))
	} else if r.KeysRequired {
		delete(header, HeaderAccount)
	}
	if parent := formatTraceParent(r.Call.Trace); parent != "" {
		header.Set(headerTraceParent, parent)
	}
}

// CheckReply implements waxwingseam.BackendProtocol. A reply that returns the context of
// another run belongs to that run.
func (nativeBackend) CheckReply(request http.Header, _ int, reply http.Header) (waxwingseam.ReplyVerdict, waxwingseam.Reason) {
	if id := reply.Get(HeaderContext); id != "" && id != request.Get(HeaderContext) {
		return waxwingseam.ReplyMismatched, waxwingseam.ReasonNone
	}
	return waxwingseam.ReplyMatched, waxwingseam.ReasonNone
}

// ParseLoad implements waxwingseam.BackendProtocol.
func (nativeBackend) ParseLoad(reply http.Header) waxwingseam.BackendLoad {
	return waxwingseam.ParseBackendLoad(reply.Get(HeaderLoad))
}

// ParseStatement implements waxwingseam.BackendProtocol.
func (nativeBackend) ParseStatement(reply http.Header) waxwingseam.Statement {
	return waxwingseam.NewStatement(strings.Join(reply.Values(HeaderRateLimit), ","), reply.Get(HeaderLeaving))
}
