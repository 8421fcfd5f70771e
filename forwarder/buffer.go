package forwarder

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/charger"
)

// gauge counts the body bytes that a forwarder buffers.
type gauge struct {
	held atomic.Int64
	peak atomic.Int64
	// budget is charged for buffers without an account; it may be nil.
	budget *charger.Budget
}

func (g *gauge) add(n int) {
	held := g.held.Add(int64(n))
	for {
		peak := g.peak.Load()
		if held <= peak || g.peak.CompareAndSwap(peak, held) {
			return
		}
	}
}

// buffer holds a part of one body between its writer and its readers. Released
// bytes are dropped only when their space is needed, so that a body that fits into
// the limit stays buffered completely.
type buffer struct {
	gauge *gauge
	// account is charged for the bytes; nil if the peer has none of its own.
	account *charger.Account
	limit   int

	mu      sync.Mutex
	changed sync.Cond
	// base is the offset in the body of the first buffered byte.
	base     int64
	released int64
	data     []byte
	// withheld is how many of the last bytes are not readable until the body has
	// ended, so that a reader cannot take an unverified body as complete.
	withheld int
	// onTrim is called once, when the first bytes are dropped; it may be nil.
	onTrim func()
	// keepsPrefixSum is set if the digest of the body's beginning is needed after the
	// beginning was dropped; prefixSum is that digest, nil before.
	keepsPrefixSum bool
	prefixSum      *prefixSum
	// ended is set once the body is whole.
	ended bool
	err   error
}

func newBuffer(g *gauge) *buffer {
	return new(buffer).init(g)
}

// init makes a zero buffer usable, and returns it.
func (b *buffer) init(g *gauge) *buffer {
	b.gauge = g
	b.limit = window
	b.changed.L = &b.mu
	return b
}

// errTrimmed says that a part of a body is no longer buffered.
var errTrimmed = trace.LimitExceeded("the body's beginning is held no more")

// Write appends to the body and blocks while the buffer is full.
func (b *buffer) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := b.writeSome(p[written:])
		if err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

// errOverrun says that the other end sent more than the buffer has room for.
var errOverrun = trace.LimitExceeded("more of the body than there is room for")

// add appends to the body without blocking. It ignores data for a body that has
// failed.
func (b *buffer) add(p []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return nil
	}
	if b.room(len(p)) < len(p) {
		return errOverrun
	}
	b.put(p)
	return nil
}

func (b *buffer) put(p []byte) {
	b.data = append(b.data, p...)
	b.charge(len(p))
	b.changed.Broadcast()
}

func (b *buffer) writeSome(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.room(len(p)) == 0 && b.err == nil {
		b.changed.Wait()
	}
	if b.err != nil {
		return 0, b.err
	}
	n := b.room(len(p))
	b.put(p[:n])
	return n, nil
}

// room returns how many of n bytes fit, and drops released bytes if necessary.
func (b *buffer) room(n int) int {
	if free := b.limit - len(b.data); free < n {
		b.trim()
	}
	return min(n, b.limit-len(b.data))
}

func (b *buffer) trim() {
	n := int(b.released - b.base)
	if n <= 0 {
		return
	}
	if b.base == 0 && b.onTrim != nil {
		go b.onTrim()
	}
	if b.keepsPrefixSum && b.prefixSum == nil && b.prefixKnown() {
		b.prefixSum = b.sumPrefix()
	}
	b.data = append(b.data[:0], b.data[n:]...)
	b.base += int64(n)
	b.charge(-n)
}

// end marks the body as whole.
func (b *buffer) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.changed.Broadcast()
}

// fail ends writing and reading with an error; the first error is kept.
func (b *buffer) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	b.changed.Broadcast()
}

// drop fails the buffer and frees its bytes.
func (b *buffer) drop(err error) {
	b.fail(err)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.charge(-len(b.data))
	b.base += int64(len(b.data))
	b.data = nil
}

// release allows the bytes before an offset to be dropped.
func (b *buffer) release(offset int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	offset = min(offset, b.base+int64(len(b.data)))
	if offset > b.released {
		b.released = offset
		b.changed.Broadcast()
	}
}

// singleChunk returns a body that has ended, is buffered from its start and fits
// into one chunk. Otherwise it returns false.
func (b *buffer) singleChunk() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended || b.base > 0 || len(b.data) > chunkSize {
		return nil, false
	}
	return b.data[:len(b.data):len(b.data)], true
}

// waitSingleChunk blocks until the body has ended or failed, is longer than a
// chunk, or stop returns true.
func (b *buffer) waitSingleChunk(stop func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.ended && b.err == nil && b.base+int64(len(b.data)) <= chunkSize && !stop() {
		b.changed.Wait()
	}
}

// waitWhole blocks until the body has ended or failed, the buffer is full, or stop returns
// true. It reports whether the body has ended.
func (b *buffer) waitWhole(stop func() bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.ended && b.err == nil && len(b.data) < b.limit && !stop() {
		b.changed.Wait()
	}
	return b.ended
}

// releasedOffset is the offset before which a buffer may drop bytes.
type releasedOffset struct {
	buffer *buffer
}

// Load implements counter.
func (o releasedOffset) Load() int64 {
	o.buffer.mu.Lock()
	defer o.buffer.mu.Unlock()
	return o.buffer.released
}

// wake makes waiting readers check their stop condition again.
func (b *buffer) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changed.Broadcast()
}

// length returns the length of the body so far.
func (b *buffer) length() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base + int64(len(b.data))
}

// readAt copies bytes from an offset and blocks until there are some. It returns
// io.EOF at the end of a whole body, errTrimmed if the offset is no longer
// buffered, the error of a failed body, and 0 once stop returns true.
func (b *buffer) readAt(p []byte, offset int64, stop func() bool) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if offset < b.base {
			return 0, errTrimmed
		}
		if n := copy(p, b.readable(offset)); n > 0 {
			return n, nil
		}
		if b.ended {
			return 0, io.EOF
		}
		if b.err != nil {
			return 0, b.err
		}
		if stop() {
			return 0, nil
		}
		b.changed.Wait()
	}
}

// readable returns the buffered bytes from an offset on that may be read.
func (b *buffer) readable(offset int64) []byte {
	end := len(b.data)
	if !b.ended {
		end -= b.withheld
	}
	start := int(offset - b.base)
	if start >= end {
		return nil
	}
	return b.data[start:end]
}

// failure returns the error that the body failed with; nil without one.
func (b *buffer) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// start returns the offset of the first buffered byte.
func (b *buffer) start() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base
}

func never() bool {
	return false
}
