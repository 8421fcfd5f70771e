package forwarder

import (
	"encoding/hex"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// The headers of the callers' interface.
const (
	// HeaderContext carries the call id to the backend server, which echoes it
	// in the calls that it makes during the run. It may also return it with its
	// reply, so that a reply that arrives late is not taken for that of a later run.
	HeaderContext = "Waxwingseam-Context"
	// HeaderOutcome is the outcome of a call.
	HeaderOutcome = "Waxwingseam-Outcome"
	// HeaderTimeout is the caller's timeout in seconds.
	HeaderTimeout = "Request-Timeout"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"

	// HeaderRateLimit is the rate of requests, per second, that a backend server
	// accepts from all nodes together.
	HeaderRateLimit = "Waxwingseam-Rate-Limit"
	// HeaderLeaving is set to 1 by a backend server that takes no new work.
	HeaderLeaving = "Waxwingseam-Leaving"

	// HeaderLoad is a backend server's load: running and waiting requests, slots, and
	// how long work takes at this moment, in hundredths of the usual time.
	HeaderLoad = "Waxwingseam-Load"

	// HeaderAccount names the client account of a request to the backend server.
	HeaderAccount = "Waxwingseam-Account"

	headerTraceParent = "Traceparent"
)

const (
	maxTimeout   = 24 * time.Hour
	maxKeyLength = 255
)

// unforwardedHeaders are the headers that are not forwarded: they apply to one
// connection only, or the nodes set them themselves.
var unforwardedHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
	"Content-Length",
	HeaderContext,
	HeaderOutcome,
}

// forwardable returns the headers of a request that are forwarded, without those that apply
// to the connection only. Their values are shared.
func forwardable(header http.Header) http.Header {
	out := cloneShallow(header)
	for _, name := range unforwardedHeaders {
		delete(out, name)
	}
	return out
}

// cloneShallow returns a header that shares its values.
func cloneShallow(header http.Header) http.Header {
	out := make(http.Header, len(header))
	for name, values := range header {
		out[name] = values[:len(values):len(values)]
	}
	return out
}

// dropUnforwarded removes the headers of a reply that are not forwarded. Their names are in
// the canonical form.
func dropUnforwarded(header http.Header) {
	dropOptions(header, connectionOptions(header))
	for _, name := range unforwardedHeaders {
		delete(header, name)
	}
}

// connectionOptions returns the headers that a Connection header names, with their values.
func connectionOptions(header http.Header) http.Header {
	var out http.Header
	for _, v := range header["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if values, ok := header[name]; ok && len(values) > 0 {
				if out == nil {
					out = http.Header{}
				}
				out[name] = values
			}
		}
	}
	return out
}

// dropOptions removes the headers that a Connection header named, unless they were set anew
// since: a peer can't have a header removed that the node sets.
func dropOptions(header, options http.Header) {
	for name, values := range options {
		if now := header[name]; len(now) > 0 && &now[0] == &values[0] {
			delete(header, name)
		}
	}
}

// parseTimeout parses a timeout in decimal seconds. It returns 0 without one.
func parseTimeout(header http.Header) (time.Duration, error) {
	text, err := singleValue(header, HeaderTimeout)
	if text == "" || err != nil {
		return 0, err
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 || seconds > maxTimeout.Seconds() {
		return 0, trace.BadParameter("%s is not a number of seconds above 0 and up to %d", HeaderTimeout, int(maxTimeout.Seconds()))
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// parseKey parses an idempotency key, with or without quotes; empty without one.
func parseKey(header http.Header) (string, error) {
	text, err := singleValue(header, HeaderKey)
	if err != nil {
		return "", err
	}
	key := strings.TrimSuffix(strings.TrimPrefix(text, `"`), `"`)
	unprintable := func(r rune) bool { return r < ' ' || r > '~' }
	if len(header.Values(HeaderKey)) > 0 && key == "" || len(key) > maxKeyLength || strings.ContainsFunc(key, unprintable) {
		return "", trace.BadParameter("%s is not 1 to %d printable ASCII characters", HeaderKey, maxKeyLength)
	}
	return key, nil
}

// parseContext parses the call id that a backend server echoes. It returns zero
// without one.
func parseContext(header http.Header) (waxwingseam.CallID, error) {
	text, err := singleValue(header, HeaderContext)
	if text == "" || err != nil {
		return waxwingseam.CallID{}, err
	}
	return waxwingseam.ParseCallID(text)
}

// singleValue returns the only value of a header; empty without one.
func singleValue(header http.Header, name string) (string, error) {
	values := header.Values(name)
	if len(values) > 1 {
		return "", trace.BadParameter("%s is given %d times", name, len(values))
	}
	return header.Get(name), nil
}

const (
	traceParentParts = 4
	traceIDLength    = 32
	spanIDLength     = 16
	sampledFlag      = 1
)

// parseTraceParent parses a W3C trace context; zero if it is missing or invalid.
func parseTraceParent(header http.Header) waxwingseam.TraceContext {
	var out waxwingseam.TraceContext
	parts := strings.Split(header.Get(headerTraceParent), "-")
	if len(parts) < traceParentParts || len(parts[1]) != traceIDLength || len(parts[2]) != spanIDLength {
		return out
	}
	id, err1 := hex.DecodeString(parts[1])
	span, err2 := hex.DecodeString(parts[2])
	flags, err3 := strconv.ParseUint(parts[3], 16, 8)
	if slices.ContainsFunc([]error{err1, err2, err3}, func(err error) bool { return err != nil }) {
		return out
	}
	copy(out.TraceID[:], id)
	copy(out.SpanID[:], span)
	out.Sampled = flags&sampledFlag != 0
	return out
}

// formatTraceParent formats a W3C trace context; empty for a zero context.
func formatTraceParent(c waxwingseam.TraceContext) string {
	if c.TraceID == [16]byte{} {
		return ""
	}
	flags := "00"
	if c.Sampled {
		flags = "01"
	}
	return "00-" + hex.EncodeToString(c.TraceID[:]) + "-" + hex.EncodeToString(c.SpanID[:]) + "-" + flags
}
