package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/charger"
)

// holdLimit is how many bytes of a body are held until its length is known or the turn
// of the response has come.
const holdLimit = 2 << 10

const writeBufferSize = 4 << 10

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}

// errShortBody means that a handler wrote less than the length that it declared.
var errShortBody = trace.BadParameter("the body is shorter than its declared length")

// response is the answer to one request. It implements http.ResponseWriter, and the
// methods that http.ResponseController uses.
type response struct {
	connection *connection
	request    *http.Request
	cancel     context.CancelFunc
	// body is nil for a request without a body.
	body *requestBody
	// early caches mayStartEarly.
	early *bool
	// behind is set if the request was sent before an earlier one was answered, and
	// permitted while it holds a permit for that.
	behind    bool
	permitted bool
	// reserved is what the request holds for being handled early, and cost what its head
	// and its handling hold.
	reserved, cost int64
	// turn is closed once the earlier answers are written; nil if they are already.
	turn <-chan struct{}

	header  http.Header
	status  int
	held    []byte
	begun   bool
	chunked bool
	// untilClose is set if the body ends with the connection, as HTTP/1.0 has no chunks.
	untilClose bool
	closes     bool
	// length is the declared length of the body; -1 without one.
	length, sent int64

	// over and next are guarded by the lock of the connection: next is the turn of the
	// next response, and closed once this one is over.
	over bool
	next chan struct{}
}

func newResponse(c *connection, r *http.Request) *response {
	w := &response{
		connection: c,
		header:     http.Header{},
		length:     -1,
	}
	ctx := context.Context(&requestContext{Context: c.ctx, received: c.conn.received, account: c.account})
	ctx, w.cancel = context.WithCancel(ctx)
	r.RemoteAddr = c.remote
	if r.ContentLength != 0 {
		w.body = newRequestBody(c, r)
		r.Body = w.body
	}
	w.request = r.WithContext(ctx)
	w.cost = headCost(r)
	c.account.Add(w.cost)
	c.mu.Lock()
	w.behind = c.active > 0
	c.mu.Unlock()
	return w
}

// giveUp ends a request that is not handled.
func (w *response) giveUp() {
	w.cancel()
	w.settle()
}

// settle releases what the request holds.
func (w *response) settle() {
	w.connection.account.Add(-w.cost - w.reserved)
	w.cost, w.reserved = 0, 0
	if w.body != nil {
		w.body.drop()
	}
	w.releasePermit()
}

// takeEarly takes memory for the answer of a request that is handled early.
func (w *response) takeEarly() bool {
	if w.reserved == 0 && w.connection.account.Take(charger.UseEarly, earlyCost) {
		w.reserved = earlyCost
	}
	return w.reserved > 0
}

// mayStartEarly reports whether the request may be handled before earlier ones are
// answered.
func (w *response) mayStartEarly() bool {
	if w.early == nil {
		early := w.body == nil && w.connection.server.config.Repeatable(w.request)
		w.early = &early
	}
	return *w.early
}

// requestContext is the context of a request.
type requestContext struct {
	context.Context
	received time.Time
	account  *charger.Account
}

type receivedKey struct{}

type accountKey struct{}

// Value implements context.Context.
func (c *requestContext) Value(key any) any {
	switch key {
	case receivedKey{}:
		return c.received
	case accountKey{}:
		return c.account
	}
	return c.Context.Value(key)
}

// Account returns the account of the connection that a request came over; nil if there is
// none.
func Account(r *http.Request) *charger.Account {
	a, _ := r.Context().Value(accountKey{}).(*charger.Account)
	return a
}

// Received returns when a request was received, which may be earlier than its handling;
// false if that is unknown.
func Received(r *http.Request) (time.Time, bool) {
	at, ok := r.Context().Value(receivedKey{}).(time.Time)
	return at, ok
}

// written returns a channel that is closed once the response is over. The connection's
// lock is held.
func (w *response) written() <-chan struct{} {
	w.next = make(chan struct{})
	if w.over {
		close(w.next)
	}
	return w.next
}

// serve handles the request and writes the answer.
func (w *response) serve() {
	c := w.connection
	defer c.handlers.Done()
	defer c.answered(w)
	defer w.settle()
	defer w.cancel()
	defer func() {
		if p := recover(); p != nil {
			w.fail(p)
		}
	}()
	c.server.config.Handler.ServeHTTP(w, w.request)
	if err := w.finish(); err != nil {
		c.abort()
	}
	if w.body != nil {
		w.body.end()
	}
}

// fail breaks the connection after a handler has panicked, so that its answer does not
// look complete.
func (w *response) fail(cause any) {
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		w.connection.server.config.Logger.Error("handling a request panicked", "cause", cause, "stack", string(debug.Stack()))
	}
	_ = w.waitTurn()
	w.connection.abort()
	if w.body != nil {
		w.body.end()
	}
}

// waitTurn waits until the earlier answers are written. It returns an error if the
// caller leaves before.
func (w *response) waitTurn() error {
	if w.turn == nil {
		return nil
	}
	select {
	case <-w.turn:
		return nil
	case <-w.request.Context().Done():
		return trace.Wrap(w.request.Context().Err())
	}
}

// isTurn reports whether the earlier answers are written.
func (w *response) isTurn() bool {
	select {
	case <-w.turn:
		return true
	default:
		return w.turn == nil
	}
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header {
	return w.header
}

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	if text := w.header.Get("Content-Length"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			w.header.Del("Content-Length")
			return
		}
		w.length = n
	}
}

// mayHaveBody reports whether the status allows a body.
func (w *response) mayHaveBody() bool {
	return w.status >= http.StatusOK && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if !w.mayHaveBody() {
		return 0, http.ErrBodyNotAllowed
	}
	w.sent += int64(len(p))
	if w.length >= 0 && w.sent > w.length {
		return 0, http.ErrContentLength
	}
	if w.request.Method == http.MethodHead {
		return len(p), nil
	}
	if !w.begun && len(w.held)+len(p) <= holdLimit && (w.length < 0 || !w.isTurn()) {
		w.held = append(w.held, p...)
		return len(p), nil
	}
	if err := w.begin(); err != nil {
		return 0, err
	}
	return w.writeBody(p)
}

// writeBody writes a part of the body after the head.
func (w *response) writeBody(p []byte) (int, error) {
	out := w.connection.writer
	if len(p) == 0 {
		return 0, nil
	}
	if !w.chunked {
		n, err := out.Write(p)
		return n, trace.Wrap(err)
	}
	_, _ = out.Write(strconv.AppendInt(out.AvailableBuffer(), int64(len(p)), 16))
	_, _ = out.WriteString("\r\n")
	n, err := out.Write(p)
	if err != nil {
		return n, trace.Wrap(err)
	}
	_, err = out.WriteString("\r\n")
	return n, trace.Wrap(err)
}

// begin waits for the turn of the response and writes its head and the bytes held.
func (w *response) begin() error {
	if w.begun {
		return nil
	}
	w.releasePermit()
	if err := w.waitTurn(); err != nil {
		return err
	}
	w.begun = true
	c := w.connection
	c.writer = writers.Get().(*bufio.Writer)
	c.writer.Reset(c.conn)
	w.writeHead(c.writer)
	held := w.held
	w.held = nil
	_, err := w.writeBody(held)
	return err
}

// headerNotWritten holds the header fields that the server sets itself.
var headerNotWritten = map[string]bool{"Connection": true, "Transfer-Encoding": true}

func (w *response) writeHead(out *bufio.Writer) {
	wanted := w.request.Close || !w.request.ProtoAtLeast(1, 1) || w.header.Get("Connection") == "close" ||
		w.body != nil && !w.body.whole()
	w.closes = w.connection.seal(w, wanted)
	_, _ = out.Write(strconv.AppendInt(append(out.AvailableBuffer(), "HTTP/1.1 "...), int64(w.status), 10))
	_, _ = out.WriteString(" " + http.StatusText(w.status) + "\r\n")
	_ = w.header.WriteSubset(out, headerNotWritten)
	if w.header["Date"] == nil {
		_, _ = out.WriteString("Date: ")
		_, _ = out.Write(time.Now().UTC().AppendFormat(out.AvailableBuffer(), http.TimeFormat))
		_, _ = out.WriteString("\r\n")
	}
	if w.mayHaveBody() && w.length < 0 && w.request.Method != http.MethodHead {
		w.chunked = w.request.ProtoAtLeast(1, 1)
		w.untilClose = !w.chunked
		if w.chunked {
			_, _ = out.WriteString("Transfer-Encoding: chunked\r\n")
		} else {
			w.connection.setReset(true)
		}
	}
	if w.closes {
		_, _ = out.WriteString("Connection: close\r\n")
	}
	_, _ = out.WriteString("\r\n")
}

// finish writes what is left of the answer. A handler that returns without an answer
// because the caller has left is not taken as one that answers with an empty body.
func (w *response) finish() error {
	if err := w.request.Context().Err(); err != nil && !w.begun {
		return trace.Wrap(err)
	}
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if !w.begun && w.length < 0 && w.mayHaveBody() && w.request.Method != http.MethodHead {
		w.length = int64(len(w.held))
		w.header.Set("Content-Length", strconv.FormatInt(w.length, 10))
	}
	if err := w.begin(); err != nil {
		return err
	}
	err := w.writeEnd()
	if w.length >= 0 && w.sent < w.length && w.mayHaveBody() && w.request.Method != http.MethodHead {
		return errShortBody
	}
	return err
}

// writeEnd writes the end of the answer and sends what was written so far.
func (w *response) writeEnd() error {
	c := w.connection
	if w.chunked {
		_, _ = c.writer.WriteString("0\r\n\r\n")
	}
	err := c.writer.Flush()
	if w.untilClose && err == nil {
		c.setReset(false)
	}
	c.writer.Reset(nil)
	writers.Put(c.writer)
	c.writer = nil
	return trace.Wrap(err)
}

// FlushError sends what was written so far.
func (w *response) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if err := w.begin(); err != nil {
		return err
	}
	return trace.Wrap(w.connection.writer.Flush())
}

// EnableFullDuplex allows the handler to read the body after it began to answer, which
// it always may.
func (w *response) EnableFullDuplex() error {
	return nil
}

// SetReadDeadline limits the reading of the request's body.
func (w *response) SetReadDeadline(deadline time.Time) error {
	if w.body == nil || w.body.whole() {
		return nil
	}
	return trace.Wrap(w.connection.conn.SetReadDeadline(deadline))
}
