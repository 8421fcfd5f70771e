package charger

import (
	"cmp"
	"slices"
	"time"
)

const (
	// interval is the time between two looks at the peers while memory is short.
	interval = 100 * time.Millisecond
	// lookTime is how long a peer is watched before its progress is judged. A legal client
	// behind a link of 8 ms moves something several times in it.
	lookTime = time.Second
	// slowRate is the progress in bytes per second below which a peer counts as stalled
	// while memory is short.
	slowRate = 1 << 10
	// maxEvictedShare is the part of the bound that is reclaimed at one look at most, so
	// that no more peers are closed than needed.
	maxEvictedShare = 0.25
)

// startReclaiming starts the goroutine that reclaims memory, unless it runs. The lock is held.
func (b *Budget) startReclaiming() {
	if b.reclaiming {
		return
	}
	b.reclaiming = true
	now := time.Now()
	for a := range b.accounts {
		a.since = time.Time{}
		a.look(now)
	}
	go b.reclaim()
}

// reclaim closes peers until memory is no longer short.
func (b *Budget) reclaim() {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for range ticker.C {
		b.grant()
		b.mu.Lock()
		if b.waiting.Load() == 0 && b.held.Load() <= b.bound {
			b.reclaiming = false
			b.mu.Unlock()
			return
		}
		victims := b.victims(time.Now())
		b.mu.Unlock()
		for _, a := range victims {
			b.evicted.Add(1)
			a.peer.Evict()
		}
	}
}

// candidate is a peer that may be closed.
type candidate struct {
	account *Account
	held    int64
	rate    float64
}

// look notes what a peer has moved, and returns its progress since the last time its rate
// was judged; false if it can't be judged yet.
func (a *Account) look(now time.Time) (rate float64, judged bool) {
	s := a.peer.State()
	if s.Waits || a.since.IsZero() {
		a.since, a.moved = now, s.Moved
		return 0, false
	}
	took := now.Sub(a.since)
	if took < lookTime {
		return 0, false
	}
	rate = float64(s.Moved-a.moved) / took.Seconds()
	a.since, a.moved = now, s.Moved
	return rate, true
}

// victims returns the peers to close: the stalled ones, those first that hold the most for
// the least progress. The lock is held.
func (b *Budget) victims(now time.Time) []*Account {
	var list []candidate
	for a := range b.accounts {
		rate, judged := a.look(now)
		if judged && rate < slowRate {
			list = append(list, candidate{account: a, held: a.held.Load(), rate: rate})
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Compare(float64(y.held)/(y.rate+1), float64(x.held)/(x.rate+1))
	})
	left := b.excess()
	var out []*Account
	for _, c := range list {
		if left <= 0 {
			break
		}
		out = append(out, c.account)
		left -= c.held
	}
	return out
}

// excess returns how many bytes are to be reclaimed: what those that wait need, and what
// is held over the bound. The lock is held.
func (b *Budget) excess() int64 {
	held := b.held.Load()
	out := held - b.bound
	for u := range useCount {
		need := int64(0)
		for _, w := range b.waiters[u] {
			need += max(w.need, 1)
		}
		if need > 0 {
			out = max(out, held+need-b.limit(u))
		}
	}
	return min(out, int64(float64(b.bound)*maxEvictedShare))
}
