package quarantiner

import "time"

const (
	// historyPeriod is how long a run that ended well is remembered, at least; it is
	// forgotten after twice that time.
	historyPeriod = 5 * time.Second
	// maxHistory bounds the requests that are remembered from one period.
	maxHistory = 8192
)

// history holds the requests that have run well recently at the node's own backend server.
// What has just run well does not end servers, even if it runs at many that end.
type history struct {
	current, previous map[uint64]struct{}
	started           time.Time
}

func newHistory() history {
	return history{current: map[uint64]struct{}{}}
}

// add records a run that ended well.
func (h *history) add(now time.Time, quick uint64) {
	h.rotate(now)
	if quick != 0 && len(h.current) < maxHistory {
		h.current[quick] = struct{}{}
	}
}

// has reports whether a request has run well recently.
func (h *history) has(now time.Time, quick uint64) bool {
	h.rotate(now)
	if _, ok := h.current[quick]; ok {
		return true
	}
	_, ok := h.previous[quick]
	return ok
}

func (h *history) rotate(now time.Time) {
	age := now.Sub(h.started)
	if age < historyPeriod {
		return
	}
	h.previous = h.current
	if age >= 2*historyPeriod {
		h.previous = nil
	}
	h.current = map[uint64]struct{}{}
	h.started = now
}
