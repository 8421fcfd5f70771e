package pipeliner

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// requestBody is the body of a request. No further request is read before it is over.
type requestBody struct {
	connection *connection
	source     io.Reader
	// expected is set while the caller waits to be told to send the body.
	expected bool
	// over is closed once the body was read, its reading failed, or its request was
	// answered.
	over chan struct{}
	end  func()
	eof  atomic.Bool
	// held is the part of the body that was read before the request was handled, and
	// heldBytes is what is charged for it.
	held      [][]byte
	heldBytes int64
	// pieces are the whole pieces of held, for use again, and from is where the body began
	// on the connection.
	pieces [][]byte
	from   int64
	// streaming is set while the body takes one of the places for bodies that are handled
	// before they are whole.
	streaming bool
	mu        sync.Mutex
}

func newRequestBody(c *connection, r *http.Request) *requestBody {
	b := &requestBody{
		connection: c,
		source:     r.Body,
		expected:   strings.EqualFold(r.Header.Get("Expect"), "100-continue"),
		over:       make(chan struct{}),
	}
	b.end = sync.OnceFunc(func() { close(b.over) })
	return b
}

// whole reports whether the body was read completely.
func (b *requestBody) whole() bool {
	return b.eof.Load()
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if n, ok := b.readHeld(p); ok {
		return n, nil
	}
	if b.whole() {
		return 0, io.EOF
	}
	return b.readSource(p)
}

// readSource reads what was not held.
func (b *requestBody) readSource(p []byte) (int, error) {
	if b.expected {
		b.expected = false
		// All earlier answers are written, as requests with a body are not handled early.
		if _, err := io.WriteString(b.connection.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, trace.Wrap(err)
		}
	}
	b.connection.reading.Store(true)
	n, err := b.source.Read(p)
	b.connection.reading.Store(false)
	if errors.Is(err, io.EOF) {
		b.eof.Store(true)
	}
	if err != nil {
		b.end()
	}
	return n, err
}

// Close implements io.Closer. What was not read is not discarded: the answer then
// closes the connection.
func (b *requestBody) Close() error {
	return nil
}
