package narrator

import (
	"context"
	"log/slog"
	"time"
)

// bucket is a token bucket that limits the lines of one kind.
type bucket struct {
	tokens  float64
	updated time.Time
	// dropped counts the lines dropped since the last call of takeDropped.
	dropped int
}

// take takes a token for one line and reports whether there was one. Otherwise it
// counts the line as dropped. The rate is in lines per second.
func (b *bucket) take(now time.Time, rate float64, burst int) bool {
	if b.updated.IsZero() {
		b.tokens = float64(burst)
	} else if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.tokens+rate*elapsed.Seconds(), float64(burst))
	}
	b.updated = now
	if b.tokens < 1 {
		b.dropped++
		return false
	}
	b.tokens--
	return true
}

// takeDropped returns the number of lines dropped since its last call.
func (b *bucket) takeDropped() int {
	n := b.dropped
	b.dropped = 0
	return n
}

// allows reports whether a line may be written. If so, line must follow; the attributes
// of a line that is left out need not be built.
func (n *Narrator) allows(now time.Time, event string) bool {
	b, ok := n.buckets[event]
	if !ok {
		b = &bucket{}
		n.buckets[event] = b
	}
	return b.take(now, n.rate, n.burst)
}

// write logs one line unless the rate limit of its kind is exceeded.
func (n *Narrator) write(now time.Time, event string, level slog.Level, attributes ...slog.Attr) {
	if n.allows(now, event) {
		n.line(event, level, attributes...)
	}
}

// line logs one line.
func (n *Narrator) line(event string, level slog.Level, attributes ...slog.Attr) {
	n.logger.LogAttrs(context.Background(), level, event, append([]slog.Attr{slog.String("event", event)}, attributes...)...)
}
