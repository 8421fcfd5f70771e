// Package charger accounts for the memory that a process holds for its peers: callers,
// other nodes and backend servers. All of it is charged to one budget. When the budget runs
// short, what peers send is read no further, in an order of importance, and then the peers
// that hold the most for the least progress are closed. See design note 058.
package charger

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// DefaultBound is the bound of a budget in bytes without a known memory limit.
const DefaultBound = 256 << 20

// boundShare is the fraction of a process's memory limit that peers may use. The soft limit
// of the runtime is at 0.75 of the memory limit; a node uses 25 MB at rest, and the heap may
// grow by up to the live heap between two collections.
const boundShare = 0.3

// Bound returns the bound of the budget for a memory limit in bytes; 0 means no limit.
func Bound(memoryLimit int64) int64 {
	if memoryLimit <= 0 {
		return DefaultBound
	}
	return int64(float64(memoryLimit) * boundShare)
}

// Use is what memory is needed for. Uses give way in the order of the constants.
type Use int

const (
	// UseEarly is for requests that are handled before earlier ones are answered.
	UseEarly Use = iota
	// UseBody is for request bodies.
	UseBody
	// UseReply is for replies behind their first part.
	UseReply
	// UseHead is for everything else. It gives way last.
	UseHead
	useCount
)

// shares are the fractions of the bound up to which memory is taken for each use. The rest
// above UseReply is left for connections, heads and short replies, which ordinary callers
// need.
var shares = [useCount]float64{0.25, 0.55, 0.75, 1}

// ErrClosed means that a reservation was given up.
var ErrClosed = trace.ConnectionProblem(nil, "the peer is gone")

// State is what a peer does at a moment.
type State struct {
	// Moved counts the bytes that the peer has sent and read. It only grows.
	Moved int64
	// Waits is set while the peer waits for this process.
	Waits bool
	// Idle is set while nothing is in progress for the peer.
	Idle bool
}

// Peer is the other end of what is charged.
type Peer interface {
	// State returns what the peer does.
	State() State
	// Evict closes the peer's connection.
	Evict()
}

// Budget bounds the memory for all peers.
type Budget struct {
	bound int64
	held  atomic.Int64
	peak  atomic.Int64
	// waiting counts the waiters.
	waiting atomic.Int64
	evicted atomic.Int64

	mu       sync.Mutex
	accounts map[*Account]struct{}
	waiters  [useCount][]*waiter
	// reclaiming is set while the goroutine that reclaims memory runs.
	reclaiming bool
}

// waiter waits until memory is available.
type waiter struct {
	need  int64
	ready chan struct{}
	// granted is set once the memory is charged.
	granted bool
}

// New returns a budget with a bound in bytes; 0 selects DefaultBound.
func New(bound int64) *Budget {
	if bound <= 0 {
		bound = DefaultBound
	}
	return &Budget{bound: bound, accounts: map[*Account]struct{}{}}
}

// Bound returns the bound in bytes.
func (b *Budget) Bound() int64 {
	return b.bound
}

// Held returns how many bytes are charged now, and the highest number so far.
func (b *Budget) Held() (now, peak int64) {
	return b.held.Load(), b.peak.Load()
}

// Evicted returns how many peers were closed for memory.
func (b *Budget) Evicted() int64 {
	return b.evicted.Load()
}

// limit returns up to how many bytes memory is taken for a use.
func (b *Budget) limit(u Use) int64 {
	return int64(float64(b.bound) * shares[u])
}

// Short reports whether there is no memory for a use.
func (b *Budget) Short(u Use) bool {
	return b.held.Load() >= b.limit(u)
}

// Add charges bytes that are held already, or releases them if n is negative.
func (b *Budget) Add(n int64) {
	held := b.held.Add(n)
	if n <= 0 {
		if b.waiting.Load() > 0 {
			b.grant()
		}
		return
	}
	for peak := b.peak.Load(); held > peak && !b.peak.CompareAndSwap(peak, held); {
		peak = b.peak.Load()
	}
	if held > b.bound && held-n <= b.bound {
		b.mu.Lock()
		b.startReclaiming()
		b.mu.Unlock()
	}
}

// Take charges bytes for a use, unless there is no memory for it.
func (b *Budget) Take(u Use, n int64) bool {
	if held := b.held.Add(n); held <= b.limit(u) {
		return true
	}
	b.held.Add(-n)
	return false
}

// Reserve charges bytes for a use once there is memory for it; of those that wait, those
// that need the least get it first. It returns false if done is closed first.
func (b *Budget) Reserve(u Use, n int64, done <-chan struct{}) bool {
	b.mu.Lock()
	if len(b.waiters[u]) == 0 && b.Take(u, n) {
		b.mu.Unlock()
		return true
	}
	w := &waiter{need: n, ready: make(chan struct{})}
	b.waiters[u] = insert(b.waiters[u], w)
	b.waiting.Add(1)
	b.startReclaiming()
	b.mu.Unlock()
	// Memory may have been released before the waiter was counted.
	b.grant()
	select {
	case <-w.ready:
		return true
	case <-done:
		return b.cancel(u, w)
	}
}

// insert adds a waiter behind those that need no more, so that short bodies don't wait for
// many long ones.
func insert(list []*waiter, w *waiter) []*waiter {
	i, _ := slices.BinarySearchFunc(list, w.need, func(v *waiter, need int64) int {
		if v.need <= need {
			return -1
		}
		return 1
	})
	return slices.Insert(list, i, w)
}

// cancel ends a wait. It returns true if the memory was granted meanwhile.
func (b *Budget) cancel(u Use, w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.granted {
		return true
	}
	for i, v := range b.waiters[u] {
		if v == w {
			b.waiters[u] = append(b.waiters[u][:i], b.waiters[u][i+1:]...)
			b.waiting.Add(-1)
			break
		}
	}
	return false
}

// grant gives memory to those that wait for it, the last uses to give way first.
func (b *Budget) grant() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for u := useCount - 1; u >= 0; u-- {
		for len(b.waiters[u]) > 0 && b.Take(u, b.waiters[u][0].need) {
			w := b.waiters[u][0]
			b.waiters[u] = b.waiters[u][1:]
			b.waiting.Add(-1)
			w.granted = true
			close(w.ready)
		}
	}
}

// Account is what is held for one peer.
type Account struct {
	budget *Budget
	peer   Peer
	held   atomic.Int64
	closed atomic.Bool

	// moved and since are what the last look at the peer found, for the goroutine
	// that reclaims memory.
	moved int64
	since time.Time
}

// Open opens an account for a peer that holds n bytes. It must be closed.
func (b *Budget) Open(p Peer, n int64) *Account {
	a := &Account{budget: b, peer: p}
	a.held.Store(n)
	b.mu.Lock()
	b.accounts[a] = struct{}{}
	b.mu.Unlock()
	b.Add(n)
	return a
}

// Budget returns the budget that the account belongs to.
func (a *Account) Budget() *Budget {
	return a.budget
}

// Held returns how many bytes are charged.
func (a *Account) Held() int64 {
	return a.held.Load()
}

// Add charges bytes that are held already, or releases them if n is negative.
func (a *Account) Add(n int64) {
	a.held.Add(n)
	a.budget.Add(n)
}

// Take charges bytes for a use, unless there is no memory for it.
func (a *Account) Take(u Use, n int64) bool {
	if !a.budget.Take(u, n) {
		return false
	}
	a.held.Add(n)
	return true
}

// Reserve charges bytes for a use once there is memory for it. It returns false if done is
// closed first.
func (a *Account) Reserve(u Use, n int64, done <-chan struct{}) bool {
	if !a.budget.Reserve(u, n, done) {
		return false
	}
	a.held.Add(n)
	return true
}

// Close ends the account. What is still charged is released by those that charged it.
func (a *Account) Close(n int64) {
	if !a.closed.CompareAndSwap(false, true) {
		return
	}
	b := a.budget
	b.mu.Lock()
	delete(b.accounts, a)
	b.mu.Unlock()
	a.Add(-n)
}
