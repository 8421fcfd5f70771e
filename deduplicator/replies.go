package deduplicator

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// keptReply is the size and expiry of one kept reply.
type keptReply struct {
	id      waxwingseam.CallID
	expires instant
	bytes   int64
}

// replies is a queue of kept replies with the same retention, oldest first.
type replies struct {
	retention time.Duration
	queue     []keptReply
	bytes     int64
}

// add appends a reply.
func (r *replies) add(now instant, id waxwingseam.CallID, bytes int64) {
	r.queue = append(r.queue, keptReply{
		id:      id,
		expires: now.add(r.retention),
		bytes:   bytes,
	})
	r.bytes += bytes
}

// evict removes the oldest reply while it has expired or the total size exceeds
// limit, and returns the calls of the removed replies.
func (r *replies) evict(now instant, limit int64) []waxwingseam.CallID {
	var evicted []waxwingseam.CallID
	n := 0
	for n < len(r.queue) && (r.queue[n].expires <= now || r.bytes > limit) {
		evicted = append(evicted, r.queue[n].id)
		r.bytes -= r.queue[n].bytes
		n++
	}
	r.queue = append(r.queue[:0], r.queue[n:]...)
	return evicted
}
