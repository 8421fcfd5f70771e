package forwarder

import (
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"

	"waxwingseam.example/waxwingseam"
)

// backendRequest is a request to the backend server. Its body is written with its
// head if it is short and whole, and otherwise by a goroutine.
type backendRequest struct {
	call   *hostedCall
	target string
	host   string
	header http.Header
	// pending is set while the goroutine writes the body.
	pending atomic.Bool
}

// newBackendRequest returns the request of a call. It returns an error if a part of
// it can't be written as HTTP.
func (h *hostedCall) newBackendRequest(header http.Header) (*backendRequest, error) {
	o := h.opening
	q := &backendRequest{
		call:   h,
		target: o.Target,
		host:   o.Host,
		header: header,
	}
	if q.host == "" {
		q.host = h.forwarder.backend.address
	}
	if !waxwingseam.ValidTarget(o.Target) {
		return nil, trace.BadParameter("the target %q is invalid", o.Target)
	}
	if !httpguts.ValidHeaderFieldName(o.Method) {
		return nil, trace.BadParameter("the method %q is invalid", o.Method)
	}
	if !httpguts.ValidHostHeader(q.host) {
		return nil, trace.BadParameter("the host %q is invalid", q.host)
	}
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, trace.BadParameter("the header name %q is invalid", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return nil, trace.BadParameter("the header %s has an invalid value", name)
			}
		}
	}
	return q, nil
}

// write writes the head of the request, and the body or its beginning. It returns how
// many bytes were written.
func (q *backendRequest) write(c *backendConn) (int, error) {
	o := q.call.opening
	out := q.appendHead(c.request[:0])
	if o.Length == 0 {
		n, err := c.Write(out)
		c.keepRequest(out)
		return n, trace.Wrap(err)
	}
	body, whole := q.call.body.singleChunk()
	whole = whole && (o.Length == int64(len(body)) || o.Length < 0)
	if whole {
		out = q.appendBody(out, body)
		q.pending.Store(false)
	} else {
		q.pending.Store(true)
	}
	n, err := c.Write(out)
	c.keepRequest(out)
	if err != nil {
		return n, trace.Wrap(err)
	}
	if whole {
		q.call.consume(int64(len(body)))
	} else {
		go q.writeBody(c)
	}
	return n, nil
}

// sent reports whether the whole request was written.
func (q *backendRequest) sent() bool {
	return !q.pending.Load()
}

func (q *backendRequest) appendHead(out []byte) []byte {
	o := q.call.opening
	out = append(out, o.Method...)
	out = append(out, ' ')
	out = append(out, q.target...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, q.host...)
	out = append(out, "\r\n"...)
	for name, values := range q.header {
		if isFraming(name) {
			continue
		}
		for _, v := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, strings.TrimSpace(v)...)
			out = append(out, "\r\n"...)
		}
	}
	switch {
	case o.Length < 0:
		out = append(out, "Transfer-Encoding: chunked\r\n"...)
	case o.Length > 0 || o.Method == http.MethodPost || o.Method == http.MethodPut || o.Method == http.MethodPatch:
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, o.Length, 10)
		out = append(out, "\r\n"...)
	}
	return append(out, "\r\n"...)
}

// isFraming reports whether a header says where a message begins or ends.
func isFraming(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Host", "Content-Length", "Transfer-Encoding", "Trailer", "Connection":
		return true
	}
	return false
}

// appendBody appends a whole body.
func (q *backendRequest) appendBody(out, body []byte) []byte {
	if q.call.opening.Length >= 0 {
		return append(out, body...)
	}
	if len(body) > 0 {
		out = strconv.AppendInt(out, int64(len(body)), 16)
		out = append(out, "\r\n"...)
		out = append(out, body...)
		out = append(out, "\r\n"...)
	}
	return append(out, "0\r\n\r\n"...)
}

// writeBody writes the body as it arrives. If the body breaks off, it aborts the connection, so
// that the backend server does not take the body as whole. If the connection has failed, a
// reply that came before can still be read.
func (q *backendRequest) writeBody(c *backendConn) {
	err := q.copyBody(c)
	switch {
	case err == nil:
		q.pending.Store(false)
	case !c.writeFailed():
		c.abort()
	}
}

func (q *backendRequest) copyBody(c *backendConn) error {
	length := q.call.opening.Length
	if length < 0 {
		w := httputil.NewChunkedWriter(c)
		if _, err := copyBody(w, q.call); err != nil {
			return err
		}
		if err := w.Close(); err != nil {
			return trace.Wrap(err)
		}
		_, err := io.WriteString(c, "\r\n")
		return trace.Wrap(err)
	}
	n, err := copyBody(c, io.LimitReader(q.call, length))
	if err != nil {
		return err
	}
	if n != length {
		return trace.BadParameter("the body has %d bytes, want %d", n, length)
	}
	if extra, err := q.call.Read(make([]byte, 1)); extra > 0 || !errors.Is(err, io.EOF) {
		return trace.BadParameter("the body has more than %d bytes, or does not end", length)
	}
	return nil
}
