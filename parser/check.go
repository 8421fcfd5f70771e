package parser

import (
	"net/http"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"
)

// CheckResponse returns what breaks the protocol in a response that an http.Client has received,
// which accepts more than the protocol allows. Trailers are checked if the body was read. Errors
// are bad parameters.
func CheckResponse(r *http.Response) error {
	if r.StatusCode < minStatus {
		return trace.BadParameter("the status is malformed")
	}
	// A client that has negotiated HTTP/2 has done so with TLS.
	if r.ProtoMajor != 1 && r.TLS == nil {
		return trace.BadParameter("the version of the protocol is not supported")
	}
	for _, header := range []http.Header{r.Header, r.Trailer} {
		for name := range header {
			if !httpguts.ValidHeaderFieldName(name) {
				return trace.BadParameter("a header name is malformed")
			}
		}
	}
	return nil
}
