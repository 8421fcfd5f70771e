// Package parser parses the heads of HTTP/1.1 requests and responses (RFC 9112). The number of
// allocations does not depend on the number of header fields: names and values are parts
// of one copy of the head.
package parser

import (
	"bytes"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"
)

// fieldCost is the estimated memory of a parsed header field in bytes, besides its text:
// its entry in the map of fields, and its place in the list of values.
const fieldCost = 80

// requestCost is the estimated memory of a parsed request in bytes, besides its fields.
const requestCost = 1 << 10

// Cost returns the estimated memory in bytes of a parsed head.
func Cost(head []byte) int64 {
	return requestCost + int64(len(head)) + fieldCost*int64(CountFields(head))
}

// CountFields returns the number of lines of a head, which is at least that of its
// header fields.
func CountFields(head []byte) int {
	return bytes.Count(head, []byte("\n"))
}

// scratches holds room for copies of heads.
var scratches = sync.Pool{New: func() any { return new([]byte) }}

// Parse parses a whole head with its empty line. The request has no body; its length is
// -1 for a body in chunks. Errors are bad parameters.
func Parse(head []byte) (*http.Request, error) {
	scratch := scratches.Get().(*[]byte)
	defer scratches.Put(scratch)
	*scratch = append((*scratch)[:0], head...)
	lines := bytes.IndexByte(*scratch, '\n') + 1
	fields, err := canonicalize((*scratch)[lines:])
	if err != nil {
		return nil, err
	}
	text := string(*scratch)
	r, err := parseRequestLine(strings.TrimSuffix(text[:max(lines-1, 0)], "\r"))
	if err != nil {
		return nil, err
	}
	r.Header = parseFields(text[lines:], fields)
	if err := setHost(r); err != nil {
		return nil, err
	}
	if err := setLength(r); err != nil {
		return nil, err
	}
	connection := r.Header["Connection"]
	r.Close = httpguts.HeaderValuesContainsToken(connection, "close") ||
		!r.ProtoAtLeast(1, 1) && !httpguts.HeaderValuesContainsToken(connection, "keep-alive")
	return r, nil
}

// canonicalize validates header fields, brings their names into the canonical form in
// place, and returns their number.
func canonicalize(fields []byte) (int, error) {
	n := 0
	for line := range bytes.Lines(fields) {
		if !bytes.HasSuffix(line, []byte("\n")) {
			break
		}
		line = trimEnd(line)
		if len(line) == 0 {
			return n, nil
		}
		if err := canonicalizeField(line); err != nil {
			return 0, err
		}
		n++
	}
	return 0, trace.BadParameter("the header has no end")
}

// canonicalizeField validates a header field and brings its name into the canonical form in
// place.
func canonicalizeField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !canonicalizeName(name) {
		return trace.BadParameter("a header name is malformed")
	}
	if !validValue(value) {
		return trace.BadParameter("a header value is malformed")
	}
	return nil
}

// validValue reports whether a text has no control bytes but tabs.
func validValue(value []byte) bool {
	return !slices.ContainsFunc(value, func(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f })
}

// trimEnd removes the end of a line.
func trimEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// canonicalizeName brings a header name into the canonical form in place. It returns false
// if the name is invalid; a folded value has such a name, too.
func canonicalizeName(name []byte) bool {
	upper := true
	for i, b := range name {
		if !httpguts.IsTokenRune(rune(b)) {
			return false
		}
		if upper && 'a' <= b && b <= 'z' {
			name[i] = b - ('a' - 'A')
		} else if !upper && 'A' <= b && b <= 'Z' {
			name[i] = b + ('a' - 'A')
		}
		upper = b == '-'
	}
	return len(name) > 0
}

// parseFields returns n header fields, which were validated.
func parseFields(text string, n int) http.Header {
	header := make(http.Header, n)
	values := make([]string, n)
	for i := range values {
		line, rest, _ := strings.Cut(text, "\n")
		text = rest
		name, value, _ := strings.Cut(line, ":")
		values[i] = textproto.TrimString(value)
		if held, ok := header[name]; ok {
			header[name] = append(held, values[i])
		} else {
			header[name] = values[i : i+1 : i+1]
		}
	}
	return header
}

func parseRequestLine(line string) (*http.Request, error) {
	method, rest, ok1 := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	if !ok1 || !ok2 || method == "" || strings.ContainsFunc(method, func(c rune) bool { return !httpguts.IsTokenRune(c) }) {
		return nil, trace.BadParameter("the request line is malformed")
	}
	major, minor, ok := http.ParseHTTPVersion(proto)
	if !ok || major != 1 {
		return nil, trace.BadParameter("the version of the protocol is not supported")
	}
	raw := target
	authority := method == http.MethodConnect && !strings.HasPrefix(target, "/")
	if authority {
		raw = "http://" + target
	}
	u, err := url.ParseRequestURI(raw)
	if err != nil {
		return nil, trace.BadParameter("the request target is malformed")
	}
	if authority {
		u.Scheme = ""
	}
	return &http.Request{
		Method:     method,
		URL:        u,
		RequestURI: target,
		Proto:      proto,
		ProtoMajor: major,
		ProtoMinor: minor,
		Body:       http.NoBody,
	}, nil
}

// setHost takes the host from the target or else from its field.
func setHost(r *http.Request) error {
	hosts := r.Header["Host"]
	delete(r.Header, "Host")
	switch {
	case len(hosts) > 1:
		return trace.BadParameter("the request has several host fields")
	case len(hosts) == 0 && r.ProtoAtLeast(1, 1):
		return trace.BadParameter("the request has no host field")
	}
	r.Host = r.URL.Host
	if r.Host == "" && len(hosts) > 0 {
		r.Host = hosts[0]
	}
	if !httpguts.ValidHostHeader(r.Host) {
		return trace.BadParameter("the host field is malformed")
	}
	return nil
}

// setLength takes the length of the body from the fields that tell it.
func setLength(r *http.Request) error {
	length, err := declaredLength(r.Header)
	if err != nil {
		return err
	}
	r.ContentLength = max(length, 0)
	encodings, ok := r.Header["Transfer-Encoding"]
	delete(r.Header, "Transfer-Encoding")
	if !ok || !r.ProtoAtLeast(1, 1) {
		return nil
	}
	if len(encodings) != 1 || !strings.EqualFold(encodings[0], "chunked") {
		return trace.BadParameter("the transfer encoding is not supported")
	}
	delete(r.Header, "Content-Length")
	delete(r.Header, "Trailer")
	r.TransferEncoding = []string{"chunked"}
	r.ContentLength = -1
	return nil
}

// declaredLength returns the length that a header declares, and removes what repeats it; -1
// without one.
func declaredLength(header http.Header) (int64, error) {
	lengths := header["Content-Length"]
	if len(lengths) == 0 {
		return -1, nil
	}
	for _, v := range lengths {
		if v != lengths[0] {
			return 0, trace.BadParameter("the body has several lengths")
		}
	}
	n, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil {
		return 0, trace.BadParameter("the length of the body is malformed")
	}
	header["Content-Length"] = lengths[:1]
	return int64(n), nil
}
