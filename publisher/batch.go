package publisher

import (
	"context"
	"sync"
	"time"
)

const (
	// confirmTimeout bounds one confirmation round.
	confirmTimeout = 500 * time.Millisecond
	// confirmInterval is the time between rounds that were not requested.
	confirmInterval = 500 * time.Millisecond
	// confirmationLifetime is how long a confirmation is valid. It spans two
	// rounds with their timeouts.
	confirmationLifetime = 2 * (confirmInterval + confirmTimeout)
)

// batcher confirms the local state for many sessions in one round. A request is
// answered by a round that begins after it, so that the confirmation covers
// everything that was accepted before the request.
type batcher struct {
	confirmer Confirmer
	requested chan struct{}

	mu      sync.Mutex
	waiting []func(error)
	// latest is the start of the latest successful round.
	latest time.Time
}

func newBatcher(c Confirmer) *batcher {
	return &batcher{
		confirmer: c,
		requested: make(chan struct{}, 1),
	}
}

// request requests a round and calls done with its result.
func (b *batcher) request(done func(error)) {
	b.mu.Lock()
	b.waiting = append(b.waiting, done)
	b.mu.Unlock()
	select {
	case b.requested <- struct{}{}:
	default:
	}
}

func (b *batcher) serve(ctx context.Context) error {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.requested:
		case <-ticker.C:
		}
		b.confirm(ctx)
	}
}

// confirmed reports whether the latest successful round is still valid.
func (b *batcher) confirmed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.latest) < confirmationLifetime
}

func (b *batcher) confirm(ctx context.Context) {
	b.mu.Lock()
	waiting := b.waiting
	b.waiting = nil
	b.mu.Unlock()
	started := time.Now()
	roundCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := b.confirmer.ReadIndex(roundCtx)
	if err == nil {
		b.mu.Lock()
		b.latest = started
		b.mu.Unlock()
	}
	for _, done := range waiting {
		done(err)
	}
}
