package forwarder

import (
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// readAheadLimit is the longest request body that is read whole before the
// call arrives.
const readAheadLimit = 64 << 10

// entry takes calls over HTTP.
type entry struct {
	forwarder *Forwarder
	// outbound is set for the calls of the node's own backend server.
	outbound bool
}

// Entry returns the handler for callers. The first part of a path names the
// service, the rest goes to the backend server.
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

// NewServer returns an HTTP server with the limits of the callers' interface,
// for HTTP/1.1 and unencrypted HTTP/2.
func NewServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
	}
}

// headerTimeout bounds the reading of a request's headers.
const headerTimeout = 10 * time.Second

// badRequest refuses a request that can't become a call.
func (f *Forwarder) badRequest(w http.ResponseWriter, reason waxwingseam.Reason, detail string) {
	if f.config.BadRequest != nil {
		f.config.BadRequest(reason)
	}
	f.config.Callers.WriteProblem(w, unreached(reason), detail)
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
	if e.forwarder.closed.Load() && !arrival.Outbound {
		e.forwarder.badRequest(w, waxwingseam.ReasonDraining, "")
		return
	}
	if r.ContentLength > e.forwarder.config.MaxBody {
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

// parse reads what the system needs to know of a request, and gives the call
// its identifiers.
func (e *entry) parse(r *http.Request) (waxwingseam.CallArrived, string, error) {
	arrival, target, err := e.forwarder.config.Callers.ParseRequest(r)
	if err != nil {
		return arrival, "", err
	}
	arrival.Outbound = arrival.Outbound || e.outbound
	_, _ = rand.Read(arrival.ID[:])
	if arrival.Parent.IsZero() {
		_, _ = rand.Read(arrival.Root[:])
		e.forwarder.beginTrace(&arrival)
	}
	return arrival, target, nil
}

// beginTrace gives a root the trace that its caller did not send.
func (f *Forwarder) beginTrace(a *waxwingseam.CallArrived) {
	if f.config.NewTrace != nil && a.Trace == (waxwingseam.TraceContext{}) {
		a.Trace = f.config.NewTrace(a.Root)
	}
}

// caller is one call's caller, which waits for the answer.
type caller struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	arrival   waxwingseam.CallArrived
	exchange  *exchange
}

// serve steps the call's arrival and answers it.
func (c *caller) serve() {
	x := c.exchange
	defer x.close()
	control := http.NewResponseController(c.writer)
	_ = control.EnableFullDuplex()
	body := http.MaxBytesReader(nil, c.request.Body, c.forwarder.config.MaxBody)
	ahead := c.request.ContentLength >= 0 && c.request.ContentLength <= readAheadLimit
	if ahead {
		if err := x.takeBody(body); err != nil {
			c.answerEarlier()
			return
		}
	}
	c.forwarder.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		c.arrival.Stamp = s
		return c.arrival
	})
	if ahead {
		c.wait(nil)
		return
	}
	u := &upload{done: make(chan struct{})}
	go u.run(x, body)
	c.wait(u)
	x.body.fail(errLeft)
	u.stop(control)
}

// upload is the reading of a caller's request body beside the waiting for the
// answer.
type upload struct {
	done chan struct{}
	err  error
}

func (u *upload) run(x *exchange, body io.Reader) {
	defer close(u.done)
	u.err = x.takeBody(body)
}

// stop ends the reading, which may wait for a caller that sends nothing.
func (u *upload) stop(control *http.ResponseController) {
	select {
	case <-u.done:
	default:
		_ = control.SetReadDeadline(time.Now())
		<-u.done
	}
}

// answerEarlier answers a call whose body did not come whole.
func (c *caller) answerEarlier() {
	c.forwarder.badRequest(c.writer, waxwingseam.ReasonBadRequest, "the body ended early")
}

// wait waits for the reply's beginning, for the one answer, or for the caller
// to leave.
func (c *caller) wait(u *upload) {
	x := c.exchange
	var uploaded <-chan struct{}
	if u != nil {
		uploaded = u.done
	}
	var broken error
	for {
		select {
		case a := <-x.started:
			c.stream(a)
			return
		case r := <-x.replied:
			c.answer(r, broken)
			return
		case <-uploaded:
			uploaded = nil
			if broken = u.err; broken != nil {
				c.leave()
			}
		case <-c.request.Context().Done():
			c.leave()
			<-x.replied
			return
		}
	}
}

// leave steps the caller's leaving.
func (c *caller) leave() {
	c.forwarder.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.CallerLeft{
			Stamp: s,
			ID:    c.arrival.ID,
		}
	})
}

// answer gives the caller the one answer.
func (c *caller) answer(r waxwingseam.Reply, broken error) {
	result := r.Result
	var tooLarge *http.MaxBytesError
	if errors.As(broken, &tooLarge) {
		result.Reason = waxwingseam.ReasonTooLarge
	}
	if !result.Completed() {
		c.forwarder.config.Callers.WriteProblem(c.writer, result, "")
		return
	}
	a := c.exchange.attempt(r.Attempt)
	if a == nil || a.heading() == nil {
		result.Outcome = waxwingseam.OutcomeMayHaveRun
		result.Reason = waxwingseam.ReasonReplyNotKept
		c.forwarder.config.Callers.WriteProblem(c.writer, result, "")
		return
	}
	c.writeReply(a)
}

// stream gives the caller a reply whose end is not known yet.
func (c *caller) stream(a *attempt) {
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-c.request.Context().Done():
			c.leave()
		case <-stop:
		}
	}()
	c.writeReply(a)
}

// writeReply writes an attempt's reply. A reply that can't be completed breaks
// the caller's connection, so that it never looks whole.
func (c *caller) writeReply(a *attempt) {
	head := a.heading()
	header := c.writer.Header()
	for name, values := range head.Header {
		header[name] = values
	}
	if head.Length >= 0 && hasBody(head.Status) {
		header.Set("Content-Length", strconv.FormatInt(head.Length, 10))
	}
	c.forwarder.config.Callers.SetReplyFields(header)
	c.writer.WriteHeader(head.Status)
	if err := c.writeReplyBody(a); err != nil {
		c.leave()
		panic(http.ErrAbortHandler)
	}
}

// hasBody reports whether a reply of a status may have a body.
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func (c *caller) writeReplyBody(a *attempt) error {
	chunk := chunks.Get().(*[]byte)
	defer chunks.Put(chunk)
	for {
		offset := a.given.Load()
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
		a.given.Add(int64(n))
		a.reply.release(offset + int64(n))
		if crosses(offset, int64(n), window/4) {
			a.acknowledge()
		}
	}
}
