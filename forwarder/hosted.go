package forwarder

import (
	"hash"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// uploadPatience is how long an unfinished request body waits for a fresh
// connection of its sender.
const uploadPatience = 2 * time.Second

// hosted is one call at its receiving node, over all its attempts: its request
// body, its run, and the run's reply.
type hosted struct {
	forwarder *Forwarder
	opening   *opening
	body      *buffer
	// taken is how much of the request body the backend server took.
	taken atomic.Int64
	reply *buffer
	// headed is closed once head is set, or never will be.
	headed chan struct{}
	head   *heading

	mu      sync.Mutex
	digest  hash.Hash64
	streams map[waxwingseam.Attempt]*inbound
	running bool
	// relaying is set when another node runs the call.
	relaying bool
	done     bool
	// forgotten is set once the call is kept no more.
	forgotten bool
	// followers counts the attempts that follow the reply.
	followers int
	cancel    func()
}

// hostOf returns the call that an attempt belongs to.
func (f *Forwarder) hostOf(o *opening) *hosted {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.hosted[o.ID]
	if !ok {
		h = &hosted{
			forwarder: f,
			opening:   o,
			body:      newBuffer(&f.gauge),
			reply:     newBuffer(&f.gauge),
			headed:    make(chan struct{}),
			digest:    xxhash.New(),
			streams:   map[waxwingseam.Attempt]*inbound{},
		}
		f.hosted[o.ID] = h
	}
	return h
}

// busy reports whether the call's run goes on.
func (h *hosted) busy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running && !h.done
}

// attach makes a connection the one of its attempt.
func (h *hosted) attach(in *inbound) {
	h.mu.Lock()
	older := h.streams[in.opening.Attempt]
	h.streams[in.opening.Attempt] = in
	h.mu.Unlock()
	if older != nil {
		older.leave()
	}
}

// detach forgets a connection; an unfinished request body waits for a fresh
// one.
func (h *hosted) detach(in *inbound) {
	h.mu.Lock()
	if h.streams[in.opening.Attempt] == in {
		delete(h.streams, in.opening.Attempt)
	}
	waits := len(h.streams) == 0 && h.running && !h.done
	h.mu.Unlock()
	if waits {
		time.AfterFunc(uploadPatience, h.abandonBody)
	}
}

// abandonBody fails a request body that no connection brings any more.
func (h *hosted) abandonBody() {
	h.mu.Lock()
	orphan := len(h.streams) == 0
	h.mu.Unlock()
	if orphan {
		h.body.fail(errLeft)
	}
}

// takeData adds a part of the request body; what an earlier connection brought
// already is left out.
func (h *hosted) takeData(f frame) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	data, err := unseen(f, h.body.length())
	if err != nil {
		return err
	}
	_, _ = h.digest.Write(data)
	return h.body.add(data)
}

// takeWhole takes in a body that came in one piece, unless it is here already.
func (h *hosted) takeWhole(f frame) {
	if h.takeData(f) == nil {
		h.takeEnd(f)
	}
}

// begun reports whether the beginning of the reply is known.
func (h *hosted) begun() bool {
	select {
	case <-h.headed:
		return h.head != nil
	default:
		return false
	}
}

// takeEnd ends the request body, whole or failed.
func (h *hosted) takeEnd(f frame) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f.Length == h.body.length() && f.Digest == h.digest.Sum64() {
		h.body.end()
		return
	}
	h.body.fail(trace.CompareFailed("the request body does not match its digest"))
}

// Read gives the backend server's request its body.
func (h *hosted) Read(p []byte) (int, error) {
	taken := h.taken.Load()
	n, err := h.body.readAt(p, taken, never)
	if err != nil {
		return 0, err
	}
	h.taken.Add(int64(n))
	h.body.release(taken + int64(n))
	if crosses(taken, int64(n), window/4) {
		h.acknowledge()
	}
	return n, nil
}

// crosses reports whether n bytes from an offset on pass a multiple of step.
func crosses(offset, n, step int64) bool {
	return offset/step != (offset+n)/step
}

// acknowledge tells the senders how much of the request body was used up.
func (h *hosted) acknowledge() {
	h.mu.Lock()
	streams := make([]*inbound, 0, len(h.streams))
	for _, in := range h.streams {
		streams = append(streams, in)
	}
	h.mu.Unlock()
	for _, in := range streams {
		_ = in.channel.send(frame{Kind: frameAlive})
	}
}

// Close ends the reading of the request body.
func (h *hosted) Close() error {
	h.body.fail(io.ErrClosedPipe)
	return nil
}

// run carries out a Run.
func (f *Forwarder) run(e waxwingseam.Run) {
	h := f.host(e.Call.ID)
	if h == nil {
		f.endRun(e.Call.ID, unreached(waxwingseam.ReasonCancelled), 0)
		return
	}
	h.mu.Lock()
	h.running = true
	h.mu.Unlock()
	if in := f.inbound(attemptKey{e.Call.ID, e.Attempt}); in != nil {
		in.follow(h)
	}
	go h.execute(e)
}

// relayed reports whether another node runs the call.
func (h *hosted) relayed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.relaying
}

// endRun reports the end of a run.
func (f *Forwarder) endRun(id waxwingseam.CallID, result waxwingseam.Result, elapsed time.Duration) {
	f.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.RunEnded{
			Stamp:   s,
			ID:      id,
			Result:  result,
			Elapsed: elapsed,
		}
	})
}

// cancelRun carries out a CancelRun.
func (f *Forwarder) cancelRun(e waxwingseam.CancelRun) {
	if h := f.host(e.ID); h != nil {
		h.stop()
	}
}

// stop cancels the run, if there is one.
func (h *hosted) stop() {
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
		return
	}
	result := e.Result
	if result.Outcome == waxwingseam.OutcomeMayHaveRun && result.Reason == waxwingseam.ReasonNone {
		result.Reason = waxwingseam.ReasonReplyNotKept
	}
	in.answer(result)
	if !e.Result.Completed() && !in.host.started() {
		in.host.forget()
	}
}

// started reports whether the call has a run.
func (h *hosted) started() bool {
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
	source := f.host(e.Owner)
	if source == nil {
		in.refuse(unkept())
		return
	}
	in.follow(source)
}

// unkept is the result of an attempt whose run's reply is not whole here.
func unkept() waxwingseam.Result {
	return waxwingseam.Result{
		Outcome: waxwingseam.OutcomeMayHaveRun,
		Reason:  waxwingseam.ReasonReplyNotKept,
		Reached: true,
	}
}

// forgetRun carries out a ForgetRun.
func (f *Forwarder) forgetRun(e waxwingseam.ForgetRun) {
	if h := f.host(e.ID); h != nil {
		h.forget()
	}
}

// forget drops a call; its reply stays for the attempts that follow it.
func (h *hosted) forget() {
	f := h.forwarder
	f.mu.Lock()
	if f.hosted[h.opening.ID] == h {
		delete(f.hosted, h.opening.ID)
	}
	f.mu.Unlock()
	h.mu.Lock()
	h.forgotten = true
	h.mu.Unlock()
	h.body.drop(errLeft)
	h.dropReply()
}

// addFollower counts an attempt that follows the call's reply.
func (h *hosted) addFollower(n int) {
	h.mu.Lock()
	h.followers += n
	h.mu.Unlock()
	h.dropReply()
}

// dropReply drops the reply once it is neither kept nor followed.
func (h *hosted) dropReply() {
	h.mu.Lock()
	unwanted := h.forgotten && h.followers == 0
	h.mu.Unlock()
	if unwanted {
		h.reply.drop(errLeft)
	}
}
