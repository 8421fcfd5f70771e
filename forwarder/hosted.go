package forwarder

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// uploadResumeTimeout is how long an incomplete request body waits for a new
// connection from its sender.
const uploadResumeTimeout = 2 * time.Second

// hostedCall is one call at its receiving node, across all its attempts: its
// request body, its run, and the run's reply.
type hostedCall struct {
	forwarder *Forwarder
	opening   *opening
	body      *buffer
	buffers   [2]buffer
	// consumed is how many bytes of the request body the run has consumed.
	consumed atomic.Int64
	reply    *buffer
	// head is nil until the status and headers of the reply are known.
	head atomic.Pointer[replyHead]

	mu     sync.Mutex
	digest xxhash.Digest
	// inbounds are the connections, one for each attempt at most; there is rarely a
	// second one.
	inbounds     []*inbound
	firstInbound [1]*inbound
	running      bool
	// relaying is set if another node runs the call.
	relaying bool
	done     bool
	// forgotten is set once the call was removed from the forwarder.
	forgotten bool
	// followers counts the attempts that follow the reply.
	followers int
	cancel    func()
}

// hostedCallFor returns the call of an attempt, and creates it if necessary.
func (f *Forwarder) hostedCallFor(o *opening) *hostedCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.hostedCalls[o.ID]
	if !ok {
		h = &hostedCall{
			forwarder: f,
			opening:   o,
		}
		h.body = h.buffers[0].init(&f.gauge)
		h.body.keepsPrefixSum = true
		h.reply = h.buffers[1].init(&f.gauge)
		h.digest.Reset()
		h.inbounds = h.firstInbound[:0]
		f.hostedCalls[o.ID] = h
	}
	return h
}

// busy reports whether the call's run has not ended yet.
func (h *hostedCall) busy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running && !h.done
}

// attach sets the connection of an attempt, and disconnects the previous one.
func (h *hostedCall) attach(in *inbound) {
	var older *inbound
	h.mu.Lock()
	i := slices.IndexFunc(h.inbounds, func(o *inbound) bool { return o.opening.Attempt == in.opening.Attempt })
	if i < 0 {
		h.inbounds = append(h.inbounds, in)
	} else {
		older = h.inbounds[i]
		h.inbounds[i] = in
	}
	h.mu.Unlock()
	if older != nil {
		older.disconnect()
	}
}

// detach removes a connection. If it was the last one of a running call, the
// request body fails unless a new connection follows within uploadResumeTimeout.
func (h *hostedCall) detach(in *inbound) {
	h.mu.Lock()
	if i := slices.Index(h.inbounds, in); i >= 0 {
		h.inbounds = slices.Delete(h.inbounds, i, i+1)
	}
	disconnected := len(h.inbounds) == 0 && h.running && !h.done
	h.mu.Unlock()
	if disconnected {
		time.AfterFunc(uploadResumeTimeout, h.abandonBody)
	}
}

// abandonBody fails the request body if the call has no connection.
func (h *hostedCall) abandonBody() {
	h.mu.Lock()
	disconnected := len(h.inbounds) == 0
	h.mu.Unlock()
	if disconnected {
		h.body.fail(errCallOver)
	}
}

// addData appends a part of the request body, and skips what an earlier
// connection has delivered already. It ignores the rest of a body that has failed, or
// that was not read to its end.
func (h *hostedCall) addData(f frame) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.body.failure() != nil {
		return nil
	}
	data, err := dataFrom(f, h.body.length())
	if err != nil {
		return err
	}
	_, _ = h.digest.Write(data)
	return h.body.add(data)
}

// addWhole adds and ends a request body that arrived in one frame.
func (h *hostedCall) addWhole(f frame) {
	if h.addData(f) == nil {
		h.endBody(f)
	}
}

// hasHead reports whether the status and headers of the reply are known.
func (h *hostedCall) hasHead() bool {
	return h.head.Load() != nil
}

// endBody ends the request body, or fails it if its length or digest is wrong.
func (h *hostedCall) endBody(f frame) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f.Length == h.body.length() && f.Digest == h.digest.Sum64() {
		h.body.end()
		return
	}
	h.body.fail(trace.CompareFailed("the request body does not match its digest"))
}

// Read implements io.Reader for the body of the backend server's request.
func (h *hostedCall) Read(p []byte) (int, error) {
	offset := h.consumed.Load()
	n, err := h.body.readAt(p, offset, never)
	if err != nil {
		return 0, err
	}
	h.consumed.Add(int64(n))
	h.body.release(offset + int64(n))
	if crosses(offset, int64(n), window/4) {
		h.acknowledge()
	}
	return n, nil
}

// crosses reports whether n bytes from an offset on cross a multiple of step.
func crosses(offset, n, step int64) bool {
	return offset/step != (offset+n)/step
}

// acknowledge tells the senders how much of the request body was consumed.
func (h *hostedCall) acknowledge() {
	h.mu.Lock()
	inbounds := slices.Clone(h.inbounds)
	h.mu.Unlock()
	for _, in := range inbounds {
		_ = in.channel.send(frame{Kind: frameHeartbeat})
	}
}

// consume marks the first n bytes of the request body as consumed at once.
func (h *hostedCall) consume(n int64) {
	h.consumed.Store(n)
	h.body.release(n)
}

// run carries out a Run.
func (f *Forwarder) run(e waxwingseam.Run) {
	h := f.hostedCall(e.Call.ID)
	if h == nil {
		f.endRun(waxwingseam.RunEnded{ID: e.Call.ID, Result: didNotRun(waxwingseam.ReasonCancelled)})
		return
	}
	r := newBackendRun(h, e.Call.Deadline)
	h.mu.Lock()
	h.running = true
	h.cancel = r.cancel
	h.mu.Unlock()
	if in := f.inbound(attemptKey{e.Call.ID, e.Attempt}); in != nil {
		in.follow(h)
	}
	f.workers.Do(func() { h.execute(r, e) })
}

// relayed reports whether another node runs the call.
func (h *hostedCall) relayed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.relaying
}

// stopRelay stops the relaying of a call, if another node runs it.
func (f *Forwarder) stopRelay(id waxwingseam.CallID) {
	if h := f.hostedCall(id); h != nil && h.relayed() {
		h.stop()
	}
}

// endRun reports the end of a run.
func (f *Forwarder) endRun(e waxwingseam.RunEnded) {
	f.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		e.Stamp = s
		return e
	})
}

// cancelRun carries out a CancelRun.
func (f *Forwarder) cancelRun(e waxwingseam.CancelRun) {
	if h := f.hostedCall(e.ID); h != nil {
		h.stop()
	}
}

// stop cancels the run, if there is one.
func (h *hostedCall) stop() {
	h.mu.Lock()
	cancel := h.cancel
	h.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// answerAttempt carries out an AnswerAttempt.
func (f *Forwarder) answerAttempt(e waxwingseam.AnswerAttempt) {
	in := f.inbound(attemptKey{e.ID, e.Attempt})
	if in == nil {
		if h := f.hostedCall(e.ID); h != nil && !e.Result.Completed() {
			h.forgetUnstarted()
		}
		return
	}
	result := e.Result
	if result.Outcome == waxwingseam.OutcomeMayHaveRun && result.Reason == waxwingseam.ReasonNone {
		result.Reason = waxwingseam.ReasonReplyNotKept
	}
	in.answer(result)
	if !e.Result.Completed() {
		in.call.forgetUnstarted()
	}
}

// forgetUnstarted removes the call unless it has a run.
func (h *hostedCall) forgetUnstarted() {
	if !h.started() {
		h.forget()
	}
}

// started reports whether the call has a run.
func (h *hostedCall) started() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

// joinRun carries out a JoinRun.
func (f *Forwarder) joinRun(e waxwingseam.JoinRun) {
	in := f.inbound(attemptKey{e.ID, e.Attempt})
	if in == nil {
		return
	}
	source := f.hostedCall(e.Owner)
	if source == nil || !source.started() {
		// The run was forgotten; what is there is the attempt's own new call.
		in.replaceResult(replyNotKept())
		return
	}
	in.follow(source)
}

// replyNotKept returns the result for a reply that is not buffered completely.
func replyNotKept() waxwingseam.Result {
	return waxwingseam.Result{
		Outcome: waxwingseam.OutcomeMayHaveRun,
		Reason:  waxwingseam.ReasonReplyNotKept,
		Reached: true,
	}
}

// forgetRun carries out a ForgetRun.
func (f *Forwarder) forgetRun(e waxwingseam.ForgetRun) {
	if h := f.hostedCall(e.ID); h != nil {
		h.forget()
	}
}

// forget removes the call; its reply is kept for the attempts that follow it.
func (h *hostedCall) forget() {
	f := h.forwarder
	f.mu.Lock()
	if f.hostedCalls[h.opening.ID] == h {
		delete(f.hostedCalls, h.opening.ID)
	}
	f.mu.Unlock()
	h.mu.Lock()
	h.forgotten = true
	h.mu.Unlock()
	h.body.drop(errCallOver)
	h.dropUnusedReply()
}

// addFollowers adds n to the count of attempts that follow the reply.
func (h *hostedCall) addFollowers(n int) {
	h.mu.Lock()
	h.followers += n
	h.mu.Unlock()
	h.dropUnusedReply()
}

// dropUnusedReply drops the reply of a forgotten call that no attempt follows.
func (h *hostedCall) dropUnusedReply() {
	h.mu.Lock()
	unused := h.forgotten && h.followers == 0
	h.mu.Unlock()
	if unused {
		h.reply.drop(errCallOver)
	}
}
