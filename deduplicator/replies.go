package deduplicator

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// kept is one reply that the node holds.
type kept struct {
	id    waxwingseam.CallID
	until instant
	bytes int64
}

// replies are the replies held for one length of time, the oldest first.
type replies struct {
	life  time.Duration
	queue []kept
	bytes int64
}

// add holds one more reply.
func (r *replies) add(now instant, id waxwingseam.CallID, bytes int64) {
	r.queue = append(r.queue, kept{
		id:    id,
		until: now.after(r.life),
		bytes: bytes,
	})
	r.bytes += bytes
}

// drop lets the oldest replies go while they have ended or hold more bytes
// than the limit, and returns their calls.
func (r *replies) drop(now instant, limit int64) []waxwingseam.CallID {
	var gone []waxwingseam.CallID
	n := 0
	for n < len(r.queue) && (r.queue[n].until <= now || r.bytes > limit) {
		gone = append(gone, r.queue[n].id)
		r.bytes -= r.queue[n].bytes
		n++
	}
	r.queue = append(r.queue[:0], r.queue[n:]...)
	return gone
}
