package pipeliner

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/charger"
)

const (
	// connectionCost is the estimated memory of a connection without a request in bytes:
	// its goroutine's stack, its buffer for reading, and its state here and in the runtime.
	connectionCost = 10 << 10
	// handlingCost is the estimated memory of a request that is handled, besides its
	// fields: the stacks of its goroutines and the state of its call.
	handlingCost = 16 << 10
	// earlyCost is taken for a request that is handled early, as its answer has to wait.
	// It is the longest part of an answer that a forwarder buffers.
	earlyCost = 256 << 10
	// fieldCost is the estimated memory of a header field besides its text.
	fieldCost = 80

	// smallBody is the length in bytes up to which bodies wait for no memory.
	smallBody = 4 << 10
	// maxHeldBody is the longest part of a body that is held before its request is handled.
	maxHeldBody = 2 << 20
	// heldShare is the fraction of the budget that one held body may take, if that is less
	// than maxHeldBody.
	heldShare = 1. / 24
	// chunkSize is the size of the pieces in which bodies are held and dropped.
	chunkSize = 16 << 10
	// reservation is taken at once for a body of unknown length.
	reservation = 64 << 10
	// streamStart is how much of a body that is too long to be held has arrived before its
	// request is handled.
	streamStart = 256 << 10
	// maxOverhead is how many bytes a body in chunks may take for each of its own, besides
	// overheadStart. Chunks of one byte take six, and 0.2 s of a processor for 1 MB.
	maxOverhead   = 2
	overheadStart = 16 << 10
	// maxStreamed limits the requests that are handled before their bodies are whole. They
	// take slots of backend servers for as long as the callers send.
	maxStreamed = 8
)

// chunks holds room for reading what is dropped.
var chunks = sync.Pool{New: func() any {
	chunk := make([]byte, chunkSize)
	return &chunk
}}

// headCost returns the estimated memory of a parsed head.
func headCost(r *http.Request) int64 {
	n := int64(len(r.RequestURI))
	for name, values := range r.Header {
		n += fieldCost + int64(len(name))
		for _, v := range values {
			n += int64(len(v))
		}
	}
	return n
}

// hold reads the body of a request before the request is handled, so that an incomplete
// request takes no capacity. A body that is too long to be held is handled before it is
// whole, in one of maxStreamed places: if its length is known, once streamStart has arrived,
// and else once as much of it has arrived as can be held.
func (c *connection) hold(w *response) error {
	b := w.body
	limits := c.server.limits()
	if b == nil || w.request.ContentLength > limits.BodyBytes || !c.server.config.HoldsBody(w.request) {
		return nil
	}
	c.phase.Store(phaseBody)
	defer c.phase.Store(phaseIdle)
	b.from = c.wireBytes()
	most := min(maxHeldBody, int64(float64(c.server.config.Budget.Bound())*heldShare))
	if w.request.ContentLength > most {
		// It waits for a place before it takes memory.
		if err := c.takeStream(b); err != nil {
			return err
		}
		most = min(most, streamStart)
	}
	for !b.whole() {
		if b.total() >= min(most, limits.BodyBytes) {
			return c.takeStream(b)
		}
		if err := c.holdChunk(b, w.request.ContentLength, most); err != nil {
			return err
		}
	}
	b.end()
	return nil
}

// holdChunk reads and holds one more piece of a body.
func (c *connection) holdChunk(b *requestBody, length, most int64) error {
	total := b.total()
	if b.heldBytes <= total {
		need := int64(smallBody)
		switch {
		case total > 0 && length > 0:
			need = min(length, most) - total
		case total > 0:
			need = reservation
		case length > 0:
			need = min(length, smallBody)
		}
		if total == 0 {
			c.account.Add(need)
		} else if !c.reserve(need) {
			return c.gaveUp()
		}
		b.heldBytes += need
	}
	piece := newPiece(min(b.heldBytes-total, chunkSize))
	n, err := b.fill(piece)
	if n > 0 {
		b.held, b.pieces = append(b.held, piece[:n]), append(b.pieces, piece)
	}
	if length < 0 && c.wireBytes()-b.from > maxOverhead*b.total()+overheadStart {
		return trace.BadParameter("the chunks of the body are too short")
	}
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, io.ErrUnexpectedEOF):
		return trace.Wrap(err)
	case trace.IsBadParameter(err):
		return err
	}
	return trace.BadParameter("the body is malformed: %v", err)
}

// newPiece returns a piece of a body, which is used again if it has the usual size.
func newPiece(n int64) []byte {
	if n == chunkSize {
		return (*chunks.Get().(*[]byte))[:chunkSize]
	}
	return make([]byte, n)
}

// wireBytes returns how many bytes of the connection were taken from its buffer.
func (c *connection) wireBytes() int64 {
	return c.conn.count.Load() - int64(c.reader.Buffered())
}

// fill reads into a piece until it is full or the body ends.
func (b *requestBody) fill(piece []byte) (int, error) {
	n := 0
	for n < len(piece) {
		m, err := b.readSource(piece[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// reserve takes memory for a body. It returns false if the caller leaves, or is refused.
func (c *connection) reserve(n int64) bool {
	c.phase.Store(phaseWaiting)
	defer c.phase.Store(phaseBody)
	return c.account.Reserve(charger.UseBody, n, c.ctx.Done())
}

// takeStream waits for a place for a body that is handled before it is whole.
func (c *connection) takeStream(b *requestBody) error {
	if b.streaming {
		return nil
	}
	c.phase.Store(phaseWaiting)
	defer c.phase.Store(phaseBody)
	select {
	case c.server.streams <- struct{}{}:
		b.streaming = true
		return nil
	case <-c.ctx.Done():
		return c.gaveUp()
	}
}

// gaveUp returns why the reading ended.
func (c *connection) gaveUp() error {
	if cause := c.cause.Load(); cause != nil {
		return cause
	}
	return errLeft
}

// total returns how many bytes were held so far.
func (b *requestBody) total() int64 {
	n := int64(0)
	for _, v := range b.held {
		n += int64(len(v))
	}
	return n
}

// readHeld reads from the part that is held. It returns false if nothing is left of it.
func (b *requestBody) readHeld(p []byte) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.held) == 0 {
		return 0, false
	}
	n := copy(p, b.held[0])
	b.held[0] = b.held[0][n:]
	if len(b.held[0]) == 0 {
		if piece := b.pieces[0]; len(piece) == chunkSize {
			chunks.Put(&piece)
		}
		b.held, b.pieces = b.held[1:], b.pieces[1:]
	}
	released := min(int64(n), b.heldBytes)
	b.heldBytes -= released
	b.connection.account.Add(-released)
	return n, true
}

// drop drops what is still held of the body.
func (b *requestBody) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held, b.pieces = nil, nil
	b.connection.account.Add(-b.heldBytes)
	b.heldBytes = 0
	if b.streaming {
		b.streaming = false
		<-b.connection.server.streams
	}
}

// enlarge makes room for a head of n bytes at least. It returns false if the caller leaves
// before there is memory for it.
func (c *connection) enlarge(n int) bool {
	n = max(n, 2*c.reader.Size())
	c.phase.Store(phaseWaiting)
	defer c.phase.Store(phaseHead)
	if !c.account.Reserve(charger.UseHead, int64(n), c.ctx.Done()) {
		return false
	}
	c.smaller = append(c.smaller, c.reader)
	c.reader = bufio.NewReaderSize(c.reader, n)
	return true
}

// shrink drops the room for a large head once nothing is left in it.
func (c *connection) shrink() {
	for len(c.smaller) > 0 && c.reader.Buffered() == 0 {
		c.account.Add(-int64(c.reader.Size()))
		c.reader = c.smaller[len(c.smaller)-1]
		c.smaller = c.smaller[:len(c.smaller)-1]
	}
}

// release releases what the connection's readers hold.
func (c *connection) release() {
	for c.reader.Size() > readBufferSize && len(c.smaller) > 0 {
		c.account.Add(-int64(c.reader.Size()))
		c.reader = c.smaller[len(c.smaller)-1]
		c.smaller = c.smaller[:len(c.smaller)-1]
	}
	c.account.Close(connectionCost)
}
