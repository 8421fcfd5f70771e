package forwarder

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net/http"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/parser"
)

// backendReply is a reply of the backend server. Its body need not be read or closed,
// but the connection can carry another request only if it was read to its end.
type backendReply struct {
	head replyHead
	body io.Reader
	// last is set if no other reply follows on the connection.
	last bool
}

// closeDelimitedBody is the body of a reply that ends with its connection.
type closeDelimitedBody struct {
	conn *backendConn
}

// Read implements io.Reader. It returns io.EOF only if the connection was closed in order.
func (b closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.conn.reader.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := b.conn.endError(); cause != nil {
			err = cause
		}
	}
	return n, err
}

// bodyOf returns the body of a reply.
func (c *backendConn) bodyOf(r *parser.Response) io.Reader {
	if r.Framing == parser.FramingClose {
		return closeDelimitedBody{c}
	}
	return parser.NewResponseBody(r, c.reader)
}

// readReplyHead reads the head of the reply to a request with a method.
func (c *backendConn) readReplyHead(method string) (*backendReply, error) {
	// Informational heads count as well.
	c.readable = maxHeaderBytes - int64(c.reader.Buffered())
	for {
		head, err := c.readHead()
		if err != nil {
			return nil, err
		}
		response, err := parser.ParseResponse(head, method)
		if err != nil {
			return nil, err
		}
		if response.Status == http.StatusSwitchingProtocols {
			return nil, trace.BadParameter("the reply switches protocols")
		}
		if response.Status >= http.StatusOK {
			c.readable = math.MaxInt64
			return &backendReply{
				head: replyHead{
					Status: response.Status,
					Header: response.Header,
					Length: response.Length,
				},
				body: c.bodyOf(response),
				last: response.Close,
			}, nil
		}
	}
}

// readHead reads a head with its empty line. It is valid until the next call.
func (c *backendConn) readHead() ([]byte, error) {
	head := c.head[:0]
	for {
		begin := len(head)
		var err error
		if head, err = c.appendLine(head); err != nil {
			return nil, err
		}
		if line := head[begin:]; len(line) == 1 || len(line) == 2 && line[0] == '\r' {
			break
		}
	}
	if cap(head) <= maxKeptHead {
		c.head = head
	}
	return head, nil
}

// appendLine appends a line of a head, with its end, which may be longer than the reader's buffer.
func (c *backendConn) appendLine(head []byte) ([]byte, error) {
	for {
		part, err := c.reader.ReadSlice('\n')
		head = append(head, part...)
		if err == nil {
			return head, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, trace.Wrap(err)
		}
	}
}

// keepable reports whether the connection can carry another request after a reply
// whose body was read to its end.
func (c *backendConn) keepable(r *backendReply) bool {
	return !r.last && c.reader.Buffered() == 0
}
