package publisher

import (
	"context"
	"sync"
	"time"
)

const (
	// confirmTimeout bounds one round of confirmation.
	confirmTimeout = 500 * time.Millisecond
	// confirmEvery is the time between rounds that nobody asked for.
	confirmEvery = 500 * time.Millisecond
	// confirmedFor is how long a confirmation holds good. It spans two rounds
	// with their timeouts.
	confirmedFor = 2 * (confirmEvery + confirmTimeout)
)

// batch confirms the state for many sessions at once. A session waits for a
// round that begins after it asked, so that what it was told of before it
// asked is covered.
type batch struct {
	confirmer Confirmer
	asked     chan struct{}

	mu      sync.Mutex
	waiting []func(error)
	// latest is when the last confirmed round began.
	latest time.Time
}

func newBatch(c Confirmer) *batch {
	return &batch{
		confirmer: c,
		asked:     make(chan struct{}, 1),
	}
}

// ask calls done with the result of a round that begins later.
func (b *batch) ask(done func(error)) {
	b.mu.Lock()
	b.waiting = append(b.waiting, done)
	b.mu.Unlock()
	select {
	case b.asked <- struct{}{}:
	default:
	}
}

func (b *batch) serve(ctx context.Context) error {
	ticker := time.NewTicker(confirmEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.asked:
		case <-ticker.C:
		}
		b.round(ctx)
	}
}

// current reports whether a round was confirmed lately.
func (b *batch) current() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.latest) < confirmedFor
}

func (b *batch) round(ctx context.Context) {
	b.mu.Lock()
	waiting := b.waiting
	b.waiting = nil
	b.mu.Unlock()
	started := time.Now()
	bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := b.confirmer.ReadIndex(bounded)
	if err == nil {
		b.mu.Lock()
		b.latest = started
		b.mu.Unlock()
	}
	for _, done := range waiting {
		done(err)
	}
}
