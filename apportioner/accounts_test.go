package apportioner

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// accountWorld offers the calls of accounts at rates in multiples of the slots. First nodes
// refuse what the server stated last of each account.
type accountWorld struct {
	waxwingseam.Apportioner
	random  *rand.Rand
	now     time.Time
	roots   uint64
	rates   []float64
	weights []float64
	// refused sums the shares of the roots of each account since the last reset, offered
	// counts the roots, and total sums the share of all accounts together.
	refused []float64
	offered []float64
	total   float64
	named   map[waxwingseam.AccountTag]waxwingseam.Permille
	others  waxwingseam.Permille
}

const (
	accountSlots   = 40
	accountRunTime = 50 * time.Millisecond
)

func newAccountWorld(rates, weights []float64) *accountWorld {
	w := &accountWorld{
		Apportioner: New(Config{}), random: rand.New(rand.NewPCG(1, 0)), now: start,
		rates: rates, weights: weights, refused: make([]float64, len(rates)), offered: make([]float64, len(rates)),
	}
	w.Configure(accountSlots)
	w.Finish(start, "fee", accountRunTime)
	return w
}

func (w *accountWorld) name(i int) waxwingseam.AccountName {
	return waxwingseam.AccountName(fmt.Sprintf("account-%d", i))
}

func (w *accountWorld) occupancy() waxwingseam.Occupancy {
	return waxwingseam.Occupancy{Running: accountSlots, Waiting: make([]int, levels)}
}

func (w *accountWorld) run(d time.Duration) {
	clear(w.refused)
	clear(w.offered)
	w.total = 0
	w.named = map[waxwingseam.AccountTag]waxwingseam.Permille{}
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.Finish(w.now, "fee", accountRunTime)
		for i, rate := range w.rates {
			expected := rate * accountSlots / accountRunTime.Seconds() * tick.Seconds()
			for ; w.random.Float64() < expected; expected-- {
				w.arrive(i)
			}
		}
	}
}

// arrive offers a root of an account, unless its first node refuses it.
func (w *accountWorld) arrive(i int) {
	share, stated := w.RefusedAccount(w.now, 3, w.name(i), w.occupancy())
	w.others = stated.Others
	for _, v := range stated.Cut {
		w.named[v.Account] = v.Refused
	}
	w.offered[i]++
	w.refused[i] += share.Share()
	w.total += w.Refused(w.now, 3, w.occupancy()).Share()
	if w.random.Float64() < share.Share() {
		return
	}
	w.roots++
	demand := waxwingseam.Demand{
		Class: "fee", Importance: 3, Refused: share, Account: w.name(i), AccountWeight: w.weights[i],
	}
	binary.BigEndian.PutUint64(demand.Root[:], w.roots)
	w.Offer(w.now, demand)
}

// refusedOfAll returns the refused part of all roots, and the share that the server states
// for all accounts together.
func (w *accountWorld) refusedOfAll() (refused, stated float64) {
	offered := 0.0
	for i := range w.offered {
		offered += w.offered[i]
		refused += w.refused[i]
	}
	return refused / offered, w.total / offered
}

// fairShares returns the share to refuse of each account by water filling.
func fairShares(rates, weights []float64, refused float64) []float64 {
	out, total := make([]float64, len(rates)), 0.0
	for _, rate := range rates {
		total += rate
	}
	low, high := 0.0, 2*total
	for range 50 {
		level, sum := (low+high)/2, 0.0
		for i, rate := range rates {
			out[i] = max(1-level*weights[i]/rate, 0)
			sum += out[i] * rate
		}
		if sum > refused*total {
			low = level
		} else {
			high = level
		}
	}
	return out
}

// TestAccountsAboveTheLevelAreCut guards against shares that differ from those of weighted
// max-min fairness, and against a total that differs from what the server refuses without
// accounts.
func TestAccountsAboveTheLevelAreCut(t *testing.T) {
	for _, v := range []struct {
		name           string
		rates, weights []float64
	}{
		{"one above", []float64{2, 0.2, 0.1}, []float64{1, 1, 1}},
		{"two above", []float64{2, 1, 0.15}, []float64{1, 1, 1}},
		{"weights", []float64{1, 1, 0.15}, []float64{3, 1, 1}},
		{"all alike", []float64{0.5, 1, 1.5}, []float64{1, 2, 3}},
	} {
		t.Run(v.name, func(t *testing.T) {
			w := newAccountWorld(v.rates, v.weights)
			w.run(4 * time.Second)
			w.run(10 * time.Second)
			refused, stated := w.refusedOfAll()
			checkShare(t, "all", refused, stated)
			for i, want := range fairShares(v.rates, v.weights, stated) {
				checkShare(t, fmt.Sprint("account ", i), w.refused[i]/w.offered[i], want)
				_, named := w.named[w.name(i).Tag()]
				qt.Check(t, named, qt.Equals, want > 0, qt.Commentf("account %d is named", i))
			}
		})
	}
}

// TestSparseAccountsAreRefusedTheMean guards against accounts of which a server sees a call
// now and then that are refused nothing while all demand is theirs, and against a share of
// others that is not theirs.
func TestSparseAccountsAreRefusedTheMean(t *testing.T) {
	const count = 3000
	rates, weights := make([]float64, count), make([]float64, count)
	for i := range rates {
		rates[i], weights[i] = 2.0/count, 1
	}
	w := newAccountWorld(rates, weights)
	w.run(3 * time.Second)
	w.run(time.Second)
	refused, stated := w.refusedOfAll()
	qt.Assert(t, stated > 0.3, qt.IsTrue)
	checkShare(t, "all", refused, stated)
	checkShare(t, "others", w.others.Share(), stated)
}

// TestAccountsAreForgotten guards against a memory that grows with every account that has
// ever called.
func TestAccountsAreForgotten(t *testing.T) {
	a := New(Config{}).(*apportioner)
	a.Configure(accountSlots)
	now := start
	for n := range uint64(10_000) {
		now = now.Add(10 * time.Millisecond)
		demand := waxwingseam.Demand{Class: "fee", Account: waxwingseam.AccountName(fmt.Sprint(n)), AccountWeight: 1}
		binary.BigEndian.PutUint64(demand.Root[:], n)
		a.Offer(now, demand)
		a.RefusedAccount(now, 0, demand.Account, waxwingseam.Occupancy{})
	}
	most := int(math.Ceil(accountLifetime.Seconds() * 100 * 1.1))
	qt.Assert(t, len(a.accounts[0].list) <= most, qt.IsTrue)
	qt.Assert(t, a.accounts[0].byName, qt.HasLen, len(a.accounts[0].list))
}
