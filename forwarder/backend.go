package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// maxRefusalBytes limits how much of a refusal's body is read so that its
	// connection can be reused.
	maxRefusalBytes = 4 << 10
	// refusalBodyTimeout limits how long reading a refusal's body may take.
	refusalBodyTimeout = 100 * time.Millisecond
)

// backendRun is one run of a call at the backend server.
type backendRun struct {
	call     *hostedCall
	deadline time.Time
	// done is closed once the run is stopped early.
	done chan struct{}
	// written is set before the first write of the request.
	written atomic.Bool

	mu sync.Mutex
	// timer checks the deadline, and the connection for silence.
	timer *time.Timer
	conn  *backendConn
	// lastConn is conn, also after the run.
	lastConn *backendConn
	// cancelDial ends the opening of a connection.
	cancelDial context.CancelFunc
	ended      bool
	// stopped is why the run was stopped early; empty if it wasn't.
	stopped waxwingseam.Reason
	// connectionEnd is set once the run has ended.
	connectionEnd waxwingseam.ConnectionEnd
	// load is what the answer says of the backend server's load.
	load waxwingseam.BackendLoad
}

func newBackendRun(h *hostedCall, deadline time.Time) *backendRun {
	r := &backendRun{
		call:     h,
		deadline: deadline,
		done:     make(chan struct{}),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer = time.AfterFunc(r.untilCheck(), r.check)
	return r
}

// untilCheck returns the time until the next check.
func (r *backendRun) untilCheck() time.Duration {
	return max(min(time.Until(r.deadline), heartbeatInterval), 0)
}

// check stops the run at its deadline, and closes a silent connection.
func (r *backendRun) check() {
	if !time.Now().Before(r.deadline) {
		r.stop(waxwingseam.ReasonDeadline)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	if r.conn != nil {
		r.conn.closeIfSilent()
	}
	r.timer.Reset(r.untilCheck())
}

// cancel stops the run because its answer is no longer wanted.
func (r *backendRun) cancel() {
	r.stop(waxwingseam.ReasonCancelled)
}

// stop ends the run early, unless it has ended.
func (r *backendRun) stop(reason waxwingseam.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.stopped = reason
	r.timer.Stop()
	close(r.done)
	if r.cancelDial != nil {
		r.cancelDial()
	}
	if r.conn != nil {
		r.conn.abort()
	}
	r.call.body.fail(errCallOver)
	r.call.reply.fail(errCallOver)
}

// end ends the run, so that it does not touch its connection any more. It reports
// whether the run was stopped early.
func (r *backendRun) end() (stopped waxwingseam.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.conn = nil
	r.timer.Stop()
	return r.stopped
}

// use makes a connection that of the run. It returns false, and closes the
// connection, if the run was stopped.
func (r *backendRun) use(c *backendConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		c.close()
		return false
	}
	r.conn = c
	r.lastConn = c
	return true
}

// dial opens a connection for the run.
func (r *backendRun) dial() (*backendConn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	r.mu.Lock()
	r.cancelDial = cancel
	ended := r.ended
	r.mu.Unlock()
	if ended {
		return nil, errCallOver
	}
	return r.call.forwarder.backend.dial(ctx)
}

// connect returns a connection for the run.
func (r *backendRun) connect() (*backendConn, error) {
	c := r.call.forwarder.backend.take(r.call.opening.ID)
	if c == nil {
		var err error
		if c, err = r.dial(); err != nil {
			return nil, err
		}
	}
	if !r.use(c) {
		return nil, errCallOver
	}
	return c, nil
}

// send sends the request over a connection. If nothing of it could be written to a
// connection that was idle, it takes another one.
func (r *backendRun) send(q *backendRequest) (*backendConn, error) {
	for {
		c, err := r.connect()
		if err != nil {
			return nil, err
		}
		r.written.Store(true)
		n, err := q.write(c)
		if err == nil {
			return c, nil
		}
		c.abort()
		if n > 0 || !c.reused {
			return nil, err
		}
		r.written.Store(false)
	}
}

// silent reports whether the connection went silent: err is a TCP timeout, or
// closeIfSilent closed the connection.
func (r *backendRun) silent(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return timedOut(err) || r.lastConn != nil && r.lastConn.silent.Load()
}

// failed returns the result of a run without a whole reply.
func (r *backendRun) failed(stopped waxwingseam.Reason, err error) waxwingseam.Result {
	result := waxwingseam.Result{
		Outcome: waxwingseam.OutcomeMayHaveRun,
		Reason:  waxwingseam.ReasonServerFailed,
		Reached: true,
	}
	switch {
	case stopped != waxwingseam.ReasonNone:
		result.Reason = stopped
	case r.silent(err):
		result.Reason = waxwingseam.ReasonConnectionSilent
		r.call.forwarder.backend.closeIdle()
	}
	switch {
	case !r.written.Load():
		result.Outcome = waxwingseam.OutcomeDidNotRun
		result.Reason = waxwingseam.ReasonConnectionFailed
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.connectionEnd = waxwingseam.ConnectionRefused
		}
	case stopped == waxwingseam.ReasonNone:
		r.connectionEnd = waxwingseam.ConnectionBroken
	}
	return result
}

// execute runs the call at the backend server. The run may have been cancelled before.
func (h *hostedCall) execute(r *backendRun, run waxwingseam.Run) {
	began := time.Now()
	result := h.roundTrip(r, run)
	if result.Completed() {
		h.reply.end()
	} else {
		h.reply.fail(errCallOver)
	}
	unanswered := r.written.Load() && !result.Completed() && result.Outcome == waxwingseam.OutcomeMayHaveRun
	fingerprint := h.fingerprint(unanswered)
	h.finish()
	h.forwarder.endRun(waxwingseam.RunEnded{
		ID:          h.opening.ID,
		Result:      result,
		Elapsed:     time.Since(began),
		Fingerprint: fingerprint,
		Connection:  r.connectionEnd,
		Load:        r.load,
	})
}

// finish marks the run as done and drops the request body.
func (h *hostedCall) finish() {
	h.mu.Lock()
	h.done = true
	h.mu.Unlock()
	h.body.drop(errCallOver)
}

// roundTrip sends the request and reads the whole reply into the buffer.
func (h *hostedCall) roundTrip(r *backendRun, run waxwingseam.Run) waxwingseam.Result {
	conns := h.forwarder.backend
	if !conns.acquire(r.done) {
		return r.failed(r.end(), errCallOver)
	}
	defer conns.release()
	header := h.requestHeader(run)
	q, err := h.newBackendRequest(header)
	if err != nil {
		return r.failed(r.end(), err)
	}
	c, err := r.send(q)
	if err != nil {
		return r.failed(r.end(), err)
	}
	result, keep, err := h.readReply(c, r, header, run)
	stopped := r.end()
	if err != nil {
		c.abort()
		return r.failed(stopped, err)
	}
	if keep && stopped == waxwingseam.ReasonNone && q.sent() {
		conns.put(c)
	} else {
		c.close()
	}
	return result
}

// readReply reads the reply. It also reports whether the connection can carry
// another request.
func (h *hostedCall) readReply(c *backendConn, r *backendRun, header http.Header, run waxwingseam.Run) (result waxwingseam.Result, keep bool, err error) {
	reply, err := c.readReplyHead(h.opening.Method)
	if err != nil {
		return result, false, err
	}
	verdict, reason := h.forwarder.config.BackendServer.CheckReply(header, reply.head.Status, reply.head.Header)
	if verdict != waxwingseam.ReplyMismatched && reason != waxwingseam.ReasonServerReplaced {
		h.forwarder.reportStatement(run, reply.head.Header)
		r.load = h.forwarder.config.BackendServer.ParseLoad(reply.head.Header)
	}
	switch verdict {
	case waxwingseam.ReplyDidNotRun:
		result := didNotRun(reason)
		result.Reached = true
		return result, c.discard(reply.body) && c.keepable(reply) && c.noteRefused(h.opening.ID), nil
	case waxwingseam.ReplyMismatched:
		// Further replies to other requests may follow on the connection.
		return waxwingseam.Result{
			Outcome: waxwingseam.OutcomeMayHaveRun,
			Reason:  waxwingseam.ReasonServerFailed,
			Reached: true,
		}, false, nil
	}
	h.setHead(reply.head)
	w := newDigestWriter(h.reply)
	w.call = h
	length, err := copyBody(w, reply.body)
	if err != nil {
		return result, false, err
	}
	return waxwingseam.Result{
		Outcome: waxwingseam.OutcomeCompleted,
		Status:  reply.head.Status,
		Length:  length,
		Digest:  w.digest.Sum64(),
		Reached: true,
	}, c.keepable(reply), nil
}

// discard reads the body of a refusal, so that its connection can be reused, and reports
// whether it ended in time.
func (c *backendConn) discard(body io.Reader) bool {
	if err := c.conn.SetReadDeadline(time.Now().Add(refusalBodyTimeout)); err != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, body, maxRefusalBytes)
	return errors.Is(err, io.EOF) && c.conn.SetReadDeadline(time.Time{}) == nil
}

// setHead makes the status and headers of the reply available to the senders.
func (h *hostedCall) setHead(head replyHead) {
	dropUnforwarded(head.Header)
	h.head.Store(&head)
}

// requestHeader returns the headers of the request for the backend server. They are
// those of the opening, which no other than a relay would read again.
func (h *hostedCall) requestHeader(run waxwingseam.Run) http.Header {
	header := h.opening.Header
	if header == nil || h.relayed() {
		header = cloneShallow(header)
	}
	h.forwarder.config.BackendServer.SetRequestFields(header, waxwingseam.BackendRequest{
		Call:           run.Call,
		Instance:       run.Instance,
		KeysRequired:   h.forwarder.keysRequired.Load(),
		TimeToDeadline: time.Until(run.Call.Deadline),
	})
	return header
}
