package admitter

import "time"

const (
	// depthMemory is how long a depth counts as in use.
	depthMemory = 10 * time.Second
	// reserveParts is the part of the limit kept free for each deeper depth.
	reserveParts = 16
	// shareWindow is the time between two changes of the roots' share.
	shareWindow = 50 * time.Millisecond
	// deepWaitTarget is the mean wait of deeper calls that is left alone.
	deepWaitTarget = 10 * time.Millisecond
	// shareDecrease is what a decrease leaves of the roots' share.
	shareDecrease = 0.9
	// shareIncrease is the part of the limit that an increase adds.
	shareIncrease = 0.05
)

// reserve keeps slots free for calls that come deeper in the chain, so that
// calls of admitted roots never wait on new roots for good. Slots are bounded
// by depth as buffers are by hops in structured buffer pools (Raubold and
// Haenle, 1976); the share of roots follows the wait of deeper calls.
type reserve struct {
	seen    [depths]time.Time
	share   float64
	started time.Time
	sum     time.Duration
	count   int
}

func newReserve() reserve {
	return reserve{share: 1}
}

func (r *reserve) see(now time.Time, depth uint8) {
	r.seen[min(int(depth), depths-1)] = now
}

// bound returns how many runs of a depth and above it may use of a limit.
func (r *reserve) bound(now time.Time, limit, depth int) int {
	deeper := 0
	for d := depth + 1; d < depths; d++ {
		if !r.seen[d].IsZero() && now.Sub(r.seen[d]) < depthMemory {
			deeper++
		}
	}
	bound := limit - deeper*max(limit/reserveParts, 1)
	if depth == 0 && deeper > 0 {
		bound = min(bound, int(r.share*float64(limit)))
	}
	return max(bound, 1)
}

// waited takes in the wait of a call that starts or is refused.
func (r *reserve) waited(now time.Time, limit int, depth uint8, d time.Duration) {
	if depth > 0 {
		r.sum += d
		r.count++
	}
	if now.Sub(r.started) < shareWindow {
		return
	}
	r.started = now
	least := 1 / float64(max(limit, 1))
	if r.count > 0 && r.sum/time.Duration(r.count) > deepWaitTarget {
		r.share = max(r.share*shareDecrease, least)
	} else {
		r.share = min(r.share+shareIncrease, 1)
	}
	r.sum, r.count = 0, 0
}
