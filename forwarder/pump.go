package forwarder

import (
	"errors"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// chunkSize limits how many bytes of a body one frame carries.
const chunkSize = 32 << 10

// chunks holds reusable buffers of chunkSize bytes.
var chunks = sync.Pool{
	New: func() any {
		chunk := make([]byte, chunkSize)
		return &chunk
	},
}

// copyBody is io.Copy with a reused buffer.
func copyBody(to io.Writer, from io.Reader) (int64, error) {
	chunk := chunks.Get().(*[]byte)
	defer chunks.Put(chunk)
	return io.CopyBuffer(to, from, *chunk)
}

// digestWriter writes a body to a buffer and computes its digest.
type digestWriter struct {
	buffer *buffer
	digest xxhash.Digest
	// call is the call whose reply is written; nil for a request body. Its reply waits for
	// memory.
	call *hostedCall
}

func newDigestWriter(b *buffer) *digestWriter {
	w := &digestWriter{buffer: b}
	w.digest.Reset()
	return w
}

// Write implements io.Writer.
func (w *digestWriter) Write(p []byte) (int, error) {
	if w.call != nil {
		defer w.call.awaitReplyMemory()()
	}
	n, err := w.buffer.Write(p)
	_, _ = w.digest.Write(p[:n])
	return n, err
}

// pump sends a body over one channel until it is stopped.
type pump struct {
	channel *channel
	body    *buffer
	// halted stops the pump once it returns true.
	halted func() bool
}

func newPump(c *channel, body *buffer, halted func() bool) *pump {
	return &pump{
		channel: c,
		body:    body,
		halted:  halted,
	}
}

// send sends the body from an offset on. It returns nil once the body was sent
// completely or the pump was stopped.
func (p *pump) send(offset int64) error {
	chunk := chunks.Get().(*[]byte)
	defer chunks.Put(chunk)
	for {
		n, err := p.body.readAt(*chunk, offset, p.halted)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil || n == 0 {
			return err
		}
		f := frame{
			Kind:   frameData,
			Offset: offset,
			Data:   (*chunk)[:n],
		}
		if err := p.channel.send(f); err != nil {
			return err
		}
		offset += int64(n)
	}
}

// sendBody sends a request body, then its length and digest. Bytes that were
// dropped meanwhile reached the receiving node over an earlier connection. If the
// caller ended the body early, no length and digest are sent, so that the body is
// never taken as whole.
func (p *pump) sendBody(x *exchange) {
	err := p.send(x.body.start())
	for errors.Is(err, errTrimmed) {
		err = p.send(x.body.start())
	}
	if err != nil || p.halted() {
		return
	}
	length, digest := x.bodyLengthAndDigest()
	_ = p.channel.send(frame{
		Kind:   frameEnd,
		Length: length,
		Digest: digest,
	})
}
