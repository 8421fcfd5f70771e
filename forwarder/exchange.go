package forwarder

import (
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/charger"
	"waxwingseam.example/waxwingseam/pipeliner"
)

// errCallOver fails the bodies of a call that has ended or was abandoned.
var errCallOver = trace.ConnectionProblem(nil, "the call is over")

// exchange is one call at its sending node, from the caller's request to the
// answer.
type exchange struct {
	forwarder *Forwarder
	id        waxwingseam.CallID
	method    string
	target    string
	host      string
	header    http.Header
	// length is the declared length of the request body; -1 if unknown.
	length int64
	// account is that of the caller's connection; nil if it has none.
	account *charger.Account
	body    *buffer
	ownBody buffer
	// replied receives the answer of the call.
	replied chan waxwingseam.Reply
	// started receives the attempt whose reply is streamed.
	started chan *attempt

	mu         sync.Mutex
	attempts   []*attempt
	bodyLength int64
	bodyDigest uint64
}

// newExchange registers a new call.
func (f *Forwarder) newExchange(id waxwingseam.CallID, r *http.Request, target string) *exchange {
	x := &exchange{
		forwarder: f,
		id:        id,
		method:    r.Method,
		target:    target,
		host:      r.Host,
		header:    forwardable(r.Header),
		length:    r.ContentLength,
		replied:   make(chan waxwingseam.Reply, 1),
		started:   make(chan *attempt, 1),
	}
	x.removeAccount()
	x.account = pipeliner.Account(r)
	x.body = x.ownBody.init(&f.gauge)
	x.body.account = x.account
	x.body.onTrim = x.reportBodyConsumed
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exchanges[id] = x
	return x
}

// removeAccount removes the key of a client account from what is forwarded, if the
// configuration has accounts.
func (x *exchange) removeAccount() {
	if x.forwarder.keysRequired.Load() {
		x.forwarder.config.Callers.RemoveAccount(x.header)
	}
}

// close removes the call and drops its bodies; its attempts end on their own.
func (x *exchange) close() {
	f := x.forwarder
	f.mu.Lock()
	delete(f.exchanges, x.id)
	f.mu.Unlock()
	x.body.drop(errCallOver)
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range x.attempts {
		a.reply.drop(errCallOver)
	}
}

// emptyDigest is the digest of an empty body.
var emptyDigest = xxhash.Sum64(nil)

// readBody reads the caller's request body into the buffer.
func (x *exchange) readBody(body io.Reader) error {
	if x.length == 0 {
		x.mu.Lock()
		x.bodyDigest = emptyDigest
		x.mu.Unlock()
		x.body.end()
		return nil
	}
	w := newDigestWriter(x.body)
	n, err := copyBody(w, body)
	if err != nil {
		x.body.fail(trace.Wrap(err))
		return trace.Wrap(err)
	}
	x.mu.Lock()
	x.bodyLength, x.bodyDigest = n, w.digest.Sum64()
	x.mu.Unlock()
	x.body.end()
	return nil
}

// reportBodyConsumed reports that the request body can't be sent again.
func (x *exchange) reportBodyConsumed() {
	x.forwarder.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.BodyConsumed{
			Stamp: s,
			ID:    x.id,
		}
	})
}

// bodyLengthAndDigest returns the length and digest of the request body.
func (x *exchange) bodyLengthAndDigest() (int64, uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.bodyLength, x.bodyDigest
}

// attempt returns the attempt with the number; nil if there is none.
func (x *exchange) attempt(number waxwingseam.Attempt) *attempt {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range slices.Backward(x.attempts) {
		if a.number == number {
			return a
		}
	}
	return nil
}

// dispatch carries out a Dispatch.
func (f *Forwarder) dispatch(e waxwingseam.Dispatch) {
	x := f.exchange(e.Call.ID)
	if x == nil {
		f.endAttempt(e.Call.ID, e.Attempt, didNotRun(waxwingseam.ReasonCancelled))
		return
	}
	if e.Attempt == 1 {
		// The configuration may have got accounts since the call arrived. Later attempts
		// share the header with the first.
		x.removeAccount()
	}
	a := newAttempt(x, e)
	x.mu.Lock()
	x.attempts = append(x.attempts, a)
	x.mu.Unlock()
	f.workers.Do(func() { a.run(false) })
}

// resume carries out a Resume.
func (f *Forwarder) resume(e waxwingseam.Resume) {
	x := f.exchange(e.ID)
	if x == nil {
		return
	}
	if a := x.attempt(e.Attempt); a != nil {
		go a.run(true)
	}
}

// reply carries out a Reply.
func (f *Forwarder) reply(e waxwingseam.Reply) {
	x := f.exchange(e.ID)
	if x == nil {
		return
	}
	select {
	case x.replied <- e:
	default:
	}
	if a := x.attempt(e.Attempt); a != nil && e.Result.Completed() {
		return
	}
	x.failReplies()
}

// failReplies fails the replies of all attempts, including a streamed one.
func (x *exchange) failReplies() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range x.attempts {
		a.reply.fail(errCallOver)
	}
}

// cancelAttempt carries out a CancelAttempt.
func (f *Forwarder) cancelAttempt(e waxwingseam.CancelAttempt) {
	x := f.exchange(e.ID)
	if x == nil {
		return
	}
	if a := x.attempt(e.Attempt); a != nil {
		go a.cancel()
	}
}

// endAttempt reports the end of an attempt.
func (f *Forwarder) endAttempt(id waxwingseam.CallID, number waxwingseam.Attempt, result waxwingseam.Result) {
	f.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.AttemptEnded{
			Stamp:   s,
			ID:      id,
			Attempt: number,
			Result:  result,
		}
	})
}

// didNotRun returns the result of a call or an attempt that did not run.
func didNotRun(reason waxwingseam.Reason) waxwingseam.Result {
	return waxwingseam.Result{
		Outcome: waxwingseam.OutcomeDidNotRun,
		Reason:  reason,
	}
}
