package forwarder

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/pipeliner"
)

// readAheadLimit is the longest request body that is read completely before the
// call's arrival is reported.
const readAheadLimit = 64 << 10

// entry accepts calls over HTTP.
type entry struct {
	forwarder *Forwarder
	// outbound is set for the calls of the node's own backend server.
	outbound bool
}

// Entry returns the handler for callers, whose requests Config.Callers parses.
func (f *Forwarder) Entry() http.Handler {
	return &entry{forwarder: f}
}

// Outbound returns the handler for the calls of the node's own backend server.
func (f *Forwarder) Outbound() http.Handler {
	return &entry{
		forwarder: f,
		outbound:  true,
	}
}

// NewServer returns an HTTP server with limits on the size and the
// reading time of headers. It supports HTTP/1.1 and unencrypted HTTP/2.
func NewServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxServerHeaderBytes,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReadFrameSize:              maxReadFrame,
			MaxReceiveBufferPerConnection: connectionWindow,
			MaxReceiveBufferPerStream:     streamWindow,
			MaxDecoderHeaderTableSize:     headerTable,
			MaxEncoderHeaderTableSize:     headerTable,
			SendPingTimeout:               pingTimeout,
			PingTimeout:                   pingTimeout,
			WriteByteTimeout:              writeTimeout,
		},
	}
}

// The bounds of an HTTP/2 connection. With them it holds 400 KB at most, besides answers.
const (
	maxStreams = 16
	// streamWindow is not less than the initial window of RFC 9113: a caller may use that
	// before it receives the server's settings, and would be refused.
	streamWindow         = 64 << 10
	connectionWindow     = 2 * streamWindow
	maxReadFrame         = 16 << 10
	headerTable          = 4 << 10
	maxServerHeaderBytes = 16 << 10
	pingTimeout          = 5 * time.Second
	writeTimeout         = 5 * time.Second
	idleTimeout          = 15 * time.Second
)

// headerTimeout limits how long reading a request's headers may take.
const headerTimeout = 10 * time.Second

// badRequest refuses a request that can't become a call.
func (f *Forwarder) badRequest(w http.ResponseWriter, reason waxwingseam.Reason, detail string) {
	if f.config.BadRequest != nil {
		f.config.BadRequest(reason)
	}
	f.config.Callers.WriteProblem(w, didNotRun(reason), detail)
}

// ServeHTTP implements http.Handler.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrival, target, err := e.parse(r)
	if err != nil {
		e.forwarder.badRequest(w, waxwingseam.ReasonBadRequest, trace.UserMessage(err))
		return
	}
	if arrival.Service == "" && arrival.Host == "" {
		e.forwarder.badRequest(w, waxwingseam.ReasonUnknownService, "the path names no service")
		return
	}
	if e.forwarder.entryClosed.Load() && !arrival.Outbound {
		e.forwarder.badRequest(w, waxwingseam.ReasonDraining, "")
		return
	}
	if r.ContentLength > e.forwarder.maxBody() {
		e.forwarder.badRequest(w, waxwingseam.ReasonTooLarge, "")
		return
	}
	c := &caller{
		forwarder: e.forwarder,
		writer:    w,
		request:   r,
		arrival:   arrival,
		exchange:  e.forwarder.newExchange(arrival.ID, r, target),
	}
	c.serve()
}

// parse parses the call in a request and assigns its identifiers. It also
// returns the request target for the backend server.
func (e *entry) parse(r *http.Request) (waxwingseam.CallArrived, string, error) {
	options := connectionOptions(r.Header)
	arrival, target, err := e.forwarder.config.Callers.ParseRequest(r)
	if err != nil {
		return arrival, "", err
	}
	dropOptions(r.Header, options)
	arrival.Outbound = arrival.Outbound || e.outbound
	arrival.KeyDigest = waxwingseam.BearerDigest(r.Header)
	subtractWait(&arrival, r)
	_, _ = rand.Read(arrival.ID[:])
	if arrival.Parent.IsZero() {
		_, _ = rand.Read(arrival.Root[:])
		e.forwarder.beginTrace(&arrival)
	}
	return arrival, target, nil
}

// subtractWait shortens a caller's timeout by the time for which the request waited for
// the answers to earlier requests of its connection.
func subtractWait(a *waxwingseam.CallArrived, r *http.Request) {
	received, ok := pipeliner.Received(r)
	if ok && a.Timeout > 0 {
		a.Timeout = max(a.Timeout-time.Since(received), 1)
	}
}

// beginTrace assigns a trace to a root whose caller sent none.
func (f *Forwarder) beginTrace(a *waxwingseam.CallArrived) {
	if f.config.NewTrace != nil && a.Trace == (waxwingseam.TraceContext{}) {
		a.Trace = f.config.NewTrace(a.Root)
	}
}

// caller serves the HTTP request of one call.
type caller struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	arrival   waxwingseam.CallArrived
	exchange  *exchange
}

// serve reports the call's arrival and answers the caller.
func (c *caller) serve() {
	x := c.exchange
	defer x.close()
	var control *http.ResponseController
	var body io.Reader
	if c.request.ContentLength != 0 {
		control = http.NewResponseController(c.writer)
		_ = control.EnableFullDuplex()
		body = http.MaxBytesReader(nil, c.request.Body, c.forwarder.maxBody())
	}
	if c.request.ContentLength >= 0 && c.request.ContentLength <= readAheadLimit {
		if err := x.readBody(body); err != nil {
			c.answerTruncatedBody()
			return
		}
		c.report()
		c.wait(nil)
		return
	}
	u := &upload{done: make(chan struct{})}
	go u.run(x, body)
	c.arrival.Receiving = !c.forwarder.receiveFirst.Load() || !c.receiveWhole()
	c.report()
	c.wait(u)
	x.body.fail(errCallOver)
	u.stop(control)
}

// report reports the call's arrival.
func (c *caller) report() {
	c.forwarder.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		c.arrival.Stamp = s
		return c.arrival
	})
}

// receiveWhole waits until the body has ended, or is longer than what is buffered of it, or the
// caller has left. It reports whether the body has ended.
func (c *caller) receiveWhole() bool {
	ctx, body := c.request.Context(), c.exchange.body
	stop := context.AfterFunc(ctx, body.wake)
	defer stop()
	return body.waitWhole(func() bool { return ctx.Err() != nil })
}

// upload reads a caller's request body while the caller waits for the answer.
type upload struct {
	done chan struct{}
	err  error
}

func (u *upload) run(x *exchange, body io.Reader) {
	defer close(u.done)
	u.err = x.readBody(body)
}

// stop ends the reading, which may be blocked on a caller that sends nothing.
func (u *upload) stop(control *http.ResponseController) {
	select {
	case <-u.done:
	default:
		_ = control.SetReadDeadline(time.Now())
		<-u.done
	}
}

// answerTruncatedBody answers a call whose body ended early.
func (c *caller) answerTruncatedBody() {
	c.forwarder.badRequest(c.writer, waxwingseam.ReasonBadRequest, "the body ended early")
}

// wait waits until the reply starts, the call is answered or the caller leaves.
// It writes the reply or the answer.
func (c *caller) wait(u *upload) {
	x := c.exchange
	var uploaded <-chan struct{}
	if u != nil {
		uploaded = u.done
	}
	var uploadErr error
	for {
		select {
		case a := <-x.started:
			c.streamReply(a)
			return
		case r := <-x.replied:
			c.answer(r, uploadErr)
			return
		case <-uploaded:
			uploaded = nil
			if uploadErr = u.err; uploadErr != nil {
				c.reportLeft()
			}
		case <-c.request.Context().Done():
			c.reportLeft()
			<-x.replied
			return
		}
	}
}

// reportLeft reports that the caller has left.
func (c *caller) reportLeft() {
	c.forwarder.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.CallerLeft{
			Stamp: s,
			ID:    c.arrival.ID,
		}
	})
}

// answer writes the answer of the call.
func (c *caller) answer(r waxwingseam.Reply, uploadErr error) {
	result := r.Result
	var tooLarge *http.MaxBytesError
	if errors.As(uploadErr, &tooLarge) {
		result.Reason = waxwingseam.ReasonTooLarge
	}
	if !result.Completed() {
		c.forwarder.config.Callers.WriteProblem(c.writer, result, refusalDetail(r.Refusal))
		return
	}
	a := c.exchange.attempt(r.Attempt)
	if a == nil || a.replyHead() == nil {
		result.Outcome = waxwingseam.OutcomeMayHaveRun
		result.Reason = waxwingseam.ReasonReplyNotKept
		c.forwarder.config.Callers.WriteProblem(c.writer, result, "")
		return
	}
	if err := c.writeReply(a); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// streamReply writes a reply whose end is not known yet. If the caller leaves meanwhile, the
// call is kept until it is over: the attempt could not be cancelled afterwards.
func (c *caller) streamReply(a *attempt) {
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-c.request.Context().Done():
			c.reportLeft()
		case <-stop:
		}
	}()
	if err := c.writeReply(a); err != nil {
		c.reportLeft()
		<-c.exchange.replied
		panic(http.ErrAbortHandler)
	}
}

// writeReply writes an attempt's reply. If it returns an error, the caller's connection must be
// broken, so that the reply never looks complete.
func (c *caller) writeReply(a *attempt) error {
	head := a.replyHead()
	header := c.writer.Header()
	for name, values := range head.Header {
		header[name] = values
	}
	if head.Length >= 0 && hasBody(head.Status) {
		header.Set("Content-Length", strconv.FormatInt(head.Length, 10))
	}
	c.forwarder.config.Callers.SetReplyFields(header)
	c.writer.WriteHeader(head.Status)
	return c.writeReplyBody(a)
}

// hasBody reports whether a reply with the status may have a body.
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func (c *caller) writeReplyBody(a *attempt) error {
	chunk := chunks.Get().(*[]byte)
	defer chunks.Put(chunk)
	for {
		offset := a.delivered.Load()
		n, err := a.reply.readAt(*chunk, offset, never)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := c.writer.Write((*chunk)[:n]); err != nil {
			return err
		}
		a.delivered.Add(int64(n))
		a.reply.release(offset + int64(n))
		if c.forwarder.short() {
			a.reply.dropReleased()
		}
		if crosses(offset, int64(n), window/4) {
			a.acknowledge()
		}
	}
}
