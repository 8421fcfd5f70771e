package forwarder

import (
	"io"
	"net/http"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/charger"
)

const (
	// memoryPoll is the time between two looks whether a paused reply is still wanted.
	memoryPoll = 50 * time.Millisecond
	// inboundCost is the estimated memory of an attempt at its receiving node in bytes,
	// besides its fields and bodies.
	inboundCost = 12 << 10
	// fieldCost is the estimated memory of a header field besides its text.
	fieldCost = 80
)

// charge charges n bytes of a body, or releases them if n is negative.
func (b *buffer) charge(n int) {
	b.gauge.add(n)
	switch {
	case b.account != nil:
		b.account.Add(int64(n))
	case b.gauge.budget != nil:
		b.gauge.budget.Add(int64(n))
	}
}

// dropReleased drops the released bytes, and the room for them. Otherwise replies that are
// received in part could wait for one another's memory.
func (b *buffer) dropReleased() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released <= b.base {
		return
	}
	b.trim()
	b.data = slices.Clone(b.data)
	b.changed.Broadcast()
}

// short reports whether there is no memory for long replies.
func (f *Forwarder) short() bool {
	return f.config.Budget != nil && f.config.Budget.Short(charger.UseReply)
}

// awaitMemory waits until there is memory for another part of a reply behind its first one,
// or halted returns true. The other end of a path is not read meanwhile. The returned
// function is called once the part is charged.
func awaitMemory(budget *charger.Budget, length int64, halted func() bool) (release func()) {
	if length < chunkSize || budget == nil || !budget.Short(charger.UseReply) {
		return func() {}
	}
	done := make(chan struct{})
	granted := make(chan bool, 1)
	go func() { granted <- budget.Reserve(charger.UseReply, chunkSize, done) }()
	ticker := time.NewTicker(memoryPoll)
	defer ticker.Stop()
	for {
		select {
		case <-granted:
			return func() { budget.Add(-chunkSize) }
		case <-ticker.C:
			if !halted() {
				continue
			}
			close(done)
			if <-granted {
				budget.Add(-chunkSize)
			}
			return func() {}
		}
	}
}

// awaitMemory waits until there is memory for more of the reply. The connection counts as
// alive meanwhile, as nothing is read from it.
func (a *attempt) awaitMemory(c *channel) (release func()) {
	return awaitMemory(a.exchange.forwarder.config.Budget, a.reply.length(), func() bool {
		c.noteReceived()
		a.reply.dropReleased()
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.cancelled || c.stopped.Load() || c.silent.Load() || a.reply.failure() != nil
	})
}

// replyWriter writes the reply of a run while there is memory for it.
type replyWriter struct {
	*digestWriter
	call *hostedCall
}

// Write implements io.Writer.
func (w replyWriter) Write(p []byte) (int, error) {
	b := w.call.reply
	release := awaitMemory(w.call.forwarder.config.Budget, b.length(), func() bool {
		b.dropReleased()
		return b.failure() != nil
	})
	defer release()
	return w.digestWriter.Write(p)
}

var _ io.Writer = replyWriter{}

// charge charges n bytes to the process's budget, or releases them if n is negative.
func (f *Forwarder) charge(n int64) {
	if f.config.Budget != nil {
		f.config.Budget.Add(n)
	}
}

// maxBody returns the limit in force of the length of a request body in bytes.
func (f *Forwarder) maxBody() int64 {
	if f.config.BodyLimit != nil {
		if n := f.config.BodyLimit(); n > 0 {
			return min(n, f.config.MaxBody)
		}
	}
	return f.config.MaxBody
}

// RefuseUnknown answers a request whose class is unknown, without reading its body.
func (f *Forwarder) RefuseUnknown(w http.ResponseWriter) {
	f.badRequest(w, waxwingseam.ReasonUnknownClass, "")
}

// openingCost returns the estimated memory of an attempt at its receiving node.
func openingCost(o *opening) int64 {
	n := int64(inboundCost + len(o.Target))
	for name, values := range o.Header {
		n += fieldCost + int64(len(name))
		for _, v := range values {
			n += int64(len(v))
		}
	}
	return n
}

// refuseWithoutMemory answers an attempt that has no run yet as one that did not run, if
// there is no memory for it. The reducer is not told of such an attempt.
func (in *inbound) refuseWithoutMemory() bool {
	budget := in.forwarder.config.Budget
	if budget == nil || !budget.Short(charger.UseHead) || in.call.started() {
		return false
	}
	result := didNotRun(waxwingseam.ReasonOverloaded)
	result.Reached = true
	in.answer(result)
	in.call.forgetUnstarted()
	return true
}
