package charger_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/charger"
)

const bound = 1 << 20

// fakePeer is a peer that moves some bytes in each 10 ms.
type fakePeer struct {
	account *charger.Account
	moved   atomic.Int64
	waits   atomic.Bool
	evicted atomic.Bool
}

func (p *fakePeer) State() charger.State {
	return charger.State{Moved: p.moved.Load(), Waits: p.waits.Load()}
}

func (p *fakePeer) Evict() {
	if p.evicted.CompareAndSwap(false, true) {
		p.account.Close(p.account.Held())
	}
}

// open opens an account of a peer that moves bytesPerStep in each 10 ms until the test ends.
func open(t *testing.T, b *charger.Budget, held, bytesPerStep int64) *fakePeer {
	p := &fakePeer{}
	p.account = b.Open(p, held)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				p.moved.Add(bytesPerStep)
			}
		}
	}()
	return p
}

// TestMemoryIsHeldWithoutProgress guards against peers that stop and keep the memory that
// others wait for, and against the close of a peer that makes progress or has to wait.
func TestMemoryIsHeldWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := charger.New(bound)
		stalled := open(t, b, bound/4, 0)
		slow := open(t, b, bound/4, 20)
		waiting := open(t, b, bound/16, 0)
		waiting.waits.Store(true)
		small := open(t, b, 100, 0)
		began := time.Now()
		qt.Assert(t, b.Reserve(charger.UseBody, bound/16, nil), qt.IsTrue)
		took := time.Since(began)
		qt.Assert(t, took > 500*time.Millisecond && took < 2*time.Second, qt.IsTrue, qt.Commentf("%v", took))
		qt.Assert(t, stalled.evicted.Load(), qt.IsTrue)
		qt.Assert(t, slow.evicted.Load(), qt.IsFalse)
		qt.Assert(t, waiting.evicted.Load(), qt.IsFalse)
		qt.Assert(t, small.evicted.Load(), qt.IsFalse)
		time.Sleep(time.Second)
	})
}

// TestLongBodyKeepsShortOnesWaiting guards against short bodies that wait behind many long
// ones, and against memory that is given to a caller that has left.
func TestLongBodyKeepsShortOnesWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := charger.New(bound)
		b.Add(bound)
		left := make(chan struct{})
		got := make(chan int64, 3)
		for _, n := range []int64{bound / 2, bound / 4, 10} {
			go func() {
				done := (<-chan struct{})(nil)
				if n == bound/4 {
					done = left
				}
				if b.Reserve(charger.UseBody, n, done) {
					got <- n
				}
			}()
			synctest.Wait()
		}
		close(left)
		synctest.Wait()
		const rest = bound / 2
		b.Add(rest - bound)
		qt.Assert(t, <-got, qt.Equals, int64(10))
		b.Add(-rest)
		qt.Assert(t, <-got, qt.Equals, int64(bound/2))
		held, _ := b.Held()
		qt.Assert(t, held, qt.Equals, int64(bound/2+10))
		time.Sleep(time.Second)
	})
}

// TestLowUseTakesRoomOfHighUse guards against bodies and early requests that take the memory
// that connections and heads need.
func TestLowUseTakesRoomOfHighUse(t *testing.T) {
	b := charger.New(bound)
	order := []charger.Use{charger.UseEarly, charger.UseBody, charger.UseReply, charger.UseHead}
	for i, u := range order {
		for b.Take(u, 1) {
		}
		qt.Assert(t, b.Short(u), qt.IsTrue)
		for _, higher := range order[i+1:] {
			qt.Assert(t, b.Short(higher), qt.IsFalse)
		}
	}
	held, _ := b.Held()
	qt.Assert(t, held, qt.Equals, int64(bound))
}
