package pipeliner

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"
)

// headLength returns the length of the request head at the beginning of data, with its
// empty line; 0 if it is incomplete. The first bytes are known to contain no end.
func headLength(data []byte, searched int) int {
	// The end of the head may have begun in the last three bytes searched.
	for at := max(searched-3, 0); ; {
		i := bytes.IndexByte(data[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		rest := data[at:]
		if len(rest) >= 1 && rest[0] == '\n' {
			return at + 1
		}
		if len(rest) >= 2 && rest[0] == '\r' && rest[1] == '\n' {
			return at + 2
		}
	}
}

// hasHost reports whether a request head has a host field, which may be empty.
// http.ReadRequest refuses a head with several, and accepts one without any.
func hasHost(head []byte) bool {
	for line := range bytes.Lines(head) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		if ok && bytes.EqualFold(name, []byte("host")) {
			return true
		}
	}
	return false
}

// parseHead parses the request of which the reader has buffered the whole head.
func parseHead(reader *bufio.Reader, hasHost bool) (*http.Request, error) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, trace.BadParameter("%s", err.Error())
	}
	switch {
	case r.ProtoMajor != 1:
		return nil, trace.BadParameter("the version of the protocol is not supported")
	case !hasHost && r.ProtoAtLeast(1, 1):
		return nil, trace.BadParameter("the request has no host field")
	case !httpguts.ValidHostHeader(r.Host):
		return nil, trace.BadParameter("the host field is malformed")
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, trace.BadParameter("a header name is malformed")
		}
	}
	return r, nil
}
