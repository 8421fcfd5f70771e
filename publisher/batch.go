package publisher

import (
	"context"
	"sync"
	"time"
)

// confirmTimeout bounds one round of confirmation.
const confirmTimeout = 500 * time.Millisecond

// batch confirms the state for many sessions at once. A session waits for a
// round that begins after it asked, so that what it was told of before it
// asked is covered.
type batch struct {
	confirmer Confirmer
	asked     chan struct{}

	mu      sync.Mutex
	waiting []func(error)
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
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.asked:
			b.round(ctx)
		}
	}
}

func (b *batch) round(ctx context.Context) {
	b.mu.Lock()
	waiting := b.waiting
	b.waiting = nil
	b.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := b.confirmer.ReadIndex(bounded)
	for _, done := range waiting {
		done(err)
	}
}
