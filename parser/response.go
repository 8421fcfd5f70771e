package parser

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"
)

// minStatus is the least status code (RFC 9110, section 15).
const minStatus = 100

// Framing is the way in which the end of a body is told.
type Framing int

const (
	// FramingNone is that of a head without a body.
	FramingNone Framing = iota
	// FramingLength is that of a body with a length.
	FramingLength
	// FramingChunks is that of a body in chunks.
	FramingChunks
	// FramingClose is that of a body that ends with its connection.
	FramingClose
)

// Response is the parsed head of a response.
type Response struct {
	// Status is at least 100.
	Status int
	Header http.Header
	// Length is the length of the body in bytes; -1 if it is not known. For a response to a HEAD
	// request it is the declared length.
	Length  int64
	Framing Framing
	// Close is set if no other response follows on the connection.
	Close bool
}

// ParseResponse parses the whole head, with its empty line, of the response to a request with a
// method. Errors are bad parameters.
func ParseResponse(head []byte, method string) (*Response, error) {
	scratch := scratches.Get().(*[]byte)
	defer scratches.Put(scratch)
	*scratch = append((*scratch)[:0], head...)
	lines := bytes.IndexByte(*scratch, '\n') + 1
	unfold((*scratch)[lines:])
	fields, err := canonicalize((*scratch)[lines:])
	if err != nil {
		return nil, err
	}
	text := string(*scratch)
	status, minor, err := parseStatusLine(strings.TrimSuffix(text[:max(lines-1, 0)], "\r"))
	if err != nil {
		return nil, err
	}
	r := &Response{Status: status, Header: parseFields(text[lines:], fields)}
	if err := r.setFraming(method, minor); err != nil {
		return nil, err
	}
	connection := r.Header["Connection"]
	r.Close = r.Framing == FramingClose || httpguts.HeaderValuesContainsToken(connection, "close") ||
		minor == 0 && !httpguts.HeaderValuesContainsToken(connection, "keep-alive")
	return r, nil
}

// unfold replaces the line ends within folded values by blanks (RFC 9112, section 5.2). A
// first line that begins with a blank stays one with an invalid name.
func unfold(fields []byte) {
	for i := 0; i+1 < len(fields); i++ {
		if fields[i] != '\n' || !isFolded(fields[i+1:]) {
			continue
		}
		fields[i] = ' '
		if i > 0 && fields[i-1] == '\r' {
			fields[i-1] = ' '
		}
	}
}

// isFolded reports whether a line continues the value of the line before.
func isFolded(line []byte) bool {
	return len(line) > 0 && (line[0] == ' ' || line[0] == '\t')
}

// parseStatusLine returns the status and the minor version of HTTP/1.
func parseStatusLine(line string) (status, minor int, err error) {
	proto, rest, ok := strings.Cut(line, " ")
	major, minor, known := http.ParseHTTPVersion(proto)
	if !ok || !known || major != 1 {
		return 0, 0, trace.BadParameter("the version of the protocol is not supported")
	}
	rest = strings.TrimLeft(rest, " ")
	digits, _, _ := strings.Cut(rest, " ")
	code, err := strconv.ParseUint(digits, 10, 16)
	if err != nil || len(digits) != 3 || code < minStatus || !validValue([]byte(rest)) {
		return 0, 0, trace.BadParameter("the status is malformed")
	}
	return int(code), minor, nil
}

// setFraming takes the framing and the length of the body from the method, the status and the
// fields that tell them.
func (r *Response) setFraming(method string, minor int) error {
	length, err := declaredLength(r.Header)
	if err != nil {
		return err
	}
	r.Length = length
	encodings, chunked := r.Header["Transfer-Encoding"]
	if chunked {
		// HTTP/1.0 has no chunks; its recipient would take their sizes as content.
		if len(encodings) != 1 || !strings.EqualFold(encodings[0], "chunked") || minor == 0 {
			return trace.BadParameter("the transfer encoding is not supported")
		}
		delete(r.Header, "Transfer-Encoding")
		delete(r.Header, "Content-Length")
		r.Length = -1
	}
	switch {
	case method == http.MethodHead:
		r.Framing = FramingNone
	case r.Status < http.StatusOK, r.Status == http.StatusNoContent, r.Status == http.StatusNotModified:
		r.Framing = FramingNone
		r.Length = 0
	case chunked:
		r.Framing = FramingChunks
	case r.Length < 0:
		r.Framing = FramingClose
	case r.Length > 0:
		r.Framing = FramingLength
	}
	return nil
}

// NewResponseBody returns the body of a parsed response. It reads nothing behind the body,
// unless that ends with its connection.
func NewResponseBody(r *Response, reader *bufio.Reader) io.Reader {
	switch r.Framing {
	case FramingLength:
		return &plainBody{reader: reader, left: r.Length}
	case FramingChunks:
		return &chunkedBody{reader: reader, chunks: httputil.NewChunkedReader(reader), checked: true}
	case FramingClose:
		return reader
	}
	return http.NoBody
}
