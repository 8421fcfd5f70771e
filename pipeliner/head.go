package pipeliner

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/parser"
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

// parseHead parses the request of which the reader has buffered the whole head.
func parseHead(reader *bufio.Reader, head []byte) (*http.Request, error) {
	r, err := parser.Parse(head)
	if err != nil {
		return nil, err
	}
	if _, err := reader.Discard(len(head)); err != nil {
		return nil, trace.Wrap(err)
	}
	r.Body = parser.NewBody(r, reader)
	return r, nil
}
