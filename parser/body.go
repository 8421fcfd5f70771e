package parser

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/gravitational/trace"
)

// maxTrailerBytes limits the trailer section behind the chunks of a body, which is
// dropped.
const maxTrailerBytes = 4 << 10

// NewBody returns the body of a parsed request. It reads nothing behind the body.
func NewBody(r *http.Request, reader *bufio.Reader) io.ReadCloser {
	switch {
	case r.ContentLength < 0:
		return &chunkedBody{reader: reader, chunks: httputil.NewChunkedReader(reader)}
	case r.ContentLength == 0:
		return http.NoBody
	}
	return &plainBody{reader: reader, left: r.ContentLength}
}

// plainBody is a body with a length.
type plainBody struct {
	reader *bufio.Reader
	left   int64
}

// Read implements io.Reader. It returns io.EOF with the last bytes, and
// io.ErrUnexpectedEOF for a body that ends early.
func (b *plainBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		err = io.EOF
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Close implements io.Closer.
func (*plainBody) Close() error {
	return nil
}

// chunkedBody is a body in chunks.
type chunkedBody struct {
	reader *bufio.Reader
	chunks io.Reader
	// checked is set if the fields of the trailer section are validated.
	checked bool
	err     error
}

// Read implements io.Reader. It returns io.EOF once the last chunk and the trailer section
// were read.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.skipTrailer()
	}
	b.err = err
	return n, err
}

// skipTrailer reads the trailer section and returns io.EOF.
func (b *chunkedBody) skipTrailer() error {
	first := true
	for left := maxTrailerBytes; ; first = false {
		line, err := b.reader.ReadSlice('\n')
		left -= len(line)
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case errors.Is(err, bufio.ErrBufferFull), left < 0:
			return trace.BadParameter("the trailer section is too long")
		case err != nil:
			return err
		case len(trimEnd(line)) == 0:
			return io.EOF
		}
		if err := b.checkTrailer(trimEnd(line), first); err != nil {
			return err
		}
	}
}

// checkTrailer validates a line of the trailer section. All but the first one may continue the
// value of the line before.
func (b *chunkedBody) checkTrailer(line []byte, first bool) error {
	switch {
	case !b.checked:
		return nil
	case !first && isFolded(line):
		if !validValue(line) {
			return trace.BadParameter("a header value is malformed")
		}
		return nil
	}
	return canonicalizeField(line)
}

// Close implements io.Closer.
func (*chunkedBody) Close() error {
	return nil
}
