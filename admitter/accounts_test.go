package admitter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/limiter"
)

const (
	fairRunTime = 10 * time.Millisecond
	fairSlots   = 5
)

// fairWorld drives an admitter with calls of accounts in virtual time. All runs take
// fairRunTime.
type fairWorld struct {
	waxwingseam.Admitter
	context *waxwingseam.Context
	random  *rand.Rand
	now     time.Time
	ends    []runEnding
	tickets map[waxwingseam.CallID]waxwingseam.Ticket
	started map[waxwingseam.AccountName]int
	offered map[waxwingseam.AccountName]int
	depth   uint8
	// idle is the time for which slots were free while a call waited.
	idle    time.Duration
	waiting int
	log     []string
}

type runEnding struct {
	at time.Time
	id waxwingseam.CallID
}

func newFairWorld(seed uint64, set *waxwingseam.Set) *fairWorld {
	w := &fairWorld{
		Admitter: New(Config{Limiter: limiter.NewFixed()}),
		context:  waxwingseam.NewContext(waxwingseam.Server{}),
		random:   rand.New(rand.NewPCG(seed, 0)),
		now:      time.Unix(1000, 0),
		tickets:  map[waxwingseam.CallID]waxwingseam.Ticket{},
		started:  map[waxwingseam.AccountName]int{},
		offered:  map[waxwingseam.AccountName]int{},
	}
	w.context.Set = set
	w.Configure(fairSlots)
	return w
}

func accountSet(weights ...float64) *waxwingseam.Set {
	set := &waxwingseam.Set{Revision: 1}
	for i, weight := range weights {
		set.ClientAccounts = append(set.ClientAccounts, waxwingseam.ClientAccount{Name: accountName(i), Weight: weight})
	}
	return set
}

func accountName(i int) waxwingseam.AccountName {
	return waxwingseam.AccountName(fmt.Sprintf("account-%d", i))
}

func (w *fairWorld) begin() {
	w.context.Begin(waxwingseam.Stamp{Now: w.now})
}

func (w *fairWorld) apply(admissions []waxwingseam.Admission) {
	for _, v := range admissions {
		w.log = append(w.log, fmt.Sprint(v.ID, v.Verdict, v.Reason))
		switch v.Verdict {
		case waxwingseam.VerdictWait:
			w.waiting++
			continue
		case waxwingseam.VerdictRun:
			w.started[w.tickets[v.ID].Account]++
			w.ends = append(w.ends, runEnding{w.now.Add(fairRunTime), v.ID})
		}
		if v.Waited > 0 {
			w.waiting--
		}
	}
}

func (w *fairWorld) offer(account waxwingseam.AccountName, importance waxwingseam.Importance) {
	n := uint64(len(w.tickets) + 1)
	t := waxwingseam.Ticket{
		ID: waxwingseam.NewCallID(0, n), Account: account, Depth: w.depth,
		Rank:    waxwingseam.Rank{Importance: importance, Order: uint64(w.now.UnixNano()) + n},
		Arrived: w.now, Deadline: w.now.Add(time.Second), MaxWait: 200 * time.Millisecond, MaxWaiting: 40,
	}
	t.Root = waxwingseam.RootID(t.ID)
	w.tickets[t.ID] = t
	w.offered[account]++
	w.begin()
	w.apply(w.Offer(w.context, t))
}

// run offers calls of each account at a rate per second, in steps of a millisecond.
func (w *fairWorld) run(d time.Duration, rates []float64, offer func(i int)) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Millisecond) {
		w.begin()
		for len(w.ends) > 0 && !w.ends[0].at.After(w.now) {
			id := w.ends[0].id
			w.ends = w.ends[1:]
			w.apply(w.Finish(w.context, waxwingseam.RunEnd{ID: id, Elapsed: fairRunTime, OwnElapsed: fairRunTime}))
		}
		w.apply(w.Expire(w.context))
		for i, rate := range rates {
			for p := rate / 1000; w.random.Float64() < p; p-- {
				offer(i)
			}
		}
		if w.Load().Waiting > 0 && len(w.ends) < fairSlots {
			w.idle += time.Millisecond
		}
	}
}

// maxMin returns the weighted max-min fair division of a capacity.
func maxMin(capacity float64, demands, weights []float64) []float64 {
	order := make([]int, len(demands))
	total := 0.0
	for i := range order {
		order[i] = i
		total += weights[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		return int(math.Copysign(1, demands[a]/weights[a]-demands[b]/weights[b]))
	})
	out := make([]float64, len(demands))
	for _, i := range order {
		out[i] = min(demands[i], capacity*weights[i]/total)
		capacity -= out[i]
		total -= weights[i]
	}
	return out
}

// TestAccountsOverTheirShareWait guards against an account that takes the slots of others
// by sending more: each account is served its max-min share, as a root and in deeper
// calls, and no slot is free while a call waits.
func TestAccountsOverTheirShareWait(t *testing.T) {
	weights := []float64{1, 1, 2, 2, 4, 1, 1, 1}
	rates := []float64{2000, 100, 100, 300, 200, 40, 10, 0.5}
	capacity := fairSlots / fairRunTime.Seconds()
	want := maxMin(capacity, rates, weights)
	for _, depth := range []uint8{0, 3} {
		t.Run(fmt.Sprintf("depth %d", depth), func(t *testing.T) {
			w := newFairWorld(1, accountSet(weights...))
			w.depth = depth
			const seconds = 20
			w.run(seconds*time.Second, rates, func(i int) { w.offer(accountName(i), 5) })
			sum := 0.0
			for i := range rates {
				got := float64(w.started[accountName(i)])
				sum += got
				qt.Check(t, got >= 0.9*min(want[i]*seconds, float64(w.offered[accountName(i)])), qt.IsTrue,
					qt.Commentf("account %d: %.0f served, share %.0f", i, got, want[i]*seconds))
			}
			qt.Check(t, w.idle, qt.Equals, time.Duration(0))
			qt.Check(t, sum >= 0.99*capacity*seconds, qt.IsTrue, qt.Commentf("%.0f served", sum))
		})
	}
}

// TestImportanceGoesBeforeFairness guards against a call of a small account that is served
// in place of a more important one.
func TestImportanceGoesBeforeFairness(t *testing.T) {
	w := newFairWorld(1, accountSet(1, 1))
	w.run(5*time.Second, []float64{450, 300}, func(i int) {
		w.offer(accountName(i), waxwingseam.Importance(8-i))
	})
	got := float64(w.started[accountName(0)]) / float64(w.offered[accountName(0)])
	qt.Assert(t, got >= 0.99, qt.IsTrue, qt.Commentf("%.3f of the more important calls were served", got))
}

// TestOneAccountIsServedAsNone guards against decisions on the calls of a single account,
// or on calls without accounts, that differ from those by importance and order alone.
func TestOneAccountIsServedAsNone(t *testing.T) {
	decisions := func(set *waxwingseam.Set, account waxwingseam.AccountName) []string {
		w := newFairWorld(3, set)
		w.run(3*time.Second, []float64{300, 300, 300}, func(i int) {
			w.depth = uint8(w.random.IntN(3))
			w.offer(account, waxwingseam.Importance(3+i))
		})
		return w.log
	}
	want := decisions(&waxwingseam.Set{}, "")
	qt.Assert(t, decisions(accountSet(1, 3), ""), qt.DeepEquals, want)
	qt.Assert(t, decisions(accountSet(1, 3), accountName(1)), qt.DeepEquals, want)
}

// TestIdleAccountsAreForgotten guards against a memory of accounts that grows with every
// account that has ever called.
func TestIdleAccountsAreForgotten(t *testing.T) {
	const count = 10000
	set := &waxwingseam.Set{Revision: 1}
	for i := range count {
		set.ClientAccounts = append(set.ClientAccounts, waxwingseam.ClientAccount{Name: accountName(i), Rate: 1})
	}
	w := newFairWorld(1, set)
	next := 0
	w.run(20*time.Second, []float64{450}, func(int) {
		next++
		w.offer(accountName(next%count), 5)
	})
	shares := w.Admitter.(*admitter).accounts.clocks[5][0].shares
	qt.Assert(t, next > count/2, qt.IsTrue)
	qt.Assert(t, len(shares) <= count/10, qt.IsTrue, qt.Commentf("%d accounts", len(shares)))
}
